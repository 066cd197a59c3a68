#include "net/event_count_log.h"

#include <algorithm>
#include <cctype>
#include <chrono>

namespace gateway::net {
namespace {

constexpr auto kLogInterval = std::chrono::seconds(1);
constexpr size_t kMaxLabelBytes = 64;

// Removes white space and unprintable characters from a label and limits its length. It may be chosen by a
// client, which could otherwise break the format of the log line or exceed its maximum length.
std::string SanitizeLabel(std::string_view text) {
  std::string printable(text);
  std::erase_if(printable, [](unsigned char c) { return std::isgraph(c) == 0; });
  return printable.substr(0, kMaxLabelBytes);
}

}  // namespace

void EventCountLog::Count(size_t kind, std::string_view label, Clock::time_point now) {
  ++counts_.at(kind);
  last_label_ = label;
  if (now < next_line_at_) return FlushLater();
  next_line_at_ = now + kLogInterval;
  Flush();
}

// Ensures that the counts are written even if no further event occurs.
void EventCountLog::FlushLater() {
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

void EventCountLog::Flush() {
  std::string line = keys_.event;
  for (size_t kind = 0; kind < counts_.size(); ++kind) {
    if (counts_.at(kind) > 0) line += " " + keys_.counts.at(kind) + "=" + std::to_string(counts_.at(kind));
  }
  if (line == keys_.event) return;
  std::fill(counts_.begin(), counts_.end(), 0);
  log_.Write(line + " " + keys_.last_label + "=" + SanitizeLabel(last_label_));
}

}  // namespace gateway::net
