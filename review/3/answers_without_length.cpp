// Some answers of the backends have no length: the end of the connection is their end. Of those that come
// whole, half at least have to be forwarded.
//
// Arguments: the case's folder and the command that runs a gateway. TROUBLE=0 gives every answer a length.
#include <cinttypes>
#include <set>

#include "../support/sites.h"

namespace review {
namespace {

constexpr int kGateways = 2, kBackends = 10, kClients = 16;
constexpr double kRunS = 15;
constexpr double kPauseS = 0.35;  // between two requests of a customer: under its quota of 4 units a second
constexpr double kShareWithoutLength = 0.2;
constexpr double kToSpareS = 0.25;  // of the request's time, when the answer's end is sent
constexpr size_t kEnoughAnswers = 20;

// What backends sent and clients got. An answer's body is unique.
struct Books {
  std::mutex mutex;
  std::map<std::string, std::string> whole_without_length;  // body to request
  std::set<std::string> got;                                // bodies of answers with 200
  std::map<std::string, int> status;                        // by request
};

class Backend {
 public:
  Backend(int number, bool trouble, Books* books, Record* record)
      : number_(number),
        trouble_(trouble),
        books_(*books),
        record_(*record),
        listener_([this](Connection& connection) { Serve(connection); }) {}
  int port() const { return listener_.port(); }

 private:
  void Serve(Connection& connection) {
    Message request;
    while (connection.ReadMessage(60, &request) == Read::kMessage) {
      double received_s = Now();
      std::string id = request.Field("Request-Id");
      double told_s = std::atof(request.Field("Request-Timeout-Ms").c_str()) / 1000;
      int number = ++answers_;
      std::string body = "answer " + std::to_string(number_) + "-" + std::to_string(number) + " to " + id;
      record_.Line("backend %d runs %s %s", number_, request.start_line.c_str(), id.c_str());
      double service_s = 0.04 + 0.01 * (number * 7 % 10);
      if (connection.WaitForInput(service_s)) return;               // given up
      bool without_length = trouble_ && number % 5 == number_ % 5;  // kShareWithoutLength
      static_assert(kShareWithoutLength == 0.2);
      if (!without_length) {
        record_.Line("backend %d answers %s, with a length", number_, id.c_str());
        if (!connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body)) {
          return;
        }
        continue;
      }
      if (!connection.Send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body)) return;
      connection.EndSending();
      bool in_time = Now() - received_s < told_s - kToSpareS;
      record_.Line("backend %d answers %s, without a length, and ends the connection (FIN)%s", number_,
                   id.c_str(), in_time ? "" : ", too late to count");
      if (in_time) {
        std::lock_guard lock(books_.mutex);
        books_.whole_without_length[body] = id;
      }
      Message nothing;
      connection.ReadMessage(2, &nothing);  // stays until the gateway has closed its side
      return;
    }
  }

  const int number_;
  const bool trouble_;
  Books& books_;
  Record& record_;
  std::atomic<int> answers_{0};
  Listener listener_;
};

// A customer that sends one request after another, in turn through both gateways.
void RunClient(int number, const std::vector<std::unique_ptr<Gateway>>& gateways, Books* books,
               Record* record) {
  std::vector<std::unique_ptr<Connection>> connections(gateways.size());
  SleepUntil(Now() + kPauseS * number / kClients);
  double begun_s = Now();
  for (int i = 0; Now() < begun_s + kRunS; ++i) {
    SleepUntil(begun_s + i * kPauseS);
    auto& connection = connections[static_cast<size_t>(i) % gateways.size()];
    if (connection == nullptr)
      connection = Connection::To(gateways[static_cast<size_t>(i) % gateways.size()]->port());
    if (connection == nullptr) continue;
    bool post = i % 5 < 3;
    char id[20];
    std::snprintf(id, sizeof(id), "%04x%012x", number + 1, i + 1);
    std::string text = post ? "POST /post" : "GET /balance";
    text += " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + std::string(id) + "\r\nX-Tier: retail\r\n";
    char customer[20];
    std::snprintf(customer, sizeof(customer), "%016x", 0x1000 + number);
    text += "Cookie: client=" + std::string(customer) +
            "\r\nRequest-Timeout-Ms: " + (post ? "1500" : "1000") +
            "\r\nX-Call-Terms: units=1,spread=2,first=0\r\n";
    text += post ? "Content-Length: 5\r\n\r\nentry" : "\r\n";
    record->Line("client %d sends %s to gateway %d: %s", number, id, i % kGateways,
                 post ? "POST /post" : "GET /balance");
    Message answer;
    if (!connection->Send(text) || connection->ReadMessage(3, &answer) != Read::kMessage) {
      record->Line("client %d got no answer to %s", number, id);
      connection.reset();
      continue;
    }
    record->Line("client %d got %d to %s: %s", number, answer.Status(), id, answer.body.c_str());
    if (strcasecmp(answer.Field("Connection").c_str(), "close") == 0) connection.reset();
    std::lock_guard lock(books->mutex);
    books->status[id] = answer.Status();
    if (answer.Status() == 200) books->got.insert(answer.body);
  }
}

int Run(const std::string& folder, const std::string& command) {
  const char* setting = std::getenv("TROUBLE");
  bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(folder);
  Books books;
  std::vector<std::unique_ptr<Backend>> backends;
  json endpoints = json::array();
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<Backend>(i, trouble, &books, &record));
    endpoints.push_back(Endpoint(i, backends.back()->port(), "hall", "dual"));
  }
  static Counter counter;
  static Discovery discovery(endpoints);
  std::vector<std::unique_ptr<Gateway>> gateways;
  for (int i = 0; i < kGateways; ++i) {
    json settings = QuitoSettings(kGateways);
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
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { RunClient(i, gateways, &books, &record); });
  }
  for (auto& client : clients) client.join();
  gateways.clear();

  std::lock_guard lock(books.mutex);
  size_t whole = books.whole_without_length.size(), forwarded = 0;
  std::map<int, int> instead;
  for (const auto& [body, id] : books.whole_without_length) {
    if (books.got.count(body) != 0) {
      ++forwarded;
    } else if (books.status.count(id) != 0) {
      ++instead[books.status[id]];
    }
  }
  int ok = 0;
  for (const auto& [id, status] : books.status) ok += status == 200;
  record.Line("requests answered: %zu, with 200: %d", books.status.size(), ok);
  record.Line("answers without a length that came whole: %zu, forwarded: %zu", whole, forwarded);
  for (const auto& [status, count] : instead) {
    record.Line("where such an answer was not forwarded, the client got %d: %d times", status, count);
  }
  if (books.status.size() < 100 || (trouble && whole < kEnoughAnswers)) {
    record.Line("too few requests or answers: the case could not run");
    std::_Exit(kCouldNotRun);
  }
  bool broken = 2 * forwarded < whole;
  record.Line(broken ? "the rule is broken: under half of them were forwarded" : "the rule held");
  std::_Exit(broken ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int count, char** arguments) {
  if (count != 3) return review::kCouldNotRun;
  return review::Run(arguments[1], arguments[2]);
}
