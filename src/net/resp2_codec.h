// The counter's protocol: RESP2 (redis.io/docs/reference/protocol-spec), of which one command and two types
// of replies are used (PROTOCOL, The counter).
#ifndef GATEWAY_NET_RESP2_CODEC_H_
#define GATEWAY_NET_RESP2_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

struct redisReader;

namespace gateway::net {

// The command that adds `amount` to the number of `key` and asks for its total. A key that the counter does
// not have yet lives for `expiry_s`. Values past the counter's limits are brought to them; an amount that is
// not finite becomes 0.
std::string EncodeTally(uint64_t key, double amount, double expiry_s);

// The reply to one EncodeTally().
struct TallyReply {
  bool added = false;  // else the counter has rejected the call, and nothing was added
  double total = 0;    // after the call; 0 where it was rejected
};

// Decodes a stream of replies, which may come in any parts.
class TallyReplyDecoder {
 public:
  enum class Status {
    kReply,     // `reply` was set
    kNeedMore,  // the next reply is not complete
    kInvalid,   // not a reply to EncodeTally(): where the next one begins is in doubt
  };

  TallyReplyDecoder();
  ~TallyReplyDecoder();
  TallyReplyDecoder(const TallyReplyDecoder&) = delete;
  TallyReplyDecoder& operator=(const TallyReplyDecoder&) = delete;

  // False where the bytes are not taken; the stream cannot be decoded any further then.
  bool Feed(const char* bytes, size_t size);

  Status Next(TallyReply* reply);

  // Fed since the last reply was complete.
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
