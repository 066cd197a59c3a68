#include "net/non_blocking_log.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>

namespace gateway::net {
namespace {

constexpr auto kRetryInterval = std::chrono::seconds(1);
constexpr std::string_view kTruncationMark = "...";

// Returns the text as one log line: truncated to the maximum length, with control characters replaced by
// spaces, and with a newline at its end.
std::string FormatLine(std::string_view text) {
  constexpr size_t kMaxTextBytes = NonBlockingLog::kMaxLineBytes - 1;
  std::string line(text.substr(0, kMaxTextBytes));
  if (text.size() > kMaxTextBytes) {
    line.replace(kMaxTextBytes - kTruncationMark.size(), kTruncationMark.size(), kTruncationMark);
  }
  std::replace_if(
      line.begin(), line.end(), [](unsigned char c) { return std::iscntrl(c) != 0; }, ' ');
  return line + '\n';
}

}  // namespace

NonBlockingLog::NonBlockingLog(asio::io_context& io, LogDescriptor* descriptor)
    : descriptor_(descriptor), retry_timer_(io) {}

NonBlockingLog::~NonBlockingLog() { WritePending(); }

void NonBlockingLog::Write(std::string_view line) {
  if (!WritePending() || !WriteLine(FormatLine(line))) ++dropped_lines_;
  RetryLater();
}

// Writes what must precede any further line: the rest of an incomplete line and the count of dropped lines.
// Returns false if there is no room for all of it.
bool NonBlockingLog::WritePending() {
  if (!unwritten_.empty()) {
    unwritten_.erase(0, descriptor_->Write(unwritten_));
    if (!unwritten_.empty()) return false;
  }
  if (dropped_lines_ == 0) return true;
  if (!WriteLine("log_resumed log_lines_dropped=" + std::to_string(dropped_lines_) + "\n")) return false;
  dropped_lines_ = 0;
  return unwritten_.empty();
}

// Returns false if nothing of the line was written.
bool NonBlockingLog::WriteLine(std::string line) {
  size_t written = descriptor_->Write(line);
  if (written == 0) return false;
  line.erase(0, written);
  unwritten_ = std::move(line);
  return true;
}

// Ensures that the rest of a line and the count of dropped lines are written even if no further line follows.
void NonBlockingLog::RetryLater() {
  bool pending = dropped_lines_ > 0 || !unwritten_.empty();
  if (!pending || retry_pending_) return;
  retry_pending_ = true;
  retry_timer_.expires_after(kRetryInterval);
  retry_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    retry_pending_ = false;
    WritePending();
    RetryLater();
  });
}

}  // namespace gateway::net
