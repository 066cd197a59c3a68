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

// The configuration file names other addresses of discovery and counter, and SIGHUP comes. The last endpoint
// list serves until the new agent has given its own. Before that a reload meets a file that cannot be read,
// which has to change nothing.
TEST(GatewayConfiguration, SwitchesDiscoveryAndCounterOnSighup) {
  Backend one(Says(Ok("one"))), two(Says(Ok("two")));
  Counter counter([](const std::string&, double) { return Bulk("0"); });
  Discovery discovery;
  discovery.Silence(true);
  discovery.Set(json::array({Entry("s2", two.port())}));
  Site site(json::array({Entry("s1", one.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "one");
  site.gateway->Reload("{");
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "one");
  json config = Config(discovery.port(), counter.port());
  for (int i = 0; i < 3; ++i) site.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.asked.Wait()) << "at once";
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "one") << "the last endpoint list";
  discovery.Silence(false);
  EXPECT_TRUE(discovery.Told());
  EXPECT_EQ(Ask(*client, Request("quote", 2)).body, "two") << "the new agent's list";
  for (int i = 0; i < 100 && counter.calls.count() == 0; ++i) Ask(*client, Request("quote", 2));
  EXPECT_GT(counter.calls.count(), 0);
  site.gateway->Signal(SIGHUP);
  site.gateway->Signal(SIGTERM);
  EXPECT_EQ(site.gateway->Exit(), 0);
  EXPECT_NE(site.gateway->rest.find("configuration_rejected"), std::string::npos);
}

// A setting is missing or unreadable. The gateway does not start, and its only log line names the setting.
TEST(GatewayConfiguration, NamesAFaultySettingInOneLine) {
  json missing = Config(1, 1), bad = Config(1, 1), list = Config(1, 1);
  missing["settings"]["invariants"].erase("cold-from");
  bad["listen"] = "nowhere";
  list["known"] = {{"index", "x"}};
  std::vector<std::pair<std::string, std::string>> cases = {{missing.dump(), "invariants.cold-from"},
                                                            {bad.dump(), "listen=nowhere"},
                                                            {list.dump(), "known"},
                                                            {"{", "JSON"}};
  for (const auto& [text, word] : cases) {
    Process gateway(text, API_GATEWAY, 0);
    EXPECT_NE(gateway.Exit(), 0);
    EXPECT_NE(gateway.line.find(word), std::string::npos) << gateway.line;
    EXPECT_EQ(gateway.rest, "") << "one line";
  }
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
  for (const auto& [word, change] : others) {
    Backend backend(Says(Ok("x")));
    Discovery foreign;
    Site site(json::array({Entry("s1", backend.port())}));
    json config = Config(foreign.port(), DeadPort());
    change(config);
    site.gateway->Reload(config.dump());
    EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
    site.gateway->Signal(SIGTERM);
    EXPECT_EQ(site.gateway->Exit(), 0);
    EXPECT_EQ(foreign.asked.count(), 0) << word;
    EXPECT_NE(site.gateway->rest.find("configuration_rejected"), std::string::npos) << word;
    EXPECT_NE(site.gateway->rest.find(word), std::string::npos) << site.gateway->rest;
  }
}

}  // namespace
}  // namespace gateway::net
