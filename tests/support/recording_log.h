// A log that keeps its lines in memory.
#ifndef GATEWAY_TESTS_SUPPORT_RECORDING_LOG_H_
#define GATEWAY_TESTS_SUPPORT_RECORDING_LOG_H_

#include <string>
#include <string_view>

#include "net/log.h"

namespace gateway::test_support {

class RecordingLog final : public net::Log {
 public:
  void Write(std::string_view line) override { text_ += std::string(line) + "\n"; }
  // Returns all lines written so far, each terminated by a newline.
  const std::string& str() const { return text_; }

 private:
  std::string text_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_RECORDING_LOG_H_
