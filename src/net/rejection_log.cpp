#include "net/rejection_log.h"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace gateway::net {
namespace {

constexpr auto kLogInterval = std::chrono::seconds(1);
constexpr size_t kMaxIdBytes = 64;  // of a client's request id in a line
constexpr std::array<const char*, RejectionLog::kCauseCount> kCauseNames = {
    "invalid", "over_quota", "overload", "no_backend", "given_up",
    "failed",  "deadline",   "shutdown", "client_left"};

// Removes white space and unprintable characters from a client's request id and limits its length, since a
// client could otherwise break the format of the log line or exceed its maximum length.
std::string SanitizeRequestId(std::string_view text) {
  std::string printable(text);
  std::erase_if(printable, [](unsigned char c) { return std::isgraph(c) == 0; });
  return printable.substr(0, kMaxIdBytes);
}

}  // namespace

RejectionLog::Cause RejectionLog::CauseFor(policy::RejectReason reason) {
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
  next_line_at_ = now + kLogInterval;
  Flush();
}

// Ensures that the counts are written even if no further request ends.
void RejectionLog::FlushLater() {
  if (flush_pending_) return;
  flush_pending_ = true;
  timer_.expires_at(next_line_at_);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    flush_pending_ = false;
    if (Clock::now() < next_line_at_) return FlushLater();  // a line was written in the meantime
    next_line_at_ = Clock::now() + kLogInterval;
    Flush();
  });
}

void RejectionLog::Flush() {
  std::string line = "requests_ended";
  for (size_t i = 0; i < kCauseCount; ++i) {
    if (counts_.at(i) > 0) line += std::string(" ") + kCauseNames.at(i) + "=" + std::to_string(counts_.at(i));
  }
  if (std::all_of(counts_.begin(), counts_.end(), [](size_t count) { return count == 0; })) return;
  counts_.fill(0);
  log_.Write(line + " last_id=" + SanitizeRequestId(last_id_));
}

}  // namespace gateway::net
