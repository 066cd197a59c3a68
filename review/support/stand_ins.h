// Stand-ins for clients, backends, discovery and the counter on loopback, and the real gateway as a process.
// They follow the page PROTOCOL. All waits are bounded, and the gateways end with the process that started
// them.
#ifndef REVIEW_SUPPORT_STAND_INS_H_
#define REVIEW_SUPPORT_STAND_INS_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;

constexpr int kCouldNotRun = 2;

inline double Now() {
  static const auto begun = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
}

inline void SleepUntil(double at_s) {
  double left_s = at_s - Now();
  if (left_s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(left_s));
}

// The file record.txt of a case.
class Record {
 public:
  explicit Record(const std::string& folder) : file_(std::fopen((folder + "/record.txt").c_str(), "w")) {
    if (file_ == nullptr) std::_Exit(kCouldNotRun);
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.4f ", Now());
    va_list values;
    va_start(values, format);
    std::vfprintf(file_, format, values);
    va_end(values);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

struct Message {
  std::string start_line;
  std::string head;  // with the start line
  std::string body;

  // Returns the field's value, or an empty string.
  std::string Field(const std::string& name) const {
    size_t at = 0;
    while ((at = head.find("\r\n", at)) != std::string::npos) {
      at += 2;
      if (strncasecmp(head.c_str() + at, (name + ":").c_str(), name.size() + 1) != 0) continue;
      size_t from = head.find_first_not_of(' ', at + name.size() + 1);
      return head.substr(from, head.find("\r\n", from) - from);
    }
    return "";
  }
  int Status() const { return start_line.size() > 11 ? std::atoi(start_line.c_str() + 9) : 0; }
};

enum class Read { kMessage, kTimeout, kEnd, kReset };

// One end of a TCP connection.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  static std::unique_ptr<Connection> To(int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  bool Send(const std::string& text) {
    size_t sent = 0;
    while (sent < text.size()) {
      ssize_t n = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  // Whether bytes or the end of the connection come within the time.
  bool WaitForInput(double within_s) const {
    pollfd wait{fd_, POLLIN, 0};
    timespec left{static_cast<time_t>(within_s),
                  static_cast<long>((within_s - static_cast<time_t>(within_s)) * 1e9)};
    return within_s > 0 ? ppoll(&wait, 1, &left, nullptr) > 0 : poll(&wait, 1, 0) > 0;
  }

  // Reads a message that has a Content-Length or no body. Keeps the bytes behind it.
  Read ReadMessage(double within_s, Message* message) {
    double until_s = Now() + within_s;
    while (!Take(message)) {
      if (!WaitForInput(std::max(0.0, until_s - Now()))) return Read::kTimeout;
      char bytes[16384];
      ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
      if (n == 0) return Read::kEnd;
      if (n < 0) return Read::kReset;
      received_.append(bytes, static_cast<size_t>(n));
    }
    return Read::kMessage;
  }

  bool ReadLine(std::string* line) {
    for (;;) {
      size_t end = received_.find("\r\n");
      if (end != std::string::npos) {
        *line = received_.substr(0, end);
        received_.erase(0, end + 2);
        return true;
      }
      char bytes[4096];
      ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
      if (n <= 0) return false;
      received_.append(bytes, static_cast<size_t>(n));
    }
  }

  // Reads the bytes that have come, at least one. Returns false at the end of the connection.
  bool ReadSome(std::string* bytes) {
    char chunk[16384];
    ssize_t n = recv(fd_, chunk, sizeof(chunk), 0);
    if (n > 0) bytes->assign(chunk, static_cast<size_t>(n));
    return n > 0;
  }

  // Ends the sending side: the peer reads all that was sent and then an orderly end.
  void EndSending() { shutdown(fd_, SHUT_WR); }
  void EndBoth() { shutdown(fd_, SHUT_RDWR); }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

 private:
  bool Take(Message* message) {
    size_t end = received_.find("\r\n\r\n");
    if (end == std::string::npos) return false;
    message->head = received_.substr(0, end + 2);
    message->start_line = message->head.substr(0, message->head.find("\r\n"));
    size_t length = std::strtoul(message->Field("Content-Length").c_str(), nullptr, 10);
    if (received_.size() < end + 4 + length) return false;
    message->body = received_.substr(end + 4, length);
    received_.erase(0, end + 4 + length);
    return true;
  }

  int fd_;
  std::string received_;
};

// Listens on a free loopback port and serves each connection on a thread of its own.
class Listener {
 public:
  using Serve = std::function<void(Connection&)>;

  explicit Listener(Serve serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(fd_, 512) != 0) {
      std::_Exit(kCouldNotRun);
    }
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }

 private:
  void Accept() {
    for (;;) {
      int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      std::thread([this, fd] {
        Connection connection(fd);
        serve_(connection);
      }).detach();
    }
  }

  Serve serve_;
  int fd_ = -1, port_ = 0;
};

inline std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

inline json Endpoint(int number, int port, const std::string& zone, const std::string& type) {
  return {{"name", "s-" + std::to_string(number)},
          {"address", Loopback(port)},
          {"zone", zone},
          {"type", type},
          {"group", number / 4},
          {"status", "active"},
          {"weight", 1.0},
          {"since_ms", 0}};
}

// Discovery's agent with a list that does not change.
class Discovery {
 public:
  explicit Discovery(json endpoints)
      : endpoints_(std::move(endpoints)), listener_([this](Connection& connection) { Serve(connection); }) {}
  int port() const { return listener_.port(); }
  json List() const { return {{"index", kIndex}, {"snapshot", true}, {"endpoints", endpoints_}}; }

 private:
  static constexpr int kIndex = 7;

  void Serve(Connection& connection) {
    Message call;
    while (connection.ReadMessage(120, &call) == Read::kMessage) {
      json list = List();
      size_t wait = call.start_line.find("wait_ms=");
      if (wait != std::string::npos) {
        list = {{"index", kIndex}, {"snapshot", false}, {"endpoints", json::array()}};
        if (connection.WaitForInput(std::atof(call.start_line.c_str() + wait + 8) / 1000)) return;
      }
      std::string body = list.dump();
      if (!connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                           body)) {
        return;
      }
    }
  }

  const json endpoints_;
  Listener listener_;
};

// The counter: TALLY alone.
class Counter {
 public:
  Counter() : listener_([this](Connection& connection) { Serve(connection); }) {}
  int port() const { return listener_.port(); }

 private:
  void Serve(Connection& connection) {
    constexpr int kLines = 9;  // "*4", and the length and the text of each of four words
    std::string line[kLines];
    for (;;) {
      for (std::string& part : line) {
        if (!connection.ReadLine(&part)) return;
      }
      char total[32];
      {
        std::lock_guard lock(mutex_);
        std::snprintf(total, sizeof(total), "%.6f", totals_[line[4]] += std::atof(line[6].c_str()));
      }
      if (!connection.Send("$" + std::to_string(std::strlen(total)) + "\r\n" + total + "\r\n")) return;
    }
  }

  std::mutex mutex_;
  std::map<std::string, double> totals_;
  Listener listener_;
};

// A loopback port that is free and that the system does not give to outgoing connections.
inline int FreePort() {
  static std::mt19937 random(std::random_device{}());
  for (int i = 0; i < 1000; ++i) {
    int port = std::uniform_int_distribution<int>(12000, 30000)(random);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(fd);
    if (free) return port;
  }
  std::_Exit(kCouldNotRun);
}

// A real gateway, started with the command of the deploy file.
class Gateway {
 public:
  // `configuration` lacks the address to listen on.
  Gateway(const std::string& run, json configuration) {
    folder_ = std::filesystem::temp_directory_path() /
              ("review-" + std::to_string(getpid()) + "-" + configuration["name"].get<std::string>());
    std::filesystem::create_directories(folder_ / "tmp");
    port_ = FreePort();
    configuration["listen"] = Loopback(port_);
    std::ofstream(folder_ / "config.json") << configuration.dump(1);
    std::string config = (folder_ / "config.json").string(), temporary = (folder_ / "tmp").string();
    std::string log = (folder_ / "log").string(), name = configuration["name"];
    std::string discovery = configuration["discovery"];
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (std::freopen(log.c_str(), "w", stderr) == nullptr) std::_Exit(kCouldNotRun);
    setenv("LB_CONFIG", config.c_str(), 1);
    setenv("LB_NAME", name.c_str(), 1);
    setenv("LB_LISTEN", Loopback(port_).c_str(), 1);
    setenv("LB_DISCOVERY", discovery.c_str(), 1);
    setenv("TMPDIR", temporary.c_str(), 1);
    execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
    std::_Exit(kCouldNotRun);
  }
  ~Gateway() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  int port() const { return port_; }
  int pid() const { return pid_; }

  bool AwaitReady() const {
    double until_s = Now() + 10;
    while (Now() < until_s) {
      Message answer;
      auto connection = Connection::To(port_);
      if (connection != nullptr && connection->Send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n") &&
          connection->ReadMessage(1, &answer) == Read::kMessage && answer.Status() == 200) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

 private:
  std::filesystem::path folder_;
  int port_ = 0;
  pid_t pid_ = 0;
};

}  // namespace review

#endif  // REVIEW_SUPPORT_STAND_INS_H_
