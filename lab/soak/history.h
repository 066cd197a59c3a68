// The record of one soak: its requests, attempts and scheduled events.
#ifndef GATEWAY_LAB_SOAK_HISTORY_H_
#define GATEWAY_LAB_SOAK_HISTORY_H_

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace gateway::lab::soak {

// The request classes of a soak's deployment, one for each kind of idempotency.
enum class RequestClass { kIdempotent, kIdempotencyKey, kNonIdempotent };
inline constexpr int kRequestClasses = 3;

inline constexpr int kAllGateways = -1;

// The outcome of a request as its client sees it.
enum class RequestOutcome {
  kPending,
  kAnswered,
  kClosedRead,  // the gateway closed the connection after it had read the request
  // The gateway closed the connection before it read the request, perhaps after it had answered an earlier
  // request on it with "Connection: close".
  kClosedUnread,
  kNoAnswer,     // no response arrived while the client waited
  kClientLeft,   // the client closed the connection before a response
  kGatewayDown,  // the gateway was killed
  kUnobserved,   // the client closed the connection while a response arrived
};

// One transmission of a request. A request that is resent, because the gateway closed the connection before
// reading it, has two records.
struct RequestRecord {
  std::string id;
  RequestClass request_class = RequestClass::kIdempotent;
  int gateway = 0;
  double sent_s = 0;     // when the last byte was sent
  double timeout_s = 0;  // as the client sent it
  bool is_resend = false;
  RequestOutcome outcome = RequestOutcome::kPending;
  double ended_s = 0;
  int status = 0;  // status code of the response
};

// The outcome of an attempt as its backend sees it.
enum class AttemptOutcome {
  kOpen,
  kAnswered,
  kError,            // failed, possibly with side effects
  kNotStarted,       // rejected before it was executed
  kReset,            // the backend reset the connection after it received the request
  kClosedByGateway,  // the gateway closed the connection
};

struct AttemptRecord {
  std::string request_id;
  int backend = 0;
  double first_byte_s = 0;
  double received_s = 0;           // when the last byte arrived
  double forwarded_timeout_s = 0;  // as the gateway sent it
  AttemptOutcome outcome = AttemptOutcome::kOpen;
  double ended_s = 0;
};

// A period in which a gateway's process was paused or, with kAllGateways, the soak's own threads were
// delayed.
struct PauseRecord {
  int gateway = 0;
  double from_s = 0;
  double to_s = 0;
};

// A period in which the discovery agent listed a backend as draining or gone. It starts when the agent can be
// reached.
struct NoticeRecord {
  int backend = 0;
  double notified_s = 0;
  // When the backend was listed as ready again. If it never was, 120 s, which is meant to be after the end of
  // the soak.
  double until_s = 0;
};

// A gateway's process ended.
struct ExitRecord {
  int gateway = 0;
  double at_s = 0;
  bool killed = false;  // the soak killed the process
  int status = 0;       // exit status, or the negated number of the signal that ended the process
};

struct StartRecord {
  int gateway = 0;
  double started_s = 0;
  double ready_s = 0;  // seconds from the start until ready; negative if the process was not ready in time
};

// A period in which the discovery agent did not answer.
struct SilenceRecord {
  double from_s = 0;
  double to_s = 0;
};

struct EventRecord {
  double at_s = 0;
  std::string text;
};

// All records of a soak, as plain data for the checks.
struct HistoryData {
  std::vector<RequestRecord> requests;
  std::vector<AttemptRecord> attempts;
  std::vector<PauseRecord> pauses;
  std::vector<NoticeRecord> notices;
  std::vector<SilenceRecord> silences;
  std::vector<ExitRecord> exits;
  std::vector<StartRecord> starts;
  std::vector<EventRecord> events;
  std::vector<EventRecord> leaks;  // gateways that did not close descriptors
};

// Collects records. Thread-safe. An index that an Add function returns stays valid until Take().
class History {
 public:
  // Returns the seconds since the soak began.
  double Now() const { return std::chrono::duration<double>(Clock::now() - began_at_).count(); }

  size_t AddRequest(const RequestRecord& request) { return Add(&HistoryData::requests, request); }
  // Records that the request at `index` is sent a second time, and returns the index of the new record.
  size_t AddResend(size_t index, int gateway);
  // Records that the last byte of the request was sent or, for a pipelined request, that the response before
  // it arrived.
  void MarkSent(size_t index);
  RequestOutcome OutcomeOf(size_t index);
  void EndRequest(size_t index, RequestOutcome outcome, int status = 0);
  size_t AddAttempt(const AttemptRecord& attempt) { return Add(&HistoryData::attempts, attempt); }
  void EndAttempt(size_t index, AttemptOutcome outcome);
  void AddPause(const PauseRecord& pause) { Add(&HistoryData::pauses, pause); }
  size_t AddNotice(const NoticeRecord& notice) { return Add(&HistoryData::notices, notice); }
  void EndNotice(size_t index);
  void AddSilence(const SilenceRecord& silence) { Add(&HistoryData::silences, silence); }
  void AddExit(const ExitRecord& exit) { Add(&HistoryData::exits, exit); }
  void AddStart(const StartRecord& start) { Add(&HistoryData::starts, start); }
  void AddEvent(const std::string& text) { Add(&HistoryData::events, {Now(), text}); }
  void AddLeak(const std::string& text) { Add(&HistoryData::leaks, {Now(), text}); }

  // Returns all records and clears the history.
  HistoryData Take();

 private:
  using Clock = std::chrono::steady_clock;

  template <typename Record>
  size_t Add(std::vector<Record> HistoryData::*records, const Record& record) {
    std::lock_guard lock(mutex_);
    (data_.*records).push_back(record);
    return (data_.*records).size() - 1;
  }

  const Clock::time_point began_at_ = Clock::now();
  std::mutex mutex_;
  HistoryData data_;
};

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_HISTORY_H_
