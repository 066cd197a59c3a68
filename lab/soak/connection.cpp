#include "lab/soak/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace gateway::lab::soak {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kAcceptQueue = 1024;
constexpr size_t kReadBytes = 16384;
// On loopback a reset that follows the close of a connection arrives within this time, even on a busy
// machine.
constexpr int kResetWaitMs = 200;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

int OpenSocket() {
  int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

int Listen(int descriptor, int* port) {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof(address);
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(descriptor, generic, size) != 0 || listen(descriptor, kAcceptQueue) != 0 ||
      getsockname(descriptor, generic, &size) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  *port = ntohs(address.sin_port);
  return descriptor;
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

}  // namespace

std::string Message::Field(std::string_view name) const {
  std::string wanted = "\r\n" + Lower(name) + ":";
  size_t at = Lower(head).find(wanted);
  if (at == std::string::npos) return "";
  size_t begin = head.find_first_not_of(' ', at + wanted.size());
  return head.substr(begin, head.find("\r\n", begin) - begin);
}

int Message::Status() const { return head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }

Connection::~Connection() {
  if (descriptor_ >= 0) close(descriptor_);
}

std::unique_ptr<Connection> Connection::Connect(int port) {
  auto connection = std::make_unique<Connection>(OpenSocket());
  sockaddr_in address = LoopbackAddress(port);
  if (connect(connection->descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    return nullptr;
  }
  return connection;
}

bool Connection::Send(std::string_view text) {
  while (!text.empty()) {
    ssize_t sent = send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent < 0) return false;
    text.remove_prefix(static_cast<size_t>(sent));
  }
  return true;
}

bool Connection::TakeMessage(Message* message) {
  size_t head_end = received_.find("\r\n\r\n");
  if (head_end == std::string::npos) return false;
  message->head = received_.substr(0, head_end + 2);
  size_t length = static_cast<size_t>(std::atol(message->Field("Content-Length").c_str()));
  size_t body_begin = head_end + 4;
  if (received_.size() < body_begin + length) return false;
  message->body = received_.substr(body_begin, length);
  received_.erase(0, body_begin + length);
  return true;
}

bool Connection::TakeLine(std::string* line) {
  size_t end = received_.find("\r\n");
  if (end == std::string::npos) return false;
  *line = received_.substr(0, end);
  received_.erase(0, end + 2);
  return true;
}

ReadResult Connection::ReadMessage(double timeout_s, Message* message) {
  return ReceiveUntil(timeout_s, [&] { return TakeMessage(message); });
}

ReadResult Connection::ReadLine(double timeout_s, std::string* line) {
  return ReceiveUntil(timeout_s, [&] { return TakeLine(line); });
}

ReadResult Connection::ReceiveUntil(double timeout_s, const std::function<bool()>& taken) {
  auto end = Clock::now() + std::chrono::duration<double>(timeout_s);
  char part[kReadBytes];
  while (!taken()) {
    double left_s = std::chrono::duration<double>(end - Clock::now()).count();
    if (left_s <= 0 || !WaitForInput(left_s)) return ReadResult::kTimeout;
    ssize_t size = recv(descriptor_, part, sizeof(part), 0);
    if (size == 0) return ReadResult::kEnded;
    if (size < 0) return ReadResult::kReset;
    received_.append(part, static_cast<size_t>(size));
  }
  return ReadResult::kMessage;
}

bool Connection::WaitForInput(double timeout_s) const {
  pollfd input{descriptor_, POLLIN, 0};
  return poll(&input, 1, static_cast<int>(timeout_s * 1000) + 1) > 0;
}

// The kernel answers bytes that arrive at a closed socket with a reset, which arrives after the end of the
// stream.
bool Connection::WasClosedWithUnreadBytes() const {
  pollfd error{descriptor_, 0, 0};
  if (poll(&error, 1, kResetWaitMs) > 0 && (error.revents & (POLLERR | POLLHUP)) != 0) return true;
  int unacknowledged = 0;
  return ioctl(descriptor_, TIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

void Connection::Reset() {
  linger now{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  close(std::exchange(descriptor_, -1));
}

void Connection::Shutdown() const { shutdown(descriptor_, SHUT_RDWR); }

Server::Server(Handler handler) : handler_(std::move(handler)) {
  listener_ = Listen(OpenSocket(), &port_);
  thread_ = std::thread([this] { Accept(); });
}

Server::~Server() {
  stopping_ = true;
  shutdown(listener_, SHUT_RDWR);
  thread_.join();
  close(listener_);
  EndConnections();
  for (Session& session : sessions_) session.thread.join();
}

void Server::EndConnections() {
  std::lock_guard lock(mutex_);
  for (Session& session : sessions_) {
    if (!session.ended) session.connection.Shutdown();
  }
}

void Server::Accept() {
  while (!stopping_) {
    int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    std::lock_guard lock(mutex_);
    RemoveEndedSessions();
    Session& session = sessions_.emplace_back(descriptor);
    session.thread = std::thread([this, &session] {
      handler_(session.connection);
      session.connection.Shutdown();
      session.ended = true;
    });
  }
}

void Server::RemoveEndedSessions() {
  sessions_.remove_if([](Session& session) {
    if (!session.ended) return false;
    session.thread.join();
    return true;
  });
}

int FreePort() {
  constexpr int kFirstPort = 20000;
  constexpr int kPorts = 12000;  // the range lies below the ephemeral ports of the system
  static std::atomic<int> next{getpid()};
  for (int i = 0; i < kPorts; ++i) {
    int port = kFirstPort + next++ % kPorts;
    int descriptor = OpenSocket();
    sockaddr_in address = LoopbackAddress(port);
    bool is_free = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(descriptor);
    if (is_free) return port;
  }
  throw std::runtime_error("no loopback port is free");
}

}  // namespace gateway::lab::soak
