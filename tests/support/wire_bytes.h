// Builds frames of the simulator's protocol from literal bytes, without the adapter's encoder.
#ifndef GATEWAY_TESTS_SUPPORT_WIRE_BYTES_H_
#define GATEWAY_TESTS_SUPPORT_WIRE_BYTES_H_

#include <cstdint>
#include <cstring>
#include <string>

namespace gateway::test_support {

// Returns the bytes that pairs of lower-case hex digits stand for. All other characters are ignored.
inline std::string Hex(const char* text) {
  std::string bytes;
  int high_digit = -1;
  for (const char* at = text; *at != '\0'; ++at) {
    int digit = *at >= '0' && *at <= '9' ? *at - '0' : *at >= 'a' && *at <= 'f' ? *at - 'a' + 10 : -1;
    if (digit < 0) continue;
    if (high_digit < 0) {
      high_digit = digit;
    } else {
      bytes.push_back(static_cast<char>(high_digit * 16 + digit));
      high_digit = -1;
    }
  }
  return bytes;
}

// Returns a frame with a batch at 18.5 s whose header announces `count` records.
inline std::string Frame(const std::string& records, uint32_t count) {
  std::string frame(16, '\0');
  auto size = static_cast<uint32_t>(frame.size() + records.size());
  double now_s = 18.5;
  std::memcpy(frame.data(), &size, sizeof(size));
  std::memcpy(frame.data() + 4, &now_s, sizeof(now_s));
  std::memcpy(frame.data() + 12, &count, sizeof(count));
  return frame + records;
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_WIRE_BYTES_H_
