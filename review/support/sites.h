// Settings of small deployments, with the words of the simulator's first message. The figures are those of
// the site files; where a site file gives a range, one value of it.
#ifndef REVIEW_SUPPORT_SITES_H_
#define REVIEW_SUPPORT_SITES_H_

#include <string>

#include "stand_ins.h"

namespace review {

inline json Plan(const std::string& name, double rate, double burst) {
  return {{"name", name},         {"units-per-s", rate}, {"store-size", burst}, {"never-over-rate", 0.0},
          {"ceiling-burst", 0.0}, {"cap-slack", 0.0},    {"excess-worth", 0.0}, {"over-cost", 0.7},
          {"value-factor", 1.0},  {"parallel", 0}};
}

inline json Class(const std::string& name, const std::string& effect, double aim_s, double limit_s) {
  return {{"name", name},     {"effect", effect},  {"aim-s", aim_s},    {"hard-limit-s", limit_s},
          {"window-s", 5.0},  {"importance", 1.0}, {"late-share", 0.0}, {"dedup-scope", "all"},
          {"streamed", false}};
}

// quito-ledger: cancellation but no hedging, grace 0.5 s, `post` is unsafe to repeat.
inline json QuitoSettings(int gateways) {
  return {{"me", 0},
          {"peers-total", gateways},
          {"zone", 0},
          {"zones", {"hall"}},
          {"kinds", {"dual"}},
          {"resolution-s", 0.004},
          {"discovery", "pushed"},
          {"specifics",
           {{"units-top", 4}, {"may-count", true}, {"counter-timeout-s", 0.025}, {"counter-price", 0.005}}},
          {"prices", {{"cross-zone", 0.021}}},
          {"limits",
           {{"cancel", true},
            {"parallel-tries", false},
            {"retry-after", true},
            {"max-retry-after-s", 0.4},
            {"try-limit", 3},
            {"conn-idle-s", 4.0},
            {"connect-timeout-s", 0.15}}},
          {"invariants",
           {{"cold-from", 0.25},
            {"warm-after-s", 16.0},
            {"tip-multiple", 2.5},
            {"tip-after-s", 1.0},
            {"ask-within-s", 10.0},
            {"drain-grace-s", 0.5}}},
          {"request-classes", {Class("post", "single_shot", 0.6, 1.5), Class("balance", "free", 0.4, 1.0)}},
          {"tiers-of-service", {Plan("retail", 4, 16), Plan("treasury", 11, 33)}}};
}

// thessaloniki-main: hedging and cancellation, grace 2 s, three rooms, `thumb` is safe to repeat.
inline json ThessalonikiSettings(int gateways) {
  return {{"me", 0},
          {"peers-total", gateways},
          {"zone", 0},
          {"zones", {"room-a", "room-b", "room-c"}},
          {"kinds", {"std-3core"}},
          {"resolution-s", 0.004},
          {"discovery", "pushed"},
          {"specifics",
           {{"units-top", 6}, {"may-count", true}, {"counter-timeout-s", 0.03}, {"counter-price", 0.01}}},
          {"prices", {{"cross-zone", 0.012}}},
          {"limits",
           {{"cancel", true},
            {"parallel-tries", true},
            {"retry-after", true},
            {"max-retry-after-s", 1.0},
            {"try-limit", 6},
            {"conn-idle-s", 15.0},
            {"connect-timeout-s", 0.25}}},
          {"invariants",
           {{"cold-from", 0.17},
            {"warm-after-s", 17.0},
            {"tip-multiple", 4.0},
            {"tip-after-s", 1.0},
            {"ask-within-s", 10.0},
            {"drain-grace-s", 2.0}}},
          {"request-classes", {Class("thumb", "free", 1.2, 4.0)}},
          {"tiers-of-service", {Plan("basic", 3, 12), Plan("pro", 18, 45)}}};
}

inline json Configuration(const std::string& name, const Discovery& discovery, const Counter& counter,
                          const json& settings) {
  return {{"name", name},
          {"discovery", Loopback(discovery.port())},
          {"counter", Loopback(counter.port())},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", discovery.List()},
          {"settings", settings}};
}

}  // namespace review

#endif  // REVIEW_SUPPORT_SITES_H_
