#include "net/graceful_shutdown.h"

#include <algorithm>

namespace gateway::net {
namespace {

// New requests keep arriving for up to 0.4 s after SIGTERM (PROTOCOL, Figures).
constexpr double kAcceptingRequestsS = 0.5;

// Shortest time from SIGTERM to SIGKILL: the longest deadline, but at most kMaxKillDeadlineS, plus
// kKillGraceS (PROTOCOL, Figures). kKillMarginS of that time is reserved for delays on a busy core.
constexpr double kMaxKillDeadlineS = 3;
constexpr double kKillGraceS = 0.7;
constexpr double kKillMarginS = 0.2;

// Time after the longest deadline for writing the last responses.
constexpr double kStopGraceS = 0.6;

}  // namespace

GracefulShutdown::GracefulShutdown(asio::io_context& io, ClientServer& server,
                                   const InFlightRequests& requests, double longest_deadline_s)
    : io_(io), server_(server), requests_(requests), longest_deadline_s_(longest_deadline_s), timer_(io) {}

void GracefulShutdown::Start() {
  if (started()) return;
  Clock::time_point now = Clock::now();
  double kill_s = std::min(longest_deadline_s_, kMaxKillDeadlineS) + kKillGraceS;
  times_ = {.accepting_end = now + Seconds(kAcceptingRequestsS),
            .answer_deadline = now + Seconds(kill_s - kKillMarginS),
            .stop_deadline = now + Seconds(longest_deadline_s_ + kStopGraceS)};
  server_.CloseAfterResponses();
  timer_.expires_at(times_->accepting_end);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) OnAcceptingEnd();
  });
}

// The state is computed from the clock, because in a busy event loop the handler of the timer runs late.
GracefulShutdown::State GracefulShutdown::state() const {
  if (!started()) return State::kServing;
  return Clock::now() < times_->accepting_end ? State::kAcceptingRequests : State::kDraining;
}

double GracefulShutdown::AnswerTimeLeftS() const { return ToSeconds(times_->answer_deadline - Clock::now()); }

void GracefulShutdown::OnAcceptingEnd() {
  server_.CloseIdle();
  timer_.expires_at(times_->answer_deadline);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) OnAnswerDeadline();
  });
  StopIfDone();
}

void GracefulShutdown::OnAnswerDeadline() {
  server_.CloseIncomplete();
  timer_.expires_at(times_->stop_deadline);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) OnStopDeadline();
  });
  StopIfDone();
}

void GracefulShutdown::OnStopDeadline() { io_.stop(); }

void GracefulShutdown::StopIfDone() {
  if (state() != State::kDraining) return;
  server_.CloseIdle();
  if (!requests_.HasUnanswered() && server_.HasNoConnections()) io_.stop();
}

}  // namespace gateway::net
