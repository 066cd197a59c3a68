#include "net/rejection_log.h"

namespace gateway::net {

// The keys are in the order of Cause.
RejectionLog::RejectionLog(asio::io_context& io, Log* log)
    : counts_(io, log,
              {"requests_ended",
               {"invalid", "over_quota", "overload", "no_backend", "given_up", "failed", "deadline",
                "shutdown", "client_left", "connection_limit"},
               "last_id"}) {}

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

}  // namespace gateway::net
