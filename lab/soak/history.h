// What happened in one soak: requests, attempts, and the events that the schedule brought about.
#ifndef GATEWAY_LAB_SOAK_HISTORY_H_
#define GATEWAY_LAB_SOAK_HISTORY_H_

#include <chrono>
#include <mutex>
#include <string>
#include <vector>

namespace gateway::lab::soak {

// Request classes of the soak's deployment, one of each idempotency.
enum class RequestClass { kIdempotent, kIdempotencyKey, kNonIdempotent };
inline constexpr int kRequestClasses = 3;

inline constexpr int kAllGateways = -1;

// How a request ended, as its client sees it.
enum class RequestEnd {
  kPending,
  kAnswered,
  kClosedRead,    // the gateway closed the connection after it had read the request
  kClosedUnread,  // the closing crossed the request, or answered it by "Connection: close"
  kNoAnswer,      // none within the time that the soak waits
  kClientLeft,    // its client closed the connection
  kGatewayDown,   // the gateway was killed
  kUnobserved,    // its client left as an answer came
};

// One sending of a request. A request that is sent again because the gateway's closing crossed it has two.
struct RequestRecord {
  std::string id;
  RequestClass request_class = RequestClass::kIdempotent;
  int gateway = 0;
  double sent_s = 0;     // its last byte
  double timeout_s = 0;  // that the client told
  bool sent_again = false;
  RequestEnd end = RequestEnd::kPending;
  double ended_s = 0;
  int status = 0;  // of the answer
};

// How an attempt ended, as its backend sees it.
enum class AttemptEnd {
  kOpen,
  kAnswered,
  kError,       // a failure that may have had an effect
  kNotStarted,  // turned away unseen
  kReset,       // by the backend, after it began
  kGivenUp,     // the gateway closed the connection
};

struct AttemptRecord {
  std::string request_id;
  int backend = 0;
  double first_byte_s = 0;
  double begun_s = 0;         // its last byte has come
  double told_timeout_s = 0;  // that the gateway told
  AttemptEnd end = AttemptEnd::kOpen;
  double ended_s = 0;
};

// A gateway's process stood still; or, with kAllGateways, the soak's own threads.
struct HoldRecord {
  int gateway = 0;
  double from_s = 0;
  double to_s = 0;
};

// A backend was listed as draining or gone, where the agent could be reached.
struct NoticeRecord {
  int backend = 0;
  double notified_s = 0;
  double until_s = 0;  // listed as ready again; or the end of the soak
};

// A gateway's process has ended.
struct ExitRecord {
  int gateway = 0;
  double at_s = 0;
  bool killed = false;  // by the soak
  int status = 0;       // of the exit, or the negative number of the signal
};

struct StartRecord {
  int gateway = 0;
  double started_s = 0;
  double ready_s = 0;  // below zero: not within the limit
};

// Discovery's agent answered nothing.
struct SilenceRecord {
  double from_s = 0;
  double to_s = 0;
};

struct EventRecord {
  double at_s = 0;
  std::string text;
};

// All that a soak has recorded; plain data, for the checks.
struct HistoryData {
  std::vector<RequestRecord> requests;
  std::vector<AttemptRecord> attempts;
  std::vector<HoldRecord> holds;
  std::vector<NoticeRecord> notices;
  std::vector<SilenceRecord> silences;
  std::vector<ExitRecord> exits;
  std::vector<StartRecord> starts;
  std::vector<EventRecord> events;
  std::vector<EventRecord> leaks;  // descriptors that were not given back
};

// Records from many threads. An index that Add returns stays valid.
class History {
 public:
  // Seconds since the soak began.
  double Now() const { return std::chrono::duration<double>(Clock::now() - began_at_).count(); }

  size_t AddRequest(const RequestRecord& request) { return Add(&HistoryData::requests, request); }
  // A second sending of a request.
  size_t AddSendingAgain(size_t index, int gateway);
  // The last byte of the request has been sent, or the answer before it has come.
  void MarkSent(size_t index);
  RequestEnd EndOf(size_t index);
  void EndRequest(size_t index, RequestEnd end, int status = 0);
  size_t AddAttempt(const AttemptRecord& attempt) { return Add(&HistoryData::attempts, attempt); }
  void EndAttempt(size_t index, AttemptEnd end);
  void AddHold(const HoldRecord& hold) { Add(&HistoryData::holds, hold); }
  size_t AddNotice(const NoticeRecord& notice) { return Add(&HistoryData::notices, notice); }
  void EndNotice(size_t index);
  void AddSilence(const SilenceRecord& silence) { Add(&HistoryData::silences, silence); }
  void AddExit(const ExitRecord& exit) { Add(&HistoryData::exits, exit); }
  void AddStart(const StartRecord& start) { Add(&HistoryData::starts, start); }
  void AddEvent(const std::string& text) { Add(&HistoryData::events, {Now(), text}); }
  void AddLeak(const std::string& text) { Add(&HistoryData::leaks, {Now(), text}); }

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
