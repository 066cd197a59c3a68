#include "net/response_end_check.h"

#include <algorithm>
#include <string_view>

#include "net/http_framing.h"

namespace gateway::net {
namespace {

// Whether the bytes are the beginning of a response, as far as they go. An incomplete head is not parsed, so
// without this check noise without an end would be taken for the first part of a head.
bool MayBeginResponse(const boost::beast::flat_buffer& buffer) {
  constexpr std::string_view kResponseStart = "HTTP/1.";
  std::string_view bytes(static_cast<const char*>(buffer.data().data()), buffer.size());
  size_t compared = std::min(bytes.size(), kResponseStart.size());
  return bytes.substr(0, compared) == kResponseStart.substr(0, compared);
}

bool IsCopy(const ResponseReader::Message& first, const ResponseReader::Message& second) {
  return first.result_int() == second.result_int() && first.body() == second.body();
}

}  // namespace

ResponseEndCheck::Verdict ResponseEndCheck::Check(const ResponseReader::Message& response,
                                                  boost::beast::flat_buffer& following) {
  if (!second_ && following.size() == 0) return Verdict::kNothingFollows;
  if (!second_) second_.emplace(kMaxBodyBytes);
  if (!second_->HasStarted() && !MayBeginResponse(following)) return Verdict::kDoubtful;
  if (second_->Feed(following)) return Verdict::kDoubtful;
  if (!second_->IsComplete()) return Verdict::kUndecided;
  return IsCopy(response, second_->message()) ? Verdict::kCopyFollows : Verdict::kDoubtful;
}

}  // namespace gateway::net
