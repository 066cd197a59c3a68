#include "net/non_blocking_log.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>

namespace gateway::net {
namespace {

constexpr auto kRetryInterval = std::chrono::seconds(1);
constexpr std::string_view kTruncationMark = "...";

// The line as it is written: on one line, within the bound, with its end.
std::string Terminated(std::string_view text) {
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

NonBlockingLog::~NonBlockingLog() { WriteDue(); }

void NonBlockingLog::Write(std::string_view line) {
  if (!WriteDue() || !WriteLine(Terminated(line))) ++dropped_lines_;
  RetryLater();
}

// What has to be written before any further line. False where there is no room for it.
bool NonBlockingLog::WriteDue() {
  if (!unwritten_.empty()) {
    unwritten_.erase(0, descriptor_->Write(unwritten_));
    if (!unwritten_.empty()) return false;
  }
  if (dropped_lines_ == 0) return true;
  if (!WriteLine("log_resumed log_lines_dropped=" + std::to_string(dropped_lines_) + "\n")) return false;
  dropped_lines_ = 0;
  return unwritten_.empty();
}

// False where nothing of the line was written.
bool NonBlockingLog::WriteLine(std::string line) {
  size_t written = descriptor_->Write(line);
  if (written == 0) return false;
  line.erase(0, written);
  unwritten_ = std::move(line);
  return true;
}

// Where no further line comes, the rest and the count are written all the same.
void NonBlockingLog::RetryLater() {
  bool due = dropped_lines_ > 0 || !unwritten_.empty();
  if (!due || retry_pending_) return;
  retry_pending_ = true;
  retry_timer_.expires_after(kRetryInterval);
  retry_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    retry_pending_ = false;
    WriteDue();
    RetryLater();
  });
}

}  // namespace gateway::net
