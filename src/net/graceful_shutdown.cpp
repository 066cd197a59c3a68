#include "net/graceful_shutdown.h"

#include <algorithm>

namespace gateway::net {
namespace {

// Clients go on coming for up to 0.4 s after SIGTERM (PROTOCOL, Figures).
constexpr double kArrivalsS = 0.5;

// SIGKILL comes no sooner after SIGTERM than the longest deadline, of which at most kMaxKillDeadlineS counts,
// and kKillGraceS more (PROTOCOL, Figures). kKillMarginS of that is left to a busy core.
constexpr double kMaxKillDeadlineS = 3;
constexpr double kKillGraceS = 0.7;
constexpr double kKillMarginS = 0.2;

// After the longest deadline: for the last answers to be written.
constexpr double kStopGraceS = 0.6;

}  // namespace

GracefulShutdown::GracefulShutdown(asio::io_context& io, ClientServer& server,
                                   const InFlightRequests& requests, double longest_deadline_s)
    : io_(io), server_(server), requests_(requests), longest_deadline_s_(longest_deadline_s), timer_(io) {}

void GracefulShutdown::Start() {
  if (started()) return;
  Clock::time_point now = Clock::now();
  double kill_s = std::min(longest_deadline_s_, kMaxKillDeadlineS) + kKillGraceS;
  times_ = {.arrivals_end = now + Seconds(kArrivalsS),
            .answer_deadline = now + Seconds(kill_s - kKillMarginS),
            .stop_deadline = now + Seconds(longest_deadline_s_ + kStopGraceS)};
  server_.CloseAfterResponses();
  timer_.expires_at(times_->arrivals_end);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) OnArrivalsEnd();
  });
}

// By the clock, not by the timer: in a busy event loop the timer's handler comes late.
GracefulShutdown::State GracefulShutdown::state() const {
  if (!started()) return State::kServing;
  return Clock::now() < times_->arrivals_end ? State::kAcceptingArrivals : State::kDraining;
}

double GracefulShutdown::TimeForAnswer() const { return ToSeconds(times_->answer_deadline - Clock::now()); }

void GracefulShutdown::OnArrivalsEnd() {
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
