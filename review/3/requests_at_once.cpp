// Clients send many requests at once on a connection. Each has to get its final answer, at the latest half a
// second after its time.
//
// Arguments: the case's folder and the command that runs a gateway. With TROUBLE=0 the clients send the same
// requests one at a time.
#include "../support/sites.h"

namespace review {
namespace {

constexpr int kGateways = 2, kBackends = 10, kClients = 8;
constexpr int kAtOnce = 16, kBatches = 4;
constexpr double kRestS = 2;         // of a client between two batches
constexpr double kTimeS = 2;         // for which a client waits: half of the class's give-up time
constexpr double kMayBeLateS = 0.5;  // later than this after its time a request is lost
constexpr double kSocketSlackS = 0.05;

struct Sent {
  double at_s = 0;  // when its last byte was written
  int attempts = 0;
};

struct Books {
  std::mutex mutex;
  std::map<std::string, Sent> sent;
  int too_long_told = 0, begun_after_time = 0;
};

class Backend {
 public:
  Backend(int number, Books* books, Record* record)
      : number_(number),
        books_(*books),
        record_(*record),
        listener_([this](Connection& connection) { Serve(connection); }) {}
  int port() const { return listener_.port(); }

 private:
  void Serve(Connection& connection) {
    Message request;
    while (connection.ReadMessage(60, &request) == Read::kMessage) {
      std::string id = request.Field("Request-Id");
      RecordAttempt(id, std::atof(request.Field("Request-Timeout-Ms").c_str()) / 1000);
      double service_s = 0.13 + 0.01 * (++answers_ * 7 % 11);  // 0.13 to 0.23 s
      if (connection.WaitForInput(service_s)) return;          // given up
      std::string body = "thumbnail for " + id;
      if (!connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                           body)) {
        return;
      }
    }
  }

  void RecordAttempt(const std::string& id, double told_s) {
    std::lock_guard lock(books_.mutex);
    Sent& sent = books_.sent[id];
    double left_s = sent.at_s + kTimeS - Now();
    ++sent.attempts;
    books_.too_long_told += told_s > std::max(0.0, left_s) + 0.15 + kSocketSlackS;
    books_.begun_after_time += left_s < 0;
    record_.Line("backend %d runs %s: told %.3f s, left to the client %.3f s", number_, id.c_str(), told_s,
                 left_s);
  }

  const int number_;
  Books& books_;
  Record& record_;
  std::atomic<int> answers_{0};
  Listener listener_;
};

struct Totals {
  std::atomic<int> ok{0}, refused{0}, failed{0}, lost{0};
};

class Client {
 public:
  Client(int number, int port, bool at_once, Books* books, Totals* totals, Record* record)
      : number_(number), port_(port), at_once_(at_once), books_(*books), totals_(*totals), record_(*record) {}

  void Run() {
    SleepUntil(Now() + 0.25 * number_);
    for (int batch = 0; batch < kBatches; ++batch) {
      std::vector<std::string> ids;
      for (int i = 0; i < kAtOnce; ++i) ids.push_back(NewId());
      if (at_once_) {
        Send(ids);
        for (const std::string& id : ids) Await(id);
      } else {
        for (const std::string& id : ids) {
          Send({id});
          Await(id);
        }
      }
      SleepUntil(Now() + kRestS);
    }
  }

 private:
  std::string NewId() {
    char id[20];
    std::snprintf(id, sizeof(id), "%04x%012x", number_ + 1, ++requests_);
    return id;
  }

  void Send(const std::vector<std::string>& ids) {
    if (connection_ == nullptr) connection_ = Connection::To(port_);
    char customer[20];
    std::snprintf(customer, sizeof(customer), "%016x", 0x1000 + number_);
    std::string text;
    for (const std::string& id : ids) {
      text += "GET /thumb HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id +
              "\r\nX-Tier: pro\r\nCookie: client=" + customer +
              "\r\nRequest-Timeout-Ms: " + std::to_string(static_cast<int>(kTimeS * 1000)) +
              "\r\nX-Call-Terms: units=1,spread=2,first=0\r\n\r\n";
    }
    std::lock_guard lock(books_.mutex);
    bool sent = connection_ != nullptr && connection_->Send(text);
    for (const std::string& id : ids) {
      books_.sent[id].at_s = Now();
      record_.Line("client %d sends %s%s", number_, id.c_str(), sent ? "" : " in vain");
    }
  }

  void Await(const std::string& id) {
    Message answer;
    bool got = connection_ != nullptr && connection_->ReadMessage(10, &answer) == Read::kMessage;
    std::lock_guard lock(books_.mutex);
    double late_s = Now() - (books_.sent[id].at_s + kTimeS);
    bool lost = !got || late_s > kMayBeLateS + kSocketSlackS;
    totals_.lost += lost;
    if (!got) {
      record_.Line("client %d got no answer to %s", number_, id.c_str());
      connection_.reset();
      return;
    }
    ++(answer.Status() == 200                             ? totals_.ok
       : answer.Status() == 503 || answer.Status() == 429 ? totals_.refused
                                                          : totals_.failed);
    record_.Line("client %d got %d to %s, %.3f s %s its time%s", number_, answer.Status(), id.c_str(),
                 std::abs(late_s), late_s > 0 ? "after" : "before", lost ? "  <- lost" : "");
    if (strcasecmp(answer.Field("Connection").c_str(), "close") == 0) connection_.reset();
  }

  const int number_, port_;
  const bool at_once_;
  Books& books_;
  Totals& totals_;
  Record& record_;
  int requests_ = 0;
  std::unique_ptr<Connection> connection_;
};

int Run(const std::string& folder, const std::string& command) {
  const char* setting = std::getenv("TROUBLE");
  bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(folder);
  Books books;
  std::vector<std::unique_ptr<Backend>> backends;
  json endpoints = json::array();
  const char* rooms[] = {"room-a", "room-b", "room-c"};
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(i, &books, &record));
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
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      Client(i, gateways[static_cast<size_t>(i % kGateways)]->port(), trouble, &books, &totals, &record)
          .Run();
    });
  }
  for (auto& client : clients) client.join();
  gateways.clear();

  std::lock_guard lock(books.mutex);
  record.Line("requests: %d, with 200: %d, refused: %d, failed: %d", kClients * kBatches * kAtOnce,
              totals.ok.load(), totals.refused.load(), totals.failed.load());
  record.Line("attempts that were told more than was left and 0.15 s: %d, begun after the client's time: %d",
              books.too_long_told, books.begun_after_time);
  record.Line("lost (answered over half a second after its time, or never): %d", totals.lost.load());
  bool broken = totals.lost > 0;
  record.Line(broken ? "the rule is broken" : "the rule held");
  std::_Exit(broken ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count != 3) return review::kCouldNotRun;
  return review::Run(arguments[1], arguments[2]);
}
