// A running gateway's configuration: faults at the start, and reloading on SIGHUP.
#include <csignal>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

void ExpectServedBy(TestConnection& client, const std::string& body) {
  EXPECT_EQ(Exchange(client, MakeRequest("quote", 2)).body, body);
}

// The configuration file names other addresses of discovery and counter, and SIGHUP comes. The last endpoint
// list serves until the new agent has given its own. Before that a reload meets a file that cannot be read,
// which has to change nothing.
TEST(GatewayConfiguration, SwitchesDiscoveryAndCounterOnSighup) {
  StubBackend one(RespondsWith(OkResponse("one"))), two(RespondsWith(OkResponse("two")));
  StubCounter counter([](const std::string&, double) { return BulkString("0"); });
  StubDiscovery discovery;
  discovery.SetSilent(true);
  discovery.Set(json::array({EndpointEntry("s2", two.port())}));
  GatewayFixture fixture(json::array({EndpointEntry("s1", one.port())}));
  auto client = fixture.gateway->Connect();
  ExpectServedBy(*client, "one");
  fixture.gateway->Reload("{");
  ExpectServedBy(*client, "one");
  json config = ConfigJson(discovery.port(), counter.port());
  for (int i = 0; i < 3; ++i) fixture.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.polls.Wait()) << "at once";
  ExpectServedBy(*client, "one");  // the last endpoint list
  discovery.SetSilent(false);
  EXPECT_TRUE(discovery.AwaitApplied());
  ExpectServedBy(*client, "two");  // the new agent's list
  for (int i = 0; i < 100 && counter.calls.count() == 0; ++i) Exchange(*client, MakeRequest("quote", 2));
  EXPECT_GT(counter.calls.count(), 0);
  fixture.gateway->Signal(SIGHUP);
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  EXPECT_NE(fixture.gateway->log.find("configuration_rejected"), std::string::npos);
}

// A setting is missing or unreadable. The gateway does not start, and its only log line names the setting.
TEST(GatewayConfiguration, NamesAFaultySettingInOneLine) {
  json missing = ConfigJson(1, 1), bad = ConfigJson(1, 1), list = ConfigJson(1, 1);
  missing["settings"]["invariants"].erase("cold-from");
  bad["listen"] = "nowhere";
  list["known"] = {{"index", "x"}};
  std::vector<std::pair<std::string, std::string>> cases = {{missing.dump(), "invariants.cold-from"},
                                                            {bad.dump(), "listen=nowhere"},
                                                            {list.dump(), "known"},
                                                            {"{", "JSON"}};
  for (const auto& [text, word] : cases) {
    GatewayProcess gateway(text, API_GATEWAY, 0);
    EXPECT_NE(gateway.AwaitExit(), 0);
    EXPECT_NE(gateway.first_line.find(word), std::string::npos) << gateway.first_line;
    EXPECT_EQ(gateway.log, "") << "one line";
  }
}

// Changes a gateway's configuration and sends SIGHUP. `word`: what the log line of the rejection names.
void ExpectConfigurationRejected(const std::string& word, const std::function<void(json&)>& change) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  StubDiscovery foreign;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  json config = ConfigJson(foreign.port(), UnusedPort());
  change(config);
  fixture.gateway->Reload(config.dump());
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  EXPECT_EQ(foreign.polls.count(), 0) << word;
  EXPECT_NE(fixture.gateway->log.find("configuration_rejected"), std::string::npos) << word;
  EXPECT_NE(fixture.gateway->log.find(word), std::string::npos) << fixture.gateway->log;
}

// SIGHUP comes when the file is another gateway's or another deployment's, or its cached list is invalid.
// Applied even in part it would send requests to a foreign fleet. Nothing of it is used, and the log says
// why.
TEST(GatewayConfiguration, KeepsItsOwnWhenTheFileIsAnotherGateways) {
  std::vector<std::pair<std::string, std::function<void(json&)>>> others = {
      {"name", [](json& c) { c["name"] = "n1"; }},
      {"listen", [](json& c) { c["listen"] = "127.0.0.2:0"; }},
      {"request-classes", [](json& c) { c["settings"]["request-classes"][0]["name"] = "other"; }},
      {"request-classes", [](json& c) { c["settings"]["request-classes"][0]["effect"] = "guarded"; }},
      {"tiers-of-service", [](json& c) { c["settings"]["tiers-of-service"].erase(1); }},
      {"known", [](json& c) {
         c["known"] = {{"index", "x"}};
       }}};
  for (const auto& [word, change] : others) ExpectConfigurationRejected(word, change);
}

// Limits and settings in the file have changed too, which need a restart. An operator who is not told takes
// them for being in force.
TEST(GatewayConfiguration, NamesWhatNeedsARestart) {
  StubDiscovery discovery;
  GatewayFixture fixture(json::array());
  json config = ConfigJson(discovery.port(), UnusedPort());
  fixture.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.polls.Wait());
  StubDiscovery next;
  config["discovery"] = "127.0.0.1:" + std::to_string(next.port());
  config["limits"]["sockets"] = 512;
  config["settings"]["limits"]["try-limit"] = 2;
  fixture.gateway->Reload(config.dump());
  EXPECT_TRUE(next.polls.Wait());
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  const std::string& log = fixture.gateway->log;
  EXPECT_NE(log.find("configuration_reloaded applied=addresses\n"), std::string::npos) << log;
  EXPECT_NE(log.find("configuration_reloaded applied=addresses needs_restart=limits,settings\n"),
            std::string::npos)
      << log;
}

// The text of an error may hold quotation marks of the file: they must not end the value in the log line.
TEST(GatewayConfiguration, QuotesTheTextOfAnError) {
  GatewayFixture fixture(json::array());
  json config = ConfigJson(UnusedPort(), UnusedPort());
  config["seed"] = "a\" applied=\"b\\";
  fixture.gateway->Reload(config.dump());
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), kReadinessRequest).status(), 200);
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  const std::string& log = fixture.gateway->log;
  EXPECT_NE(log.find(R"(error="setting is unreadable: seed=a\" applied=\"b\\")"), std::string::npos) << log;
}

}  // namespace
}  // namespace gateway::net
