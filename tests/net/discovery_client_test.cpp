#include "net/discovery_client.h"

#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
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

// A client whose agent is played by the test.
struct DiscoveryFixture : EventLoop {
  explicit DiscoveryFixture(double drain_grace_s = 1) {
    deployment.drain_grace_s = drain_grace_s;
    deployment.connect_timeout_s = 0.25;
    client.emplace(
        io, LoopbackEndpoint(listener.port()), deployment, &ids,
        [this](EndpointList list) { lists.push_back(std::move(list)); }, [this] { ++failed_exchanges; },
        &log);
    client->Start();
    AcceptConnection();
  }
  // Accepts the next connection of the client.
  void AcceptConnection() {
    RunUntil([&] { return listener.HasPending(); });
    connection = listener.Accept();
  }
  // Waits for the next poll or watch of the client and returns its head.
  std::string ReceivePoll() {
    RunUntil([this] { return connection->IsReadable(); });
    return connection->Read().head;
  }
  // Answers with a list of one endpoint, and waits until the client has accepted or rejected it.
  void SendList(int index, bool full, const std::string& status) {
    size_t lists_before = lists.size();
    int failures_before = failed_exchanges;
    connection->Write(OkResponse(
        json{{"index", index}, {"snapshot", full}, {"endpoints", {EndpointEntry("a", 1, status)}}}.dump(2)));
    RunUntil([&] { return lists.size() > lists_before || failed_exchanges > failures_before; });
  }
  RecordingLog log;
  config::DeploymentSettings deployment;
  EndpointIds ids;
  ManualListener listener;
  std::unique_ptr<TestConnection> connection;
  std::vector<EndpointList> lists;  // accepted by the client
  int failed_exchanges = 0;
  std::optional<DiscoveryClient> client;
};

// A backend starts to drain while no watch is open, or while a watch hangs, so that the gateway reads the
// change late. The grace of the backend elapses nevertheless. A change therefore counts as notified since the
// agent's previous response, or since the start of the gateway if there was none. If the grace were counted
// from the time at which the list is read, requests would be sent past it.
TEST(DiscoveryClient, CountsAChangeAsNotifiedSinceTheLastResponse) {
  auto before_start = Clock::now();
  DiscoveryFixture fixture;
  auto after_start = Clock::now();
  fixture.ReceivePoll();
  fixture.SendList(1, true, "active");
  ASSERT_EQ(fixture.lists.size(), 1u);
  EXPECT_GE(fixture.lists[0].notified_at, before_start);
  EXPECT_LE(fixture.lists[0].notified_at, after_start) << "the first list counts as notified from the start";
  auto first_response_at = Clock::now();
  EXPECT_NE(fixture.ReceivePoll().find("after=1"), std::string::npos);
  fixture.connection->Reset();  // the list changes while no watch is open
  fixture.AcceptConnection();
  fixture.ReceivePoll();
  fixture.SendList(2, false, "leaving");
  ASSERT_EQ(fixture.lists.size(), 2u);
  EXPECT_LE(fixture.lists[1].notified_at, first_response_at);
}

// A watch hangs and is never answered. The client must poll again within the drain grace, less the time that
// establishing a connection may take. Otherwise requests would be sent to a draining backend past its grace.
TEST(DiscoveryClient, PollsAgainWithinTheDrainGrace) {
  for (double drain_grace_s : {0.5, 1.0, 2.0}) {
    DiscoveryFixture fixture(drain_grace_s);
    fixture.ReceivePoll();
    fixture.SendList(1, true, "active");
    std::string watch = fixture.ReceivePoll();
    size_t wait_at = watch.find("wait_ms=");
    ASSERT_NE(wait_at, std::string::npos);
    int wait_ms = std::atoi(watch.c_str() + wait_at + 8);
    EXPECT_GT(wait_ms, 0);
    EXPECT_LE(wait_ms, 1000 * std::max(0.25, drain_grace_s - 0.25) / 2);
    auto silent = std::move(fixture.connection);
    fixture.AcceptConnection();  // while the old watch is still open and silent
    EXPECT_FALSE(fixture.ReceivePoll().empty());
  }
}

// A watch is answered with a lower index, as after a restart of the agent. It is then unknown what has
// changed in between. The client must poll the full list and accept it regardless of its index.
TEST(DiscoveryClient, RejectsChangesWithALowerIndex) {
  DiscoveryFixture fixture;
  fixture.ReceivePoll();
  fixture.SendList(7, true, "leaving");
  fixture.ReceivePoll();
  fixture.SendList(3, false, "active");
  EXPECT_EQ(fixture.lists.size(), 1u);
  fixture.AcceptConnection();
  EXPECT_EQ(fixture.ReceivePoll().find("after="), std::string::npos);
  fixture.SendList(3, true, "active");
  EXPECT_EQ(fixture.lists.size(), 2u);
  EXPECT_NE(fixture.ReceivePoll().find("after=3"), std::string::npos);
}

// The agent sends a byte of its response every 10 ms but never completes it, first for a poll and then for a
// watch. As it is never silent for long, only the timeout of the complete response ends the exchange. The
// next exchange must get the list.
TEST(DiscoveryClient, TimesOutAResponseThatNeverEnds) {
  for (bool watch : {false, true}) {
    DiscoveryFixture fixture(2.5);
    fixture.ReceivePoll();
    if (watch) {
      fixture.SendList(1, true, "active");
      fixture.ReceivePoll();
    }
    std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{\"index\":2,";
    size_t sent_bytes = 0;
    auto next_byte_at = Clock::now();
    fixture.RunUntil([&] {
      if (Clock::now() >= next_byte_at) {
        fixture.connection->Write(sent_bytes < response.size() ? response.substr(sent_bytes, 1) : " ");
        next_byte_at = Clock::now() + std::chrono::milliseconds(10);
        ++sent_bytes;
      }
      return fixture.failed_exchanges > 0 && fixture.listener.HasPending();
    });
    EXPECT_EQ(fixture.failed_exchanges, 1) << watch;
    fixture.AcceptConnection();
    fixture.ReceivePoll();
    fixture.SendList(2, true, "leaving");
    EXPECT_EQ(fixture.lists.back().index, 2u) << watch;
  }
}

// The timeout of a response is due, and whenever the client looks there are unread bytes. If they put off the
// timeout for as long as there are any, an agent that fills its socket for ever keeps the client from polling
// again.
TEST(DiscoveryClient, TimesOutAResponseWhoseAgentFillsItsSocketForEver) {
  constexpr int kMaxHandlers = 500;
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::vector<std::pair<std::string, std::string>> responses = {
      {head + "X-More: ", "x"},
      {head + "Content-Length: 1000000\r\n\r\n{", " "},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\n \r\n"}};
  for (const auto& [begin, rest] : responses) {
    DiscoveryFixture fixture;
    fixture.ReceivePoll();
    fixture.connection->Write(begin);
    std::this_thread::sleep_for(Seconds(DiscoveryClientOptions{}.response_timeout_s + 0.1));
    for (int i = 0; i < kMaxHandlers && fixture.connection->IsOpen(); ++i) {
      fixture.connection->Write(rest);
      fixture.io.restart();
      fixture.io.run_one_for(std::chrono::milliseconds(1));
    }
    EXPECT_FALSE(fixture.connection->IsOpen()) << begin;
    EXPECT_EQ(fixture.failed_exchanges, 1) << begin;
    fixture.AcceptConnection();
  }
}

// An exchange is reset, is truncated, hangs after half a response, or returns an error status, invalid HTTP
// or a body that is not a list. After each of these failures the next exchange must start, and after
// several consecutive failures the client must poll the full list.
TEST(DiscoveryClient, PollsAgainAfterAnyFailureOfAnExchange) {
  std::vector<std::pair<std::string, std::function<void(DiscoveryFixture&)>>> failures = {
      {"reset", [](DiscoveryFixture& fixture) { fixture.connection->Reset(); }},
      {"truncated response",
       [](DiscoveryFixture& fixture) {
         fixture.connection->Write("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"ind");
         fixture.connection->HalfClose();
       }},
      {"silence within the head",
       [](DiscoveryFixture& fixture) { fixture.connection->Write("HTTP/1.1 200 OK\r\nContent-Le"); }},
      {"status 503",
       [](DiscoveryFixture& fixture) {
         fixture.connection->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
       }},
      {"invalid HTTP", [](DiscoveryFixture& fixture) { fixture.connection->Write("*** \r\n\r\n"); }},
      {"list that is cut off by its length",
       [](DiscoveryFixture& fixture) {
         fixture.connection->Write(
             "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
             "{\"index\":3,\"snapshot\":true,\"endpoints\":[]}");
       }},
      {"body without a list",
       [](DiscoveryFixture& fixture) { fixture.connection->Write(OkResponse("{}")); }}};
  for (const auto& [failure, fail] : failures) {
    DiscoveryFixture fixture(2.5);
    fixture.ReceivePoll();
    fixture.SendList(1, true, "active");
    for (int i = 0; i < 4; ++i) {  // enough failures for the fallback to the full list
      fixture.ReceivePoll();
      auto failed_connection = std::move(fixture.connection);
      std::swap(fixture.connection, failed_connection);
      fail(fixture);
      failed_connection = std::move(fixture.connection);
      fixture.AcceptConnection();
    }
    EXPECT_EQ(fixture.ReceivePoll().find("after="), std::string::npos) << failure;
    fixture.SendList(9, true, "leaving");
    EXPECT_EQ(fixture.lists.back().index, 9u) << failure;
  }
}

// The agent answers each watch immediately although nothing has changed. Without a pause between the watches,
// they would keep the gateway busy.
TEST(DiscoveryClient, PausesBetweenWatchesWithoutChanges) {
  DiscoveryFixture fixture(2.5);
  fixture.ReceivePoll();
  fixture.SendList(1, true, "active");
  auto start = Clock::now();
  constexpr int kWatches = 10;
  for (int i = 0; i < kWatches; ++i) {
    EXPECT_NE(fixture.ReceivePoll().find("after=1"), std::string::npos);
    bool full = i % 2 == 0;
    size_t lists_before = fixture.lists.size();
    json entries = full ? json::array({EndpointEntry("a", 1)}) : json::array();
    fixture.connection->Write(
        OkResponse(json{{"index", 1}, {"snapshot", full}, {"endpoints", entries}}.dump()));
    fixture.RunUntil([&] { return fixture.lists.size() > lists_before; });
  }
  // A lower bound, which holds on a slow machine too.
  EXPECT_GE(Clock::now() - start, (kWatches - 1) * std::chrono::milliseconds(20));
}

// The agent sends interim responses before the list, and pauses within the list for longer than the silence
// limit of a short grace. The limit doubles with each failure, so that the list must be received after a few
// exchanges.
TEST(DiscoveryClient, ToleratesPausesAndInterimResponses) {
  DiscoveryFixture fixture(0.5);  // the silence limit is 75 ms before the first failure
  fixture.ReceivePoll();
  fixture.SendList(1, true, "active");
  std::string response =
      OkResponse(json{{"index", 2}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1)}}}.dump());
  std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  // The third exchange must succeed at the latest, as its silence limit is 300 ms.
  for (int i = 0; i < 6 && fixture.lists.size() < 2; ++i) {
    fixture.ReceivePoll();
    fixture.connection->Write(interim + interim + response.substr(0, 40));
    auto resume_at = Clock::now() + std::chrono::milliseconds(150);
    int failures_before = fixture.failed_exchanges;
    fixture.RunUntil([&] { return Clock::now() >= resume_at || fixture.failed_exchanges > failures_before; });
    if (fixture.failed_exchanges > failures_before) {
      fixture.AcceptConnection();
      continue;
    }
    fixture.connection->Write(response.substr(40));
    fixture.RunUntil([&] { return fixture.lists.size() == 2 || fixture.failed_exchanges > failures_before; });
  }
  EXPECT_EQ(fixture.lists.size(), 2u);
}

// The agent is silent for a long time and returns just after a poll has started. It never answers that poll
// but only those that start later. A drain that it reports then must be learned within the drain grace, or
// requests would be sent to the backend past its grace.
TEST(DiscoveryClient, LearnsOfADrainWithinTheGraceAfterTheAgentReturns) {
  constexpr int kFailures = 5;  // after so many failures no timeout doubles any more
  for (double drain_grace_s : {0.4, 0.5, 0.8, 2.0}) {
    DiscoveryFixture fixture(drain_grace_s);
    fixture.ReceivePoll();
    fixture.SendList(1, true, "active");
    fixture.ReceivePoll();
    std::vector<std::unique_ptr<TestConnection>> unanswered;
    while (fixture.failed_exchanges < kFailures) {
      unanswered.push_back(std::move(fixture.connection));
      fixture.AcceptConnection();
    }
    fixture.ReceivePoll();
    auto returned_at = Clock::now();
    unanswered.push_back(std::move(fixture.connection));
    fixture.AcceptConnection();
    fixture.ReceivePoll();
    fixture.SendList(2, true, "leaving");
    ASSERT_EQ(fixture.lists.size(), 2u);
    EXPECT_LE(ToSeconds(Clock::now() - returned_at), drain_grace_s);
  }
}

// The agent is overloaded. It answers each poll, but the first byte of a response arrives after twice the
// time within which the client must poll again for a short grace. The client must accept this response, or it
// would never get a list.
TEST(DiscoveryClient, AcceptsAResponseWhoseFirstByteIsLate) {
  DiscoveryFixture fixture(0.5);
  fixture.ReceivePoll();
  fixture.SendList(1, true, "active");
  struct Poll {
    std::unique_ptr<TestConnection> connection;
    Clock::time_point answer_at;
  };
  constexpr auto kLate = std::chrono::milliseconds(500);
  std::string answer =
      OkResponse(json{{"index", 2}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1)}}}.dump());
  std::vector<Poll> polls;
  fixture.ReceivePoll();
  polls.push_back({std::move(fixture.connection), Clock::now() + kLate});
  auto give_up_at = Clock::now() + std::chrono::seconds(10);
  fixture.RunUntil([&] {
    if (fixture.listener.HasPending()) {
      polls.push_back({fixture.listener.Accept(), Clock::now() + kLate});
    }
    for (Poll& poll : polls) {
      if (poll.answer_at > Clock::now()) continue;
      poll.connection->Write(answer);
      poll.answer_at = Clock::time_point::max();
    }
    return fixture.lists.size() > 1 || Clock::now() > give_up_at;
  });
  ASSERT_GE(fixture.lists.size(), 2u);
  EXPECT_EQ(fixture.lists.back().index, 2u);
}

// A reload names another agent, which accepts connections but does not answer at first. The client must poll
// it until it gets the full list.
TEST(DiscoveryClient, PollsAgainIfTheNewAgentIsSilent) {
  DiscoveryFixture fixture(2.5);
  fixture.ReceivePoll();
  fixture.SendList(1, true, "active");
  fixture.ReceivePoll();
  ManualListener next_agent;
  fixture.client->SwitchTo(LoopbackEndpoint(next_agent.port()));
  std::vector<std::unique_ptr<TestConnection>> silent;
  for (int i = 0; i < 3; ++i) {
    fixture.RunUntil([&] { return next_agent.HasPending(); });
    silent.push_back(next_agent.Accept());
  }
  fixture.RunUntil([&] { return next_agent.HasPending(); });
  fixture.connection = next_agent.Accept();
  EXPECT_EQ(fixture.ReceivePoll().find("after="), std::string::npos);
  fixture.SendList(5, true, "leaving");
  EXPECT_EQ(fixture.lists.back().index, 5u);
}

}  // namespace
}  // namespace gateway::net
