// Encodes and decodes the counter's protocol, which is RESP2 (redis.io/docs/reference/protocol-spec) with one
// command and two types of replies (PROTOCOL, The counter).
#ifndef GATEWAY_NET_RESP2_CODEC_H_
#define GATEWAY_NET_RESP2_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

struct redisReader;

namespace gateway::net {

// Returns the command that adds `amount` to the total of `key` and asks for the new total. A key that the
// counter does not have yet expires after `expiry_s`. Values are clamped to the counter's limits; an amount
// that is not finite becomes 0.
std::string EncodeTally(uint64_t key, double amount, double expiry_s);

// The reply to one EncodeTally().
struct TallyReply {
  bool added = false;  // false if the counter rejected the call, so that nothing was added
  double total = 0;    // total after the call; 0 if the call was rejected
};

// Decodes a stream of replies, which may arrive in fragments of any size.
class TallyReplyDecoder {
 public:
  enum class Status {
    kReply,     // a reply was decoded
    kNeedMore,  // the next reply is incomplete
    kInvalid,   // the bytes are not a reply to EncodeTally(), and the start of the next reply is unknown
  };

  TallyReplyDecoder();
  ~TallyReplyDecoder();
  TallyReplyDecoder(const TallyReplyDecoder&) = delete;
  TallyReplyDecoder& operator=(const TallyReplyDecoder&) = delete;

  // Appends received bytes. Returns false if the bytes were not accepted; the stream cannot be decoded any
  // further then.
  bool Feed(const char* bytes, size_t size);

  // Decodes the next reply. `*reply` is only meaningful if the status is kReply.
  Status Next(TallyReply* reply);

  // Number of bytes that were fed since the last reply was decoded.
  size_t unused_bytes() const { return unused_bytes_; }

 private:
  struct FreeReader {
    void operator()(redisReader* reader) const;
  };

  std::unique_ptr<redisReader, FreeReader> reader_;
  size_t unused_bytes_ = 0;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_RESP2_CODEC_H_
