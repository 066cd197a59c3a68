#include "net/resp2_codec.h"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <string_view>
#include <system_error>

namespace gateway::net {
namespace {

// The counter's limits (PROTOCOL, The counter).
constexpr double kMaxAmount = 1e9;
constexpr double kMinExpiryMs = 1;
constexpr double kMaxExpiryMs = 60000;
constexpr double kMsPerS = 1000;

struct FreeReply {
  void operator()(redisReply* reply) const { freeReplyObject(reply); }
};

void AppendBulkString(std::string_view text, std::string* out) {
  out->append("$").append(std::to_string(text.size())).append("\r\n").append(text).append("\r\n");
}

// Parses a reply, which is a bulk string with the total or an error. The errors -BUSY and -ERR mean that
// nothing was added. Returns false for any other reply.
bool ParseReply(const redisReply& reply, TallyReply* parsed) {
  *parsed = TallyReply();
  if (reply.type == REDIS_REPLY_ERROR) return true;
  if (reply.type != REDIS_REPLY_STRING) return false;
  parsed->added = true;
  const char* end = reply.str + reply.len;
  auto [rest, error] = std::from_chars(reply.str, end, parsed->total);
  return error == std::errc() && rest == end && std::isfinite(parsed->total);
}

}  // namespace

std::string EncodeTally(uint64_t key, double amount, double expiry_s) {
  char key_text[17];
  int key_size = std::snprintf(key_text, sizeof(key_text), "%016llx", static_cast<unsigned long long>(key));
  char amount_text[64];
  double bounded_amount = std::isfinite(amount) ? std::clamp(amount, -kMaxAmount, kMaxAmount) : 0;
  int amount_size = std::snprintf(amount_text, sizeof(amount_text), "%.6f", bounded_amount);
  char expiry_text[16];
  double expiry_ms = std::clamp(std::ceil(expiry_s * kMsPerS), kMinExpiryMs, kMaxExpiryMs);
  int expiry_size = std::snprintf(expiry_text, sizeof(expiry_text), "%d", static_cast<int>(expiry_ms));

  std::string command = "*4\r\n$5\r\nTALLY\r\n";
  AppendBulkString({key_text, static_cast<size_t>(key_size)}, &command);
  AppendBulkString({amount_text, static_cast<size_t>(amount_size)}, &command);
  AppendBulkString({expiry_text, static_cast<size_t>(expiry_size)}, &command);
  return command;
}

void TallyReplyDecoder::FreeReader::operator()(redisReader* reader) const { redisReaderFree(reader); }

TallyReplyDecoder::TallyReplyDecoder() : reader_(redisReaderCreate()) {}

TallyReplyDecoder::~TallyReplyDecoder() = default;

bool TallyReplyDecoder::Feed(const char* bytes, size_t size) {
  unused_bytes_ += size;
  return redisReaderFeed(reader_.get(), bytes, size) == REDIS_OK;
}

TallyReplyDecoder::Status TallyReplyDecoder::Next(TallyReply* reply) {
  void* raw = nullptr;
  if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) return Status::kInvalid;
  if (raw == nullptr) return Status::kNeedMore;
  unused_bytes_ = 0;
  std::unique_ptr<redisReply, FreeReply> decoded(static_cast<redisReply*>(raw));
  return ParseReply(*decoded, reply) ? Status::kReply : Status::kInvalid;
}

}  // namespace gateway::net
