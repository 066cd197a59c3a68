#include "net/rejection_log.h"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace gateway::net {
namespace {

constexpr auto kInterval = std::chrono::seconds(1);
constexpr std::array<const char*, RejectionLog::kCauses> kNames = {"invalid",    "over_quota", "overload",
                                                                   "no_backend", "given_up",   "failed",
                                                                   "deadline",   "shutdown",   "client_left"};

// The id is a client's text: what would break the form of the line is left out.
std::string Printable(std::string_view text) {
  std::string printable(text);
  std::erase_if(printable, [](unsigned char c) { return std::isgraph(c) == 0; });
  return printable;
}

}  // namespace

RejectionLog::Cause RejectionLog::CauseOf(policy::RejectReason reason) {
  switch (reason) {
    case policy::RejectReason::kInvalid: return Cause::kInvalid;
    case policy::RejectReason::kOverQuota: return Cause::kOverQuota;
    case policy::RejectReason::kOverload: return Cause::kOverload;
    case policy::RejectReason::kNoBackend: return Cause::kNoBackend;
    case policy::RejectReason::kGivenUp: return Cause::kGivenUp;
  }
  return Cause::kGivenUp;
}

void RejectionLog::Count(Cause cause, std::string_view client_request_id, Clock::time_point now) {
  ++counts_.at(static_cast<size_t>(cause));
  last_id_ = client_request_id;
  if (now < next_line_at_) return;
  next_line_at_ = now + kInterval;
  Flush();
}

void RejectionLog::Flush() {
  std::string line = "requests_ended";
  for (size_t i = 0; i < kCauses; ++i) {
    if (counts_.at(i) > 0) line += std::string(" ") + kNames.at(i) + "=" + std::to_string(counts_.at(i));
  }
  if (std::all_of(counts_.begin(), counts_.end(), [](size_t count) { return count == 0; })) return;
  counts_.fill(0);
  std::fprintf(out_, "%s last_id=%s\n", line.c_str(), Printable(last_id_).c_str());
}

}  // namespace gateway::net
