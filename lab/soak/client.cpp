#include "lab/soak/client.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace gateway::lab::soak {
namespace {

constexpr double kMeanPauseS = 0.05;
constexpr double kLongPauseShare = 0.05;
constexpr double kLongPauseS = 1;
constexpr double kPipelinedShare = 0.1;
constexpr int kMaxPipelined = 3;
constexpr double kSlowSendShare = 0.05;
constexpr double kSlowSendPauseS = 0.1;
constexpr double kAbandonShare = 0.05;
constexpr double kMaxAbandonDelayS = 0.3;
constexpr double kMinTimeoutShare = 0.5;  // smallest timeout as a share of the class's deadline
// How long a client waits for a response after the timeout, to distinguish a late response from a missing
// one.
constexpr double kLateAnswerWaitS = 4;
constexpr double kRetryConnectS = 0.02;

void Sleep(double duration_s) { std::this_thread::sleep_for(std::chrono::duration<double>(duration_s)); }

}  // namespace

Client::Client(History* history, const Gateways* gateways, const Options& options)
    : history_(history),
      gateways_(*gateways),
      options_(options),
      random_(options.seed),
      gateway_(options.number % static_cast<int>(gateways->size())) {
  thread_ = std::thread([this] { Run(); });
}

Client::~Client() {
  Stop();
  thread_.join();
}

void Client::Run() {
  while (!stopping_) {
    Sleep(random_.Uniform() < kLongPauseShare ? kLongPauseS : random_.Exponential(kMeanPauseS));
    if (!EnsureConnected()) {
      Sleep(kRetryConnectS);
      continue;
    }
    SendBatch();
  }
}

// Connects only to a gateway that is in service. If that fails, the next call tries a gateway chosen at
// random.
bool Client::EnsureConnected() {
  if (connection_ != nullptr) return true;
  const SupervisedGateway& gateway = *gateways_[static_cast<size_t>(gateway_)];
  GatewayView view = gateway.View();
  if (view.in_service) connection_ = Connection::Connect(view.port);
  kills_at_connect_ = view.kills;
  if (connection_ == nullptr) gateway_ = random_.Below(static_cast<int>(gateways_.size()));
  return connection_ != nullptr;
}

Client::SentRequest Client::MakeRequest() {
  int number = random_.Below(kRequestClasses);
  auto request_class = static_cast<RequestClass>(number);
  double deadline_s = options_.deployment.classes[number].deadline_s;
  char id[24];
  std::snprintf(id, sizeof(id), "%08x%08x", static_cast<unsigned>(options_.number + 1),
                static_cast<unsigned>(++requests_));
  SentRequest sent;
  sent.id = id;
  sent.timeout_s = deadline_s * random_.Between(kMinTimeoutShare, 1);
  bool get = request_class == RequestClass::kIdempotent;
  sent.text = std::string(get ? "GET /" : "POST /") + ClassName(request_class) + " HTTP/1.1\r\nHost: a\r\n";
  sent.text += "Request-Id: " + sent.id + "\r\nX-Tier: business\r\n";
  sent.text += "Cookie: client=00000000";
  sent.text += std::string(id, 8) + "\r\n";
  sent.text += "Request-Timeout-Ms: " + std::to_string(static_cast<int>(sent.timeout_s * 1000)) + "\r\n";
  sent.text += "X-Call-Terms: units=1,spread=1,first=0\r\n";
  if (request_class == RequestClass::kIdempotencyKey) sent.text += "Idempotency-Key: k" + sent.id + "\r\n";
  sent.text += get ? "\r\n" : "Content-Length: 4\r\n\r\nbody";
  RequestRecord record;
  record.id = sent.id;
  record.request_class = request_class;
  record.timeout_s = sent.timeout_s;
  record.gateway = gateway_;
  record.sent_s = history_->Now();
  sent.record = history_->AddRequest(record);
  return sent;
}

void Client::SendBatch() {
  std::vector<SentRequest> batch;
  bool pipelined = random_.Uniform() < kPipelinedShare;
  int count = pipelined ? 2 + random_.Below(kMaxPipelined - 1) : 1;
  std::string text;
  for (int i = 0; i < count; ++i) {
    batch.push_back(MakeRequest());
    text += batch.back().text;
  }
  if (random_.Uniform() < kSlowSendShare) {
    connection_->Send(text.substr(0, text.size() / 2));
    Sleep(kSlowSendPauseS);
    text.erase(0, text.size() / 2);
  }
  connection_->Send(text);
  // The timeout of a pipelined request starts with the response to the request before it. A client that
  // disconnects early does not wait for that response, so only requests that are not pipelined are abandoned.
  if (!pipelined && random_.Uniform() < kAbandonShare) return Abandon(batch);
  for (size_t i = 0; i < batch.size(); ++i) {
    history_->MarkSent(batch[i].record);
    if (AwaitAnswer(batch[i])) continue;
    connection_.reset();
    std::vector<SentRequest> rest(batch.begin() + static_cast<std::ptrdiff_t>(i) + 1, batch.end());
    EndRemaining(rest, history_->OutcomeOf(batch[i].record));
    return ResendUnread(batch);
  }
}

void Client::Abandon(const std::vector<SentRequest>& batch) {
  for (const SentRequest& request : batch) history_->MarkSent(request.record);
  connection_->WaitForInput(random_.Between(0, kMaxAbandonDelayS));
  bool answered = connection_->WaitForInput(0);
  connection_.reset();
  for (const SentRequest& request : batch) {
    history_->EndRequest(request.record,
                         answered ? RequestOutcome::kUnobserved : RequestOutcome::kClientLeft);
  }
}

// Ends the pipelined requests behind a request whose connection was closed. If that request was answered with
// "Connection: close", the gateway did not read the requests behind it.
void Client::EndRemaining(const std::vector<SentRequest>& rest, RequestOutcome outcome) {
  if (outcome == RequestOutcome::kAnswered) outcome = RequestOutcome::kClosedUnread;
  for (const SentRequest& request : rest) history_->EndRequest(request.record, outcome);
}

RequestOutcome Client::OutcomeOfClosedConnection(ReadResult result) const {
  if (gateways_[static_cast<size_t>(gateway_)]->View().kills != kills_at_connect_) {
    return RequestOutcome::kGatewayDown;
  }
  if (result == ReadResult::kTimeout) return RequestOutcome::kNoAnswer;
  if (result == ReadResult::kReset) return RequestOutcome::kClosedUnread;
  return connection_->WasClosedWithUnreadBytes() ? RequestOutcome::kClosedUnread
                                                 : RequestOutcome::kClosedRead;
}

bool Client::AwaitAnswer(const SentRequest& request) {
  Message response;
  ReadResult result = connection_->ReadMessage(request.timeout_s + kLateAnswerWaitS, &response);
  if (result != ReadResult::kMessage) {
    history_->EndRequest(request.record, OutcomeOfClosedConnection(result));
    return false;
  }
  history_->EndRequest(request.record, RequestOutcome::kAnswered, response.Status());
  return response.Field("Connection") != "close";
}

// Resends, on a new connection, the requests that the gateway had not read when it closed the connection.
void Client::ResendUnread(const std::vector<SentRequest>& requests) {
  for (const SentRequest& request : requests) {
    if (history_->OutcomeOf(request.record) != RequestOutcome::kClosedUnread) continue;
    double end_s = history_->Now() + 1;
    while (!EnsureConnected() && history_->Now() < end_s) Sleep(kRetryConnectS);
    if (connection_ == nullptr) return;
    SentRequest resent = request;
    resent.record = history_->AddResend(request.record, gateway_);
    connection_->Send(resent.text);
    history_->MarkSent(resent.record);
    if (!AwaitAnswer(resent)) connection_.reset();
  }
}

}  // namespace gateway::lab::soak
