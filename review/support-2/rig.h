// Small stand-ins for a case of this review: discovery, counter, backends and clients on loopback, and the
// gateway as a process of its own. Blocking sockets and one thread for each connection; nothing here is
// shared with the project's programs.
#ifndef REVIEW_SUPPORT_2_RIG_H_
#define REVIEW_SUPPORT_2_RIG_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

inline double Now() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline void SleepS(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Writes record.txt: what was sent, answered and run, with the time since the start.
class Record {
 public:
  explicit Record(const std::string& file) : out_(file), begun_(Now()) {}
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    std::lock_guard<std::mutex> lock(mutex_);
    char stamp[32];
    std::snprintf(stamp, sizeof(stamp), "%8.3f ", Now() - begun_);
    out_ << stamp << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  double begun_;
};

inline std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return text;
}

struct Message {
  std::string start;                          // request line or status line
  std::map<std::string, std::string> fields;  // by name in lower case
  std::string body;
  int status = 0;           // of a response
  bool has_length = false;  // a response without a length is not whole here

  std::string Field(const std::string& name) const {
    auto it = fields.find(name);
    return it == fields.end() ? "" : it->second;
  }
};

// One end of a connection.
class Wire {
 public:
  explicit Wire(int fd) : fd_(fd) {
    int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Wire() { Close(); }
  Wire(const Wire&) = delete;
  Wire& operator=(const Wire&) = delete;

  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }

  bool Write(const std::string& text) const {
    size_t sent = 0;
    while (sent < text.size()) {
      ssize_t n = send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) return false;
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  // Reads one line; false at the end of the connection or at `until`.
  bool ReadLine(std::string* line, double until) {
    size_t end;
    while ((end = buffer_.find("\r\n")) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    *line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return true;
  }
  bool ReadBytes(size_t size, std::string* bytes, double until) {
    while (buffer_.size() < size) {
      if (!Fill(until)) return false;
    }
    *bytes = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

  // Reads one message with Content-Length; false if none came whole.
  bool ReadMessage(Message* message, double until) {
    *message = Message();
    std::string line;
    if (!ReadLine(&message->start, until)) return false;
    while (ReadLine(&line, until)) {
      if (line.empty()) break;
      size_t colon = line.find(':');
      if (colon == std::string::npos) return false;
      size_t value = line.find_first_not_of(' ', colon + 1);
      message->fields[Lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    if (!line.empty()) return false;
    if (message->start.rfind("HTTP/1.1 ", 0) == 0) message->status = std::atoi(message->start.c_str() + 9);
    message->has_length = message->fields.count("content-length") > 0;
    size_t length = static_cast<size_t>(std::atol(message->Field("content-length").c_str()));
    return ReadBytes(length, &message->body, until);
  }

 private:
  bool Fill(double until) {
    pollfd ready{fd_, POLLIN, 0};
    int wait_ms = static_cast<int>(std::max(0.0, (until - Now()) * 1000)) + 1;
    if (fd_ < 0 || poll(&ready, 1, wait_ms) <= 0) return false;
    char bytes[16384];
    ssize_t n = recv(fd_, bytes, sizeof(bytes), 0);
    if (n <= 0) return false;
    buffer_.append(bytes, static_cast<size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// A port that is free now.
inline int FreePort() {
  int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = Loopback(0);
  bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  int port = PortOf(fd);
  close(fd);
  return port;
}

// Returns a descriptor, or -1.
inline int Connect(int port) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0) return fd;
  close(fd);
  return -1;
}

// Listens on a port and gives each connection to `serve` on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Wire&)>;
  explicit Server(Serve serve) : serve_(std::move(serve)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = Loopback(0);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd_, 1024) != 0) {
      std::exit(2);
    }
    port_ = PortOf(fd_);
    std::thread([this] {
      for (;;) {
        int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] {
          Wire wire(fd);
          serve_(wire);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }

 private:
  Serve serve_;
  int fd_;
  int port_;
};

inline std::string Response(int status, const std::string& reason, const std::string& body,
                            const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Discovery's agent: the whole list and watches (PROTOCOL, Discovery).
class Discovery {
 public:
  Discovery() : server_([this](Wire& wire) { Serve(wire); }) {}
  int port() const { return server_.port(); }

  // Sets the entries of the whole list.
  void Set(const std::string& entries) {
    std::lock_guard<std::mutex> lock(mutex_);
    entries_ = entries;
    ++index_;
    changed_.notify_all();
  }
  std::string List() {
    std::lock_guard<std::mutex> lock(mutex_);
    return Text();
  }

  static std::string Entry(const std::string& name, int port, const std::string& status = "active") {
    return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + std::to_string(port) +
           "\",\"zone\":\"a\",\"type\":\"std\",\"group\":0,\"status\":\"" + status +
           "\",\"weight\":1.0,\"since_ms\":0}";
  }

 private:
  std::string Text() const {
    return "{\"index\":" + std::to_string(index_) + ",\"snapshot\":true,\"endpoints\":[" + entries_ + "]}";
  }
  std::string Unchanged() const {
    return "{\"index\":" + std::to_string(index_) + ",\"snapshot\":false,\"endpoints\":[]}";
  }
  void Serve(Wire& wire) {
    Message request;
    while (wire.ReadMessage(&request, Now() + 600)) {
      size_t after = request.start.find("after=");
      size_t wait = request.start.find("wait_ms=");
      std::string body;
      {
        std::unique_lock<std::mutex> lock(mutex_);
        if (after == std::string::npos) {
          body = Text();
        } else {
          long known = std::atol(request.start.c_str() + after + 6);
          long wait_ms = wait == std::string::npos ? 0 : std::atol(request.start.c_str() + wait + 8);
          changed_.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] { return index_ > known; });
          body = index_ > known ? Text() : Unchanged();
        }
      }
      if (!wire.Write(Response(200, "OK", body))) return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::string entries_;
  long index_ = 40;
  Server server_;
};

// The counter: TALLY with totals that never expire within a case.
class Counter {
 public:
  Counter() : server_([this](Wire& wire) { Serve(wire); }) {}
  int port() const { return server_.port(); }

  // Adds the amount of the next call and answers it with this text; the connection is then of no further use.
  void SpoilNext(const std::string& answer) {
    std::lock_guard<std::mutex> lock(mutex_);
    spoilt_answer_ = answer;
  }
  int spoilt() const { return spoilt_; }

 private:
  void Serve(Wire& wire) {
    std::string line;
    while (wire.ReadLine(&line, Now() + 600)) {
      int parts = std::atoi(line.c_str() + 1);
      std::vector<std::string> words;
      for (int i = 0; i < parts; ++i) {
        std::string text;
        if (!wire.ReadLine(&line, Now() + 10)) return;
        if (!wire.ReadBytes(static_cast<size_t>(std::atoi(line.c_str() + 1)) + 2, &text, Now() + 10)) return;
        words.push_back(text.substr(0, text.size() - 2));
      }
      if (words.size() != 4) {
        wire.Write("-ERR no such call\r\n");
        continue;
      }
      char total[32];
      std::string spoilt_answer;
      {
        std::lock_guard<std::mutex> lock(mutex_);
        std::swap(spoilt_answer, spoilt_answer_);
        totals_[words[1]] += std::atof(words[2].c_str());
        std::snprintf(total, sizeof(total), "%.7g", totals_[words[1]]);
      }
      if (!spoilt_answer.empty()) {
        ++spoilt_;
        wire.Write(spoilt_answer);
        while (wire.ReadLine(&line, Now() + 600)) {
        }
        return;
      }
      wire.Write("$" + std::to_string(std::strlen(total)) + "\r\n" + total + "\r\n");
    }
  }
  std::mutex mutex_;
  std::map<std::string, double> totals_;
  std::string spoilt_answer_;
  std::atomic<int> spoilt_{0};
  Server server_;
};

// A folder that is removed with its files at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    std::string pattern = std::string(base != nullptr ? base : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) std::exit(2);
    path_ = pattern;
  }
  ~TemporaryFolder() { Remove(); }
  void Remove() {
    for (const std::string& name : names_) unlink((path_ + "/" + name).c_str());
    rmdir(path_.c_str());
  }
  std::string File(const std::string& name) {
    names_.push_back(name);
    return path_ + "/" + name;
  }

 private:
  std::string path_;
  std::vector<std::string> names_;
};

// The command of a key in the deploy file.
inline std::string DeployCommand(const std::string& key) {
  std::ifstream file("deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(key + " = \"", 0) != 0) continue;
    size_t begin = line.find('"') + 1;
    return line.substr(begin, line.find('"', begin) - begin);
  }
  return "";
}

// One gateway, started by the deploy file's `run`. It is killed at the end.
class Gateway {
 public:
  Gateway(const std::string& config_file, const std::string& config, const std::string& log_file, int port)
      : port_(port) {
    std::ofstream(config_file) << config;
    std::string command = DeployCommand("run");
    pid_t parent = getpid();
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(2);
      int log = open(log_file.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
      dup2(log, 1);
      dup2(log, 2);
      setenv("LB_CONFIG", config_file.c_str(), 1);
      execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      _exit(2);
    }
  }
  ~Gateway() { Kill(); }
  void Kill() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  void Signal(int signal) const { kill(pid_, signal); }

  bool AwaitReady(double limit_s = 10) const {
    for (double until = Now() + limit_s; Now() < until; SleepS(0.05)) {
      int fd = Connect(port_);
      if (fd < 0) continue;
      Wire wire(fd);
      Message answer;
      wire.Write("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
      if (wire.ReadMessage(&answer, Now() + 1) && answer.status == 200) return true;
    }
    return false;
  }
  // Whether it has ended; the status is then in `*status`.
  bool HasEnded(int* status) {
    if (pid_ <= 0) return true;
    if (waitpid(pid_, status, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  // A line of /proc/PID/status in kB, such as VmHWM or VmRSS.
  long StatusKb(const std::string& key) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(file, line);) {
      if (line.rfind(key + ":", 0) == 0) return std::atol(line.c_str() + key.size() + 1);
    }
    return 0;
  }

 private:
  int port_;
  pid_t pid_ = -1;
};

// Ends the gateway, removes the folder and ends this process with `code`, without waiting for the stand-ins'
// threads.
[[noreturn]] inline void Finish(Gateway* gateway, TemporaryFolder* folder, int code) {
  gateway->Kill();
  folder->Remove();
  _exit(code);
}

struct ClassSettings {
  std::string name;
  std::string effect;  // free, guarded or single_shot
  double aim_s = 0.5;
  double deadline_s = 1;
  double window_s = 2;
};

struct Settings {
  std::vector<ClassSettings> classes;
  int gateways = 3;
  int memory_mb = 192;
  int sockets = 1024;
  bool cancel = true;
  bool hedge = false;
  double connect_timeout_s = 0.25;
  double drain_grace_s = 2;
};

// The configuration of a gateway, in the form of DEPLOY.
inline std::string Config(const Settings& settings, int listen_port, int discovery_port, int counter_port,
                          const std::string& known) {
  std::ostringstream classes;
  for (size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& c = settings.classes[i];
    classes << (i > 0 ? "," : "") << "{\"name\":\"" << c.name << "\",\"effect\":\"" << c.effect
            << "\",\"aim-s\":" << c.aim_s << ",\"hard-limit-s\":" << c.deadline_s
            << ",\"window-s\":" << c.window_s
            << ",\"importance\":1.0,\"late-share\":0.0,\"dedup-scope\":\"all\",\"streamed\":false}";
  }
  std::ostringstream text;
  text << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" << listen_port
       << "\",\"discovery\":\"127.0.0.1:" << discovery_port << "\",\"counter\":\"127.0.0.1:" << counter_port
       << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << settings.memory_mb
       << ",\"sockets\":" << settings.sockets << "},\"known\":" << known
       << ",\"settings\":{\"me\":0,\"peers-total\":" << settings.gateways
       << ",\"zone\":0,\"zones\":[\"a\"],\"kinds\":[\"std\"],\"resolution-s\":0.004,\"discovery\":\"pushed\","
       << "\"specifics\":{\"units-top\":6,\"may-count\":true,\"counter-timeout-s\":0.03,\"counter-price\":0."
          "01},"
       << "\"prices\":{\"cross-zone\":0.012},\"limits\":{\"cancel\":" << (settings.cancel ? "true" : "false")
       << ",\"parallel-tries\":" << (settings.hedge ? "true" : "false")
       << ",\"retry-after\":true,\"max-retry-after-s\":1.0,\"try-limit\":6,\"conn-idle-s\":15.0,"
       << "\"connect-timeout-s\":" << settings.connect_timeout_s
       << "},\"invariants\":{\"cold-from\":0.17,\"warm-after-s\":17.0,\"tip-multiple\":4.0,\"tip-after-s\":1."
          "0,"
       << "\"ask-within-s\":10.0,\"drain-grace-s\":" << settings.drain_grace_s << "},\"request-classes\":["
       << classes.str()
       << "],\"tiers-of-service\":[{\"name\":\"pro\",\"units-per-s\":500.0,\"store-size\":1000.0,"
       << "\"never-over-rate\":0.0,\"ceiling-burst\":0.0,\"cap-slack\":0.0,\"excess-worth\":0.0,\"over-"
          "cost\":0.8,"
       << "\"value-factor\":1.0,\"parallel\":0}]}}";
  return text.str();
}

// A client's request in the form of PROTOCOL. `fields` are further header lines.
inline std::string Request(const std::string& method, const std::string& request_class, const std::string& id,
                           int timeout_ms, const std::string& body = "", int customer = 0x51,
                           const std::string& fields = "", int spread = 3) {
  char cookie[32];
  std::snprintf(cookie, sizeof(cookie), "%016x", static_cast<unsigned>(customer));
  std::string text = method + " /" + request_class + " HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: " + id +
                     "\r\nX-Tier: pro\r\nCookie: client=" + cookie +
                     "\r\nRequest-Timeout-Ms: " + std::to_string(timeout_ms) +
                     "\r\nX-Call-Terms: units=1,spread=" + std::to_string(spread) + ",first=0\r\n" + fields;
  if (!body.empty() || (method == "POST" && fields.find("Transfer-Encoding") == std::string::npos))
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

}  // namespace rig

#endif  // REVIEW_SUPPORT_2_RIG_H_
