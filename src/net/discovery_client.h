// Follows discovery: the whole list once, then one watch after another. Turns names into the module's ids.
#ifndef GATEWAY_NET_DISCOVERY_CLIENT_H_
#define GATEWAY_NET_DISCOVERY_CLIENT_H_

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/settings_parser.h"
#include "net/backend_connection_pool.h"
#include "policy/admission_policy.h"

namespace gateway::net {

struct ListedEndpoint {
  policy::Endpoint backend;
  tcp::endpoint address;
};
struct EndpointList {
  uint64_t index = 0;
  bool full = false;
  // Since when the agent may have had this: from then on it counts as told, whenever it is read.
  Clock::time_point told{};
  std::vector<ListedEndpoint> entries;
};

// Ids that are the same at every gateway, since they come of the names alone. Two names of one hash are told
// apart by the next free number; only then may gateways that met them in another order differ.
class EndpointIds {
 public:
  using Hash = uint32_t (*)(std::string_view);
  explicit EndpointIds(Hash hash = &NameHash) : hash_(hash) {}
  uint32_t Of(const std::string& name);
  static uint32_t NameHash(std::string_view name);

 private:
  Hash hash_;
  std::unordered_map<std::string, uint32_t> ids_;
  std::unordered_map<uint32_t, std::string> names_;
};

// What is wrong with an endpoint list.
class DiscoveryError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws DiscoveryError on anything that is not a list in discovery's form.
EndpointList ParseEndpointList(const nlohmann::json& list, const config::DeploymentSettings& site,
                               EndpointIds* ids);

class DiscoveryClient {
 public:
  // Parts of the time in which a change has to be learnt (below): a watch's wait, the silence after it that
  // ends it, and the most between two failed calls. The agent is on this machine and answers at once, so
  // neither a short silence nor a call costs much.
  static constexpr double kWaitPart = 0.5, kSilencePart = 0.3, kBackoffPart = 0.15;
  // That time, in s: the drain's grace, less what a connection under way may take and what a busy core may,
  // since what the agent has counts as told, also while no watch is open. The most is for long graces.
  static constexpr double kLearnLeastS = 0.25, kLearnMostS = 2;
  // s for a whole answer, however it trickles in: 1 MB, the list of 6,700 backends, takes a twentieth of a
  // core one second.
  static constexpr double kAnswerS = 1.2;
  // s within which a change is learnt that the agent has and may tell, whatever call is under way and however
  // it ends. That call was made just before and trickles in as an old or half answer; the next, which does
  // not wait, finds a version that goes back, also at a trickle; the one after it asks for the whole list.
  static constexpr double WorstLearnS(double learn_s) {
    return kWaitPart * learn_s + kAnswerS + 2 * (kBackoffPart * learn_s + kAnswerS);
  }
  // The same after SIGHUP has named another agent: no call is under way, and the first is for the whole list.
  static constexpr double WorstMoveS(double learn_s) { return kAnswerS + kBackoffPart * learn_s + kAnswerS; }
  // What a change counts as told by, in s, at the latest (STANDING): after discovery had it and could be
  // reached, and after SIGHUP.
  static constexpr double kToldS = 6, kToldMoveS = 4;

  using OnList = std::function<void(EndpointList)>;
  using OnFailed = std::function<void()>;

  DiscoveryClient(asio::io_context& io, tcp::endpoint address, const config::DeploymentSettings& site,
                  EndpointIds* ids, OnList on_list, OnFailed on_failed);

  void Start();                             // no-op once running: what fails is tried again here
  void Move(const tcp::endpoint& address);  // asks another agent for the whole list, at once

 private:
  void Ask();
  void Connect();
  void Send();
  void Read();
  void Answered();
  void Failed();
  void AwaitSilence();
  void AskSoon();
  Clock::duration Silence() const;
  Clock::duration Part(double share) const { return Seconds(share * learn_s_); }

  asio::io_context& io_;
  tcp::endpoint address_;
  const config::DeploymentSettings& site_;
  const double learn_s_;  // in which a change has to be learnt, whatever falls silent
  EndpointIds* ids_;
  OnList on_list_;
  OnFailed on_failed_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string message_;
  std::optional<uint64_t> index_;
  uint64_t turn_ = 0;           // of the exchange: handlers of an earlier one do nothing
  Clock::time_point fresh_at_;  // the agent's last answer: what it tells later it did not have before
  Clock::duration silence_{};   // of the exchange: how long the agent may say nothing
  Clock::time_point asked_at_{}, give_up_{};  // the exchange's begin, and when it has to be whole
  int failures_ = 0;                          // in a row
  int interim_ = 0;                           // 1xx answers of the exchange
  bool running_ = false, whole_next_ = true;
};

// It has to hold for every drain's grace.
static_assert(DiscoveryClient::WorstLearnS(DiscoveryClient::kLearnMostS) < DiscoveryClient::kToldS);
static_assert(DiscoveryClient::WorstMoveS(DiscoveryClient::kLearnMostS) < DiscoveryClient::kToldMoveS);

}  // namespace gateway::net

#endif  // GATEWAY_NET_DISCOVERY_CLIENT_H_
