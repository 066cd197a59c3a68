// Some answers of the backends are spoilt: the length in their head is smaller than the answer. Such an
// attempt has failed; a client has to get the answer that was made for its request, or none.
//
// Arguments: the case's folder and the command that runs a gateway. With TROUBLE=0 all lengths fit.
#include "../support/sites.h"

namespace review {
namespace {

constexpr int kGateways = 2, kBackends = 6, kClientsPerGateway = 20;
constexpr double kRunS = 15;
constexpr double kPauseS = 0.15;  // between two requests of a customer: 7 of its 18 units a second
constexpr double kSpoiltShare = 0.1;

// The answer that a backend makes for a request.
std::string AnswerTo(const std::string& id) {
  std::string body = "thumbnail for " + id + ":";
  for (int i = 0; i < 40; ++i) body += " frame " + std::to_string(i);
  return body + " end";
}

class Backend {
 public:
  Backend(int number, bool trouble, Record* record)
      : number_(number),
        trouble_(trouble),
        record_(*record),
        listener_([this](Connection& connection) { Serve(connection); }) {}
  int port() const { return listener_.port(); }
  int spoilt_answers() const { return spoilt_answers_; }

 private:
  void Serve(Connection& connection) {
    Message request;
    std::mt19937 random(static_cast<unsigned>(++connections_ * 100 + number_));
    std::uniform_real_distribution<double> uniform(0, 1);
    while (connection.ReadMessage(60, &request) == Read::kMessage) {
      std::string id = request.Field("Request-Id");
      record_.Line("backend %d runs %s", number_, id.c_str());
      if (connection.WaitForInput(0.03 + 0.06 * uniform(random))) return;  // given up
      std::string body = AnswerTo(id);
      size_t length = body.size();
      bool spoilt = trouble_ && uniform(random) < kSpoiltShare;
      if (spoilt) length -= 1 + static_cast<size_t>(uniform(random) * static_cast<double>(length - 1));
      // One write: the gateway gets all of it at once.
      if (!connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n" +
                           body)) {
        return;
      }
      if (!spoilt) continue;
      ++spoilt_answers_;
      record_.Line("backend %d answers %s with %zu bytes and the length %zu", number_, id.c_str(),
                   body.size(), length);
      // The connection stays open but is of no further use.
      Message nothing;
      while (connection.ReadMessage(60, &nothing) == Read::kMessage) {
      }
      return;
    }
  }

  const int number_;
  const bool trouble_;
  Record& record_;
  std::atomic<int> connections_{0}, spoilt_answers_{0};
  Listener listener_;
};

struct Totals {
  std::atomic<int> sent{0}, unanswered{0}, ok{0}, refused{0}, failed{0}, wrong{0};
};

void RunClient(int number, int port, Totals* totals, Record* record) {
  std::unique_ptr<Connection> connection;
  std::mt19937 random(static_cast<unsigned>(number));
  double begun_s = Now(), due_s = begun_s;
  for (int i = 0; Now() < begun_s + kRunS; ++i) {
    due_s += kPauseS * std::uniform_real_distribution<double>(0.5, 1.5)(random);
    SleepUntil(due_s);
    if (connection == nullptr) connection = Connection::To(port);
    if (connection == nullptr) continue;
    char id[20], customer[20];
    std::snprintf(id, sizeof(id), "%04x%012x", number + 1, i + 1);
    std::snprintf(customer, sizeof(customer), "%016x", 0x1000 + number);
    std::string text = "GET /thumb HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + std::string(id) +
                       "\r\nX-Tier: pro\r\nCookie: client=" + customer +
                       "\r\nRequest-Timeout-Ms: 4000\r\nX-Call-Terms: units=1,spread=2,first=0\r\n\r\n";
    record->Line("client %d sends %s", number, id);
    ++totals->sent;
    Message answer;
    if (!connection->Send(text) || connection->ReadMessage(4.6, &answer) != Read::kMessage) {
      ++totals->unanswered;
      record->Line("client %d got no answer to %s", number, id);
      connection.reset();
      continue;
    }
    bool wrong = answer.Status() == 200 && answer.body != AnswerTo(id);
    record->Line("client %d got %d to %s, %zu bytes%s", number, answer.Status(), id, answer.body.size(),
                 wrong ? "  <- not the answer that a backend made" : "");
    totals->wrong += wrong;
    ++(answer.Status() == 200                             ? totals->ok
       : answer.Status() == 503 || answer.Status() == 429 ? totals->refused
                                                          : totals->failed);
    if (strcasecmp(answer.Field("Connection").c_str(), "close") == 0) connection.reset();
  }
}

int Run(const std::string& folder, const std::string& command) {
  const char* setting = std::getenv("TROUBLE");
  bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(folder);
  std::vector<std::unique_ptr<Backend>> backends;
  json endpoints = json::array();
  const char* rooms[] = {"room-a", "room-b", "room-c"};
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(i, trouble, &record));
    endpoints.push_back(Endpoint(i, backends.back()->port(), rooms[i % 3], "std-3core"));
  }
  static Counter counter;
  static Discovery discovery(endpoints);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    json settings = ThessalonikiSettings(kGateways);
    settings["me"] = i;
    gateways.push_back(std::make_unique<Gateway>(
        command, Configuration("n" + std::to_string(i), discovery, counter, settings)));
  }
  for (auto& gateway : gateways) {
    if (gateway->AwaitReady()) continue;
    record.Line("a gateway is not ready: the case could not run");
    gateways.clear();
    std::_Exit(kCouldNotRun);
  }
  Totals totals;
  std::vector<std::thread> clients;
  for (int i = 0; i < kGateways * kClientsPerGateway; ++i) {
    clients.emplace_back(
        [&, i] { RunClient(i, gateways[static_cast<size_t>(i % kGateways)]->port(), &totals, &record); });
  }
  for (auto& client : clients) client.join();
  gateways.clear();

  int spoilt_answers = 0;
  for (auto& backend : backends) spoilt_answers += backend->spoilt_answers();
  record.Line("requests: %d, with 200: %d, refused: %d, failed: %d, without an answer: %d",
              totals.sent.load(), totals.ok.load(), totals.refused.load(), totals.failed.load(),
              totals.unanswered.load());
  record.Line("spoilt answers: %d, answers with 200 that are not what a backend made: %d", spoilt_answers,
              totals.wrong.load());
  if (totals.ok < 1000 || (trouble && spoilt_answers < 20)) {
    record.Line("too few requests or spoilt answers: the case could not run");
    std::_Exit(kCouldNotRun);
  }
  bool broken = totals.wrong > 0;
  record.Line(broken ? "the rule is broken" : "the rule held");
  std::_Exit(broken ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count != 3) return review::kCouldNotRun;
  return review::Run(arguments[1], arguments[2]);
}
