#include "net/rejection_log.h"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace gateway::net {
namespace {

constexpr auto kInterval = std::chrono::seconds(1);
constexpr size_t kMaxIdBytes = 64;  // of a client's request id
constexpr std::array<const char*, RejectionLog::kCauses> kNames = {"invalid",    "over_quota", "overload",
                                                                   "no_backend", "given_up",   "failed",
                                                                   "deadline",   "shutdown",   "client_left"};

// The id is a client's text: what would break the form of the line, or its bound, is left out.
std::string Printable(std::string_view text) {
  std::string printable(text);
  std::erase_if(printable, [](unsigned char c) { return std::isgraph(c) == 0; });
  return printable.substr(0, kMaxIdBytes);
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
  if (now < next_line_at_) return FlushLater();
  next_line_at_ = now + kInterval;
  Flush();
}

// Where no further request ends, what has been counted is written all the same.
void RejectionLog::FlushLater() {
  if (flush_pending_) return;
  flush_pending_ = true;
  timer_.expires_at(next_line_at_);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    flush_pending_ = false;
    if (Clock::now() < next_line_at_) return FlushLater();  // a line has been written since
    next_line_at_ = Clock::now() + kInterval;
    Flush();
  });
}

void RejectionLog::Flush() {
  std::string line = "requests_ended";
  for (size_t i = 0; i < kCauses; ++i) {
    if (counts_.at(i) > 0) line += std::string(" ") + kNames.at(i) + "=" + std::to_string(counts_.at(i));
  }
  if (std::all_of(counts_.begin(), counts_.end(), [](size_t count) { return count == 0; })) return;
  counts_.fill(0);
  log_.Write(line + " last_id=" + Printable(last_id_));
}

}  // namespace gateway::net
