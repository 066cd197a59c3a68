#include "config/settings_parser.h"

#include <gtest/gtest.h>

#include <string>

#include "config/config_error.h"

namespace gateway::config {
namespace {

std::string ValidSettings() {
  return "me=0\npeers-total=3\nzone=2\nresolution-s=0.002\ndiscovery=pushed\nspecifics.units-top=4\n"
         "specifics.may-count=true\nspecifics.counter-timeout-s=0.03\nspecifics.counter-price=0.02\n"
         "prices.cross-zone=0.01\nlimits.cancel=true\nlimits.parallel-tries=false\nlimits.retry-after=false\n"
         "limits.max-retry-after-s=2.0\nlimits.try-limit=5\nlimits.connect-timeout-s=0.25\n"
         "invariants.cold-from=0.21\n"
         "invariants.warm-after-s=16.0\ninvariants.tip-multiple=2.0\ninvariants.tip-after-s=1.0\n"
         "invariants.ask-within-s=10.0\nrequest-classes.count=1\nrequest-classes.0.aim-s=0.6\n"
         "request-classes.0.hard-limit-s=1.5\nrequest-classes.0.window-s=5\nrequest-classes.0.importance=3\n"
         "request-classes.0.late-share=0.2\nrequest-classes.0.effect=guarded\n"
         "request-classes.0.dedup-scope=cell\ntiers-of-service.count=1\ntiers-of-service.0.units-per-s=2.4\n"
         "tiers-of-service.0.store-size=13\ntiers-of-service.0.never-over-rate=0\n"
         "tiers-of-service.0.ceiling-burst=0\ntiers-of-service.0.cap-slack=0\n"
         "tiers-of-service.0.excess-worth=0.5\ntiers-of-service.0.over-cost=1.2\n"
         "tiers-of-service.0.value-factor=0.72\ntiers-of-service.0.parallel=2\n";
}

// Returns the error message, or an empty string if the text is valid.
std::string ParseErrorMessage(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const ConfigError& error) {
    return error.what();
  }
  return "";
}

TEST(SettingsParser, IgnoresUnknownKeys) {
  policy::Settings settings = ParseSettings(ValidSettings() + "new-thing.7=abc,def\n");
  EXPECT_EQ(settings.gateway_count, 3);
  EXPECT_EQ(settings.classes.at(0).idempotency, policy::Idempotency::kIdempotencyKey);
  EXPECT_EQ(settings.classes.at(0).deduplication_scope, policy::DeduplicationScope::kCell);
  EXPECT_EQ(settings.plans.at(0).rate_units_per_s, 2.4);
  EXPECT_EQ(settings.plans.at(0).max_concurrent_attempts, 2);
}

// The settings text is truncated or corrupted in transit. The error must name the missing or unreadable key,
// so that an operator can find it, and no such key may be replaced by a default.
TEST(SettingsParser, NamesEachMissingOrUnreadableKey) {
  std::string valid = ValidSettings();
  size_t begin = 0;
  while (begin < valid.size()) {
    size_t end = valid.find('\n', begin) + 1;
    std::string line = valid.substr(begin, end - begin);
    std::string key = line.substr(0, line.find('='));
    std::string missing = valid.substr(0, begin) + valid.substr(end);
    EXPECT_EQ(ParseErrorMessage(missing), "setting is missing: " + key);
    std::string unreadable = valid.substr(0, begin) + key + "=?\n" + valid.substr(end);
    EXPECT_EQ(ParseErrorMessage(unreadable), "setting is unreadable: " + key + "=?");
    begin = end;
  }
}

// The settings text contains a number that no gateway can work with: negative, not finite, too large for a
// clock in nanoseconds, or 0 where a positive number is needed. If it were accepted, the error would show
// only later, as a timer that never fires or a division by zero.
TEST(SettingsParser, RejectsNumbersOutOfRange) {
  std::string valid = ValidSettings();
  auto expect_unreadable = [&](const std::string& key, const std::string& value) {
    std::string line = key;
    line.append("=").append(value);
    EXPECT_EQ(ParseErrorMessage(valid + line), "setting is unreadable: " + line);
  };
  for (const char* key :
       {"resolution-s", "limits.connect-timeout-s", "invariants.warm-after-s", "peers-total",
        "request-classes.0.hard-limit-s", "tiers-of-service.0.units-per-s"}) {
    for (const char* value : {"-1", "1e300", "inf", "nan"}) expect_unreadable(key, value);
  }
  for (const char* key : {"request-classes.count", "tiers-of-service.count", "request-classes.0.aim-s",
                          "request-classes.0.hard-limit-s", "tiers-of-service.0.store-size"}) {
    expect_unreadable(key, "0");
  }
  EXPECT_EQ(ParseErrorMessage(valid + "tiers-of-service.0.units-per-s=0\ntiers-of-service.0.store-size=0"),
            "");
}

}  // namespace
}  // namespace gateway::config
