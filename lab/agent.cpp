#include "lab/agent.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace gateway::lab {

using boost::asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

// One connection: a request's head, then its answer, again and again.
class Agent::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Agent* agent, tcp::socket socket) : agent_(agent), socket_(std::move(socket)), timer_(agent->io_) {}

  void Read() {
    boost::asio::async_read_until(socket_, boost::asio::dynamic_buffer(in_, 65536), "\r\n\r\n",
                                  [self = shared_from_this()](error_code error, size_t n) {
                                    if (error) return self->End();
                                    std::string head = self->in_.substr(0, n);
                                    self->in_.erase(0, n);
                                    self->Asked(head);
                                  });
  }
  // What the watch waits for may have come.
  void Look() {
    if (waiting_ && agent_->index_ > after_) Answer();
  }

 private:
  void Asked(const std::string& head) {
    ++agent_->calls_;
    size_t after = head.find("after="), wait = head.find("wait_ms=");
    whole_ = after == std::string::npos || after > head.find("\r\n");
    after_ = whole_ ? 0 : std::strtoull(head.c_str() + after + 6, nullptr, 10);
    waiting_ = true;
    if (whole_ || agent_->index_ > after_ || wait == std::string::npos) return Answer();
    timer_.expires_after(std::chrono::milliseconds(std::strtol(head.c_str() + wait + 8, nullptr, 10)));
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && self->waiting_) self->Answer();
    });
  }
  void Answer() {
    waiting_ = false;
    timer_.cancel();
    std::string body = agent_->List(whole_, after_);
    out_ = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    agent_->bytes_ += out_.size();
    boost::asio::async_write(socket_, boost::asio::buffer(out_),
                             [self = shared_from_this()](error_code error, size_t) {
                               if (error) return self->End();
                               self->Read();
                             });
  }
  void End() {
    waiting_ = false;
    timer_.cancel();
    agent_->sessions_.erase(shared_from_this());
  }

  Agent* agent_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string in_, out_;
  uint64_t after_ = 0;
  bool whole_ = true, waiting_ = false;
};

Agent::Agent(int backends, double changes_per_s)
    : backends_(backends),
      changes_per_s_(changes_per_s),
      acceptor_(io_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      timer_(io_) {
  port_ = acceptor_.local_endpoint().port();
  auto accept = std::make_shared<std::function<void()>>();
  *accept = [this, accept] {
    acceptor_.async_accept([this, accept](error_code error, tcp::socket socket) {
      if (error) return;
      auto session = std::make_shared<Session>(this, std::move(socket));
      sessions_.insert(session);
      session->Read();
      (*accept)();
    });
  };
  (*accept)();
  Change();
  thread_ = std::thread([this] { io_.run(); });
}

Agent::~Agent() {
  io_.stop();
  thread_.join();
}

void Agent::Change() {
  if (changes_per_s_ <= 0) return;
  timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(
      std::chrono::duration<double>(1 / changes_per_s_)));
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    ++index_;
    auto sessions = sessions_;
    for (const auto& session : sessions) session->Look();
    Change();
  });
}

std::string Agent::Whole() const { return List(true, 0); }

// A backend that changes has started anew: the one of the version's number.
std::string Agent::List(bool whole, uint64_t after) const {
  json entries = json::array();
  auto add = [&](int i, uint64_t started) {
    char name[16], address[40];
    std::snprintf(name, sizeof(name), "s-%08x", static_cast<unsigned>(i) * 2654435761u);
    std::snprintf(address, sizeof(address), "127.%d.%d.%d:5000", 1 + i / 65536, i / 256 % 256, i % 256);
    entries.push_back({{"name", name},
                       {"address", address},
                       {"zone", std::string(1, static_cast<char>('a' + i % 7))},
                       {"type", "m2"},
                       {"group", i / 8},
                       {"status", "active"},
                       {"weight", 1.0},
                       {"since_ms", started}});
  };
  uint64_t total = static_cast<uint64_t>(backends_);
  if (whole) {
    for (int i = 0; i < backends_; ++i) add(i, 0);
  } else {
    for (uint64_t v = std::max(after + 1, index_ > total ? index_ - total + 1 : 0); v <= index_; ++v) {
      add(static_cast<int>(v % total), 1700000000000 + v);
    }
  }
  return json{{"index", index_}, {"snapshot", whole}, {"endpoints", entries}}.dump();
}

}  // namespace gateway::lab
