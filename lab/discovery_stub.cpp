#include "lab/discovery_stub.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace gateway::lab {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

constexpr uint64_t kInitialIndex = 1;
constexpr size_t kMaxRequestBytes = 65536;
constexpr uint64_t kRestartBaseMs = 1700000000000;  // Unix time to which the index of a restart is added
constexpr int kZones = 7;
constexpr int kBackendsPerGroup = 8;

// Returns the number that follows `name` in a request line, or nothing if the line does not contain `name`.
std::optional<uint64_t> QueryNumber(const std::string& request_line, const std::string& name) {
  size_t begin = request_line.find(name);
  if (begin == std::string::npos) return std::nullopt;
  return std::strtoull(request_line.c_str() + begin + name.size(), nullptr, 10);
}

json DescribeBackend(int index, uint64_t restarted_ms) {
  char name[16];
  std::snprintf(name, sizeof(name), "s-%08x", static_cast<unsigned>(index) * 2654435761U);
  char address[40];
  std::snprintf(address, sizeof(address), "127.%d.%d.%d:5000", 1 + index / 65536, index / 256 % 256,
                index % 256);
  return {{"name", name},
          {"address", address},
          {"zone", std::string(1, static_cast<char>('a' + index % kZones))},
          {"type", "m2"},
          {"group", index / kBackendsPerGroup},
          {"status", "active"},
          {"weight", 1.0},
          {"since_ms", restarted_ms}};
}

}  // namespace

// Serves one connection: reads the header of a request, replies to it, and reads the next request. A session
// lives as long as one of its operations is outstanding or the stub's set of sessions contains it.
class DiscoveryStub::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(DiscoveryStub* stub, tcp::socket socket)
      : stub_(stub), socket_(std::move(socket)), watch_timer_(stub->io_) {}

  void Read() {
    boost::asio::async_read_until(socket_, boost::asio::dynamic_buffer(received_, kMaxRequestBytes),
                                  "\r\n\r\n", [self = shared_from_this()](error_code error, size_t size) {
                                    if (error) return self->Close();
                                    std::string head = self->received_.substr(0, size);
                                    self->received_.erase(0, size);
                                    self->OnRequest(head);
                                  });
  }

  // Replies to a waiting watch after the list has changed.
  void OnListChanged() {
    if (watching_ && stub_->index_ > *after_index_) Reply();
  }

 private:
  void OnRequest(const std::string& head) {
    ++stub_->calls_;
    std::string request_line = head.substr(0, head.find("\r\n"));
    after_index_ = QueryNumber(request_line, "after=");
    std::optional<uint64_t> wait_ms = QueryNumber(request_line, "wait_ms=");
    if (!after_index_ || stub_->index_ > *after_index_ || !wait_ms) return Reply();
    watching_ = true;
    watch_timer_.expires_after(std::chrono::milliseconds(*wait_ms));
    watch_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && self->watching_) self->Reply();
    });
  }

  void Reply() {
    watching_ = false;
    watch_timer_.cancel();
    std::string body = after_index_ ? stub_->ChangedSince(*after_index_) : stub_->FullList(stub_->index_);
    sent_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    stub_->bytes_sent_ += sent_.size();
    boost::asio::async_write(socket_, boost::asio::buffer(sent_),
                             [self = shared_from_this()](error_code error, size_t) {
                               if (error) return self->Close();
                               self->Read();
                             });
  }

  void Close() {
    watching_ = false;
    watch_timer_.cancel();
    stub_->sessions_.erase(shared_from_this());
  }

  DiscoveryStub* stub_;
  tcp::socket socket_;
  boost::asio::steady_timer watch_timer_;
  std::string received_;
  std::string sent_;
  std::optional<uint64_t> after_index_;  // index in the last request; empty if it asked for the full list
  bool watching_ = false;                // whether a watch waits for a change
};

DiscoveryStub::DiscoveryStub(int backends, double changes_per_s)
    : backends_(backends),
      changes_per_s_(changes_per_s),
      acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      change_timer_(io_),
      index_(kInitialIndex) {
  port_ = acceptor_.local_endpoint().port();
  Accept();
  ScheduleChange();
  thread_ = std::thread([this] { io_.run(); });
}

DiscoveryStub::~DiscoveryStub() {
  io_.stop();
  thread_.join();
}

void DiscoveryStub::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    auto session = std::make_shared<Session>(this, std::move(socket));
    sessions_.insert(session);
    session->Read();
    Accept();
  });
}

void DiscoveryStub::ScheduleChange() {
  if (changes_per_s_ <= 0) return;
  change_timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(1 / changes_per_s_)));
  change_timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    ++index_;
    auto sessions = sessions_;  // a copy, because a reply may close its session
    for (const auto& session : sessions) session->OnListChanged();
    ScheduleChange();
  });
}

std::string DiscoveryStub::InitialList() const { return FullList(kInitialIndex); }

std::string DiscoveryStub::FullList(uint64_t index) const {
  json endpoints = json::array();
  for (int i = 0; i < backends_; ++i) endpoints.push_back(DescribeBackend(i, 0));
  return json{{"index", index}, {"snapshot", true}, {"endpoints", endpoints}}.dump();
}

std::string DiscoveryStub::ChangedSince(uint64_t after_index) const {
  // The change with index i is a restart of backend i % backends_, so the last `backends_` changes contain
  // each backend once.
  auto backends = static_cast<uint64_t>(backends_);
  uint64_t oldest = index_ > backends ? index_ - backends + 1 : 0;
  json endpoints = json::array();
  for (uint64_t i = std::max(after_index + 1, oldest); i <= index_; ++i) {
    endpoints.push_back(DescribeBackend(static_cast<int>(i % backends), kRestartBaseMs + i));
  }
  return json{{"index", index_}, {"snapshot", false}, {"endpoints", endpoints}}.dump();
}

}  // namespace gateway::lab
