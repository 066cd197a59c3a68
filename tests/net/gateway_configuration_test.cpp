// Tests of a gateway's configuration: errors at the start, and reloads on SIGHUP.
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

// SIGHUP arrives after discovery and the counter got other addresses in the configuration file. The gateway
// has to use the last endpoint list until the new agent has sent its own, or it would reject requests
// meanwhile. An earlier reload finds a file that cannot be parsed, which has to change nothing.
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
  EXPECT_TRUE(discovery.polls.Wait()) << "the new agent was not polled after the reload";
  ExpectServedBy(*client, "one");  // by the last endpoint list
  discovery.SetSilent(false);
  EXPECT_TRUE(discovery.AwaitApplied());
  ExpectServedBy(*client, "two");  // by the new agent's list
  for (int i = 0; i < 100 && counter.calls.count() == 0; ++i) Exchange(*client, MakeRequest("quote", 2));
  EXPECT_GT(counter.calls.count(), 0);
  fixture.gateway->Signal(SIGHUP);
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  EXPECT_NE(fixture.gateway->log.find("configuration_rejected"), std::string::npos);
}

// A setting is missing or invalid. The gateway must not start, and its only log line has to name the setting,
// or an operator could not tell what to correct.
TEST(GatewayConfiguration, NamesAnInvalidSettingInOneLine) {
  json missing_setting = ConfigJson(1, 1), bad_address = ConfigJson(1, 1), bad_list = ConfigJson(1, 1);
  missing_setting["settings"]["invariants"].erase("cold-from");
  bad_address["listen"] = "nowhere";
  bad_list["known"] = {{"index", "x"}};
  std::vector<std::pair<std::string, std::string>> cases = {{missing_setting.dump(), "invariants.cold-from"},
                                                            {bad_address.dump(), "listen=nowhere"},
                                                            {bad_list.dump(), "known"},
                                                            {"{", "JSON"}};
  for (const auto& [text, word] : cases) {
    GatewayProcess gateway(text, API_GATEWAY, 0);
    EXPECT_NE(gateway.AwaitExit(), 0);
    EXPECT_NE(gateway.first_line.find(word), std::string::npos) << gateway.first_line;
    EXPECT_EQ(gateway.log, "") << "more than one log line";
  }
}

// Changes a gateway's configuration and sends SIGHUP. Expects the reload to be rejected, with a log line that
// contains `word`.
void ExpectConfigurationRejected(const std::string& word, const std::function<void(json&)>& change) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  StubDiscovery other_discovery;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  json config = ConfigJson(other_discovery.port(), UnusedPort());
  change(config);
  fixture.gateway->Reload(config.dump());
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  EXPECT_EQ(other_discovery.polls.count(), 0) << word;
  EXPECT_NE(fixture.gateway->log.find("configuration_rejected"), std::string::npos) << word;
  EXPECT_NE(fixture.gateway->log.find(word), std::string::npos) << fixture.gateway->log;
}

// SIGHUP arrives when the file belongs to another gateway or deployment, or its cached endpoint list is
// invalid. If the gateway applied even part of it, requests could go to another deployment's backends. It has
// to apply none of it, and the log has to tell why.
TEST(GatewayConfiguration, RejectsAReloadOfAnotherGatewaysFile) {
  std::vector<std::pair<std::string, std::function<void(json&)>>> cases = {
      {"name", [](json& c) { c["name"] = "n1"; }},
      {"listen", [](json& c) { c["listen"] = "127.0.0.2:0"; }},
      {"request-classes", [](json& c) { c["settings"]["request-classes"][0]["name"] = "other"; }},
      {"request-classes", [](json& c) { c["settings"]["request-classes"][0]["effect"] = "guarded"; }},
      {"tiers-of-service", [](json& c) { c["settings"]["tiers-of-service"].erase(1); }},
      {"known", [](json& c) {
         c["known"] = {{"index", "x"}};
       }}};
  for (const auto& [word, change] : cases) ExpectConfigurationRejected(word, change);
}

// A reload applies addresses only, while limits and settings in the file have changed too and need a restart.
// An operator who is not told would believe them to be in force.
TEST(GatewayConfiguration, NamesWhatNeedsARestart) {
  StubDiscovery discovery;
  GatewayFixture fixture(json::array());
  json config = ConfigJson(discovery.port(), UnusedPort());
  fixture.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.polls.Wait());
  StubDiscovery next_discovery;
  config["discovery"] = "127.0.0.1:" + std::to_string(next_discovery.port());
  config["limits"]["sockets"] = 512;
  config["settings"]["limits"]["try-limit"] = 2;
  fixture.gateway->Reload(config.dump());
  EXPECT_TRUE(next_discovery.polls.Wait());
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  const std::string& log = fixture.gateway->log;
  EXPECT_NE(log.find("configuration_reloaded applied=addresses\n"), std::string::npos) << log;
  EXPECT_NE(log.find("configuration_reloaded applied=addresses needs_restart=limits,settings\n"),
            std::string::npos)
      << log;
}

// An error message may contain quotation marks from the file. If they were not escaped, they would end the
// value in the log line, and text from the file would be read as further keys.
TEST(GatewayConfiguration, EscapesQuotationMarksInAnErrorMessage) {
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
