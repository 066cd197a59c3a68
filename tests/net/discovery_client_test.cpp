#include "net/discovery_client.h"

#include <poll.h>

#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/event_loop.h"
#include "support/http_message.h"
#include "support/manual_listener.h"
#include "support/recording_log.h"
#include "support/stub_discovery.h"
#include "support/test_connection.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A client and its agent, which the test plays itself.
struct DiscoveryFixture : EventLoop {
  explicit DiscoveryFixture(double drain_grace_s = 1) {
    deployment.drain_grace_s = drain_grace_s;
    deployment.connect_timeout_s = 0.25;
    client.emplace(
        io, LoopbackEndpoint(listener.port()), deployment, &ids,
        [this](EndpointList list) { lists.push_back(std::move(list)); }, [this] { ++failed; }, &log);
    client->Start();
    AcceptConnection();
  }
  // Accepts the client's next connection.
  void AcceptConnection() {
    RunUntil([&] { return listener.HasPending(); });
    connection = listener.Accept();
  }
  // The head of the client's next poll or watch.
  std::string ReceivePoll() {
    pollfd ready{connection->fd(), POLLIN, 0};
    RunUntil([&] { return poll(&ready, 1, 0) > 0; });
    return connection->Read().head;
  }
  // Answers by a list of one endpoint, and waits until the client has taken or rejected it.
  void SendList(int index, bool full, const std::string& status) {
    size_t before = lists.size();
    int failures = failed;
    connection->Write(OkResponse(
        json{{"index", index}, {"snapshot", full}, {"endpoints", {EndpointEntry("a", 1, status)}}}.dump(2)));
    RunUntil([&] { return lists.size() > before || failed > failures; });
  }
  RecordingLog log;
  config::DeploymentSettings deployment;
  EndpointIds ids;
  ManualListener listener;
  std::unique_ptr<TestConnection> connection;
  std::vector<EndpointList> lists;  // that the client has taken
  int failed = 0;                   // exchanges
  std::optional<DiscoveryClient> client;
};

// A backend begins to drain while no watch is open, or while one hangs, so that the gateway reads of it late.
// Its grace runs all the same: what the agent has counts as notified from its last response on, or from the
// gateway's start.
TEST(DiscoveryClient, CountsAChangeAsNotifiedSinceTheLastResponse) {
  auto start = Clock::now();
  DiscoveryFixture agent;
  auto begun = Clock::now();
  agent.ReceivePoll();
  agent.SendList(1, true, "active");
  ASSERT_EQ(agent.lists.size(), 1u);
  EXPECT_GE(agent.lists[0].notified_at, start);
  EXPECT_LE(agent.lists[0].notified_at, begun) << "a new process counts as notified from its start";
  auto first_response = Clock::now();
  EXPECT_NE(agent.ReceivePoll().find("after=1"), std::string::npos);
  agent.connection->Reset();  // the watch breaks, and the list changes while none is open
  agent.AcceptConnection();
  agent.ReceivePoll();
  agent.SendList(2, false, "leaving");
  ASSERT_EQ(agent.lists.size(), 2u);
  EXPECT_LE(agent.lists[1].notified_at, first_response);
}

// A watch hangs and is never answered again. It has to be given up within the draining grace, less what a
// connection may take to come up, or requests would be sent to a draining backend past its grace.
TEST(DiscoveryClient, PollsAgainWithinTheDrainGrace) {
  for (double drain_grace_s : {0.5, 1.0, 2.0}) {
    DiscoveryFixture agent(drain_grace_s);
    agent.ReceivePoll();
    agent.SendList(1, true, "active");
    std::string watch = agent.ReceivePoll();
    size_t at = watch.find("wait_ms=");
    ASSERT_NE(at, std::string::npos);
    int wait_ms = std::atoi(watch.c_str() + at + 8);
    EXPECT_GT(wait_ms, 0);
    EXPECT_LE(wait_ms, 1000 * std::max(0.25, drain_grace_s - 0.25) / 2);
    auto silent = std::move(agent.connection);
    agent.AcceptConnection();  // while the old watch stays open and silent
    EXPECT_FALSE(agent.ReceivePoll().empty());
  }
}

// A watch is answered by an index that goes back, as after a restart of the agent. What changed since is not
// known then. The full list is polled, and taken whatever its index.
TEST(DiscoveryClient, RejectsAChangeOfAnOlderIndex) {
  DiscoveryFixture agent;
  agent.ReceivePoll();
  agent.SendList(7, true, "leaving");
  agent.ReceivePoll();
  agent.SendList(3, false, "active");
  EXPECT_EQ(agent.lists.size(), 1u);
  agent.AcceptConnection();
  EXPECT_EQ(agent.ReceivePoll().find("after="), std::string::npos);
  agent.SendList(3, true, "active");
  EXPECT_EQ(agent.lists.size(), 2u);
  EXPECT_NE(agent.ReceivePoll().find("after=3"), std::string::npos);
}

// The agent sends a byte every 10 ms and never the end of its response, to a poll or to a watch. It is never
// silent for long, so that only the limit on the whole response ends the exchange. The next one has to get
// the list.
TEST(DiscoveryClient, TimesOutAResponseThatNeverEnds) {
  for (bool watch : {false, true}) {
    DiscoveryFixture agent(2.5);
    agent.ReceivePoll();
    if (watch) {
      agent.SendList(1, true, "active");
      agent.ReceivePoll();
    }
    std::string text = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"index\":2,";
    size_t at = 0;
    auto next = Clock::now();
    agent.RunUntil([&] {
      if (Clock::now() >= next) {
        agent.connection->Write(at < text.size() ? text.substr(at, 1) : " ");
        next = Clock::now() + std::chrono::milliseconds(10);
        ++at;
      }
      return agent.failed > 0 && agent.listener.HasPending();
    });
    EXPECT_EQ(agent.failed, 1) << watch;
    agent.AcceptConnection();
    agent.ReceivePoll();
    agent.SendList(2, true, "leaving");
    EXPECT_EQ(agent.lists.back().index, 2u) << watch;
  }
}

// An exchange is reset, cut off, hangs after half a response, or brings an error, no HTTP or no list. However
// it fails, the next one has to begin, and after some failures in a row the full list is polled.
TEST(DiscoveryClient, PollsAgainHoweverAnExchangeFails) {
  std::vector<std::pair<std::string, std::function<void(DiscoveryFixture&)>>> ends = {
      {"reset", [](DiscoveryFixture& a) { a.connection->Reset(); }},
      {"half a response",
       [](DiscoveryFixture& a) {
         a.connection->Write("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"ind");
         a.connection->HalfClose();
       }},
      {"silence after half",
       [](DiscoveryFixture& a) { a.connection->Write("HTTP/1.1 200 OK\r\nContent-Le"); }},
      {"503",
       [](DiscoveryFixture& a) { a.connection->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"); }},
      {"noise", [](DiscoveryFixture& a) { a.connection->Write("*** \r\n\r\n"); }},
      {"no list", [](DiscoveryFixture& a) { a.connection->Write(OkResponse("{}")); }}};
  for (const auto& [how, end] : ends) {
    DiscoveryFixture agent(2.5);
    agent.ReceivePoll();
    agent.SendList(1, true, "active");
    for (int i = 0; i < 4; ++i) {  // past the fallback to the full list
      agent.ReceivePoll();
      auto broken = std::move(agent.connection);
      std::swap(agent.connection, broken);
      end(agent);
      broken = std::move(agent.connection);
      agent.AcceptConnection();
    }
    EXPECT_EQ(agent.ReceivePoll().find("after="), std::string::npos) << how;
    agent.SendList(9, true, "leaving");
    EXPECT_EQ(agent.lists.back().index, 9u) << how;
  }
}

// The agent answers each watch at once with nothing new. Without a pause between watches that would keep the
// gateway busy.
TEST(DiscoveryClient, PausesBetweenWatchesWithNothingNew) {
  DiscoveryFixture agent(2.5);
  agent.ReceivePoll();
  agent.SendList(1, true, "active");
  auto began = Clock::now();
  constexpr int kWatches = 10;
  for (int i = 0; i < kWatches; ++i) {
    EXPECT_NE(agent.ReceivePoll().find("after=1"), std::string::npos);
    bool full = i % 2 == 0;
    size_t before = agent.lists.size();
    json entries = full ? json::array({EndpointEntry("a", 1)}) : json::array();
    agent.connection->Write(
        OkResponse(json{{"index", 1}, {"snapshot", full}, {"endpoints", entries}}.dump()));
    agent.RunUntil([&] { return agent.lists.size() > before; });
  }
  // A lower bound, which holds on a slow machine too.
  EXPECT_GE(Clock::now() - began, (kWatches - 1) * std::chrono::milliseconds(20));
}

// The agent sends interim responses ahead of the list, and pauses within it for longer than the silence that
// a short grace allows. The allowed silence doubles with each failure, so that the list is read in the end.
TEST(DiscoveryClient, ToleratesPausesAndInterimResponses) {
  DiscoveryFixture agent(0.5);  // silence is noticed after 75 ms
  agent.ReceivePoll();
  agent.SendList(1, true, "active");
  std::string text =
      OkResponse(json{{"index", 2}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1)}}}.dump());
  std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  // The third exchange at the latest: 300 ms are allowed by then.
  for (int i = 0; i < 6 && agent.lists.size() < 2; ++i) {
    agent.ReceivePoll();
    agent.connection->Write(interim + interim + text.substr(0, 40));
    auto resume = Clock::now() + std::chrono::milliseconds(150);
    int failed = agent.failed;
    agent.RunUntil([&] { return Clock::now() >= resume || agent.failed > failed; });
    if (agent.failed > failed) {
      agent.AcceptConnection();
      continue;
    }
    agent.connection->Write(text.substr(40));
    agent.RunUntil([&] { return agent.lists.size() == 2 || agent.failed > failed; });
  }
  EXPECT_EQ(agent.lists.size(), 2u);
}

// Discovery is silent for long and returns just after a poll has begun, which it never answers: only polls
// that begin later are. A drain that it then has is to be learnt within the draining grace, or requests would
// be sent to the backend past it.
TEST(DiscoveryClient, LearnsADrainWithinTheGraceAfterTheAgentReturns) {
  constexpr int kFailures = 5;  // past every doubling of a time-out
  for (double drain_grace_s : {0.4, 0.5, 0.8, 2.0}) {
    DiscoveryFixture agent(drain_grace_s);
    agent.ReceivePoll();
    agent.SendList(1, true, "active");
    agent.ReceivePoll();
    std::vector<std::unique_ptr<TestConnection>> unanswered;
    while (agent.failed < kFailures) {
      unanswered.push_back(std::move(agent.connection));
      agent.AcceptConnection();
    }
    agent.ReceivePoll();
    auto returned = Clock::now();
    unanswered.push_back(std::move(agent.connection));
    agent.AcceptConnection();
    agent.ReceivePoll();
    agent.SendList(2, true, "leaving");
    ASSERT_EQ(agent.lists.size(), 2u);
    EXPECT_LE(ToSeconds(Clock::now() - returned), drain_grace_s);
  }
}

// The agent is crowded: it answers each poll, but its first byte comes only after twice the time in which a
// short grace wants the agent polled anew. Its answer is to be taken all the same, or no list would ever be.
TEST(DiscoveryClient, HearsAnAgentWhoseFirstByteIsLate) {
  DiscoveryFixture agent(0.5);
  agent.ReceivePoll();
  agent.SendList(1, true, "active");
  struct Poll {
    std::unique_ptr<TestConnection> connection;
    Clock::time_point answer_at;
  };
  constexpr auto kLate = std::chrono::milliseconds(500);
  std::string answer =
      OkResponse(json{{"index", 2}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1)}}}.dump());
  std::vector<Poll> polls;
  agent.ReceivePoll();
  polls.push_back({std::move(agent.connection), Clock::now() + kLate});
  auto limit = Clock::now() + std::chrono::seconds(10);
  agent.RunUntil([&] {
    if (agent.listener.HasPending()) {
      polls.push_back({agent.listener.Accept(), Clock::now() + kLate});
    }
    for (Poll& poll : polls) {
      if (poll.answer_at > Clock::now()) continue;
      poll.connection->Write(answer);
      poll.answer_at = Clock::time_point::max();
    }
    return agent.lists.size() > 1 || Clock::now() > limit;
  });
  ASSERT_GE(agent.lists.size(), 2u);
  EXPECT_EQ(agent.lists.back().index, 2u);
}

// SIGHUP names another agent, which accepts connections, answers nothing at first, and then does. The client
// has to poll it again until it gets the full list.
TEST(DiscoveryClient, PollsAgainWhereTheNewAgentIsSilent) {
  DiscoveryFixture agent(2.5);
  agent.ReceivePoll();
  agent.SendList(1, true, "active");
  agent.ReceivePoll();
  ManualListener next;
  agent.client->SwitchTo(LoopbackEndpoint(next.port()));
  std::vector<std::unique_ptr<TestConnection>> silent;
  for (int i = 0; i < 3; ++i) {
    agent.RunUntil([&] { return next.HasPending(); });
    silent.push_back(next.Accept());
  }
  agent.RunUntil([&] { return next.HasPending(); });
  agent.connection = next.Accept();
  EXPECT_EQ(agent.ReceivePoll().find("after="), std::string::npos);
  agent.SendList(5, true, "leaving");
  EXPECT_EQ(agent.lists.back().index, 5u);
}

}  // namespace
}  // namespace gateway::net
