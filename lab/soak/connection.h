// Blocking TCP connections and servers on loopback, for the clients and the stand-ins of a soak.
#ifndef GATEWAY_LAB_SOAK_CONNECTION_H_
#define GATEWAY_LAB_SOAK_CONNECTION_H_

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace gateway::lab::soak {

// The result of waiting for a message or a line.
enum class ReadResult {
  kMessage,
  kTimeout,
  kEnded,  // the peer closed the connection
  kReset,
};

// An HTTP/1.1 message with a Content-Length.
struct Message {
  std::string head;  // start line and header fields, each followed by CRLF
  std::string body;

  // Returns the value of a header field, or an empty string if it is absent. Ignores the case of the name.
  std::string Field(std::string_view name) const;
  // Returns the status code. The message has to be a response.
  int Status() const;
};

// One end of a TCP connection. Only Shutdown() may be called from other threads.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Returns null if the connection fails.
  static std::unique_ptr<Connection> Connect(int port);

  bool Send(std::string_view text);
  // Waits up to `timeout_s` for a complete message. Bytes received after it are kept for the next call.
  ReadResult ReadMessage(double timeout_s, Message* message);
  // Waits up to `timeout_s` for a line, which is returned without its CRLF.
  ReadResult ReadLine(double timeout_s, std::string* line);
  // Waits up to `timeout_s` until the peer sends bytes or closes the connection.
  bool WaitForInput(double timeout_s) const;
  bool HasBytes() const { return !received_.empty(); }
  // Returns whether the peer, which has closed the connection, left bytes of this side unread. Such bytes
  // were answered with a reset or never acknowledged.
  bool WasClosedWithUnreadBytes() const;
  // Closes the connection with a reset.
  void Reset();
  // Shuts down both directions, so that a thread that is blocked in a call returns. May be called from
  // another thread.
  void Shutdown() const;

 private:
  bool TakeMessage(Message* message);
  bool TakeLine(std::string* line);
  ReadResult ReceiveUntil(double timeout_s, const std::function<bool()>& taken);

  int descriptor_;
  std::string received_;
};

// Accepts connections on a loopback port and serves each on its own thread.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  // Throws std::runtime_error if it cannot listen on a port.
  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return port_; }
  // Shuts down all connections that are currently open.
  void EndConnections();

 private:
  struct Session {
    explicit Session(int descriptor) : connection(descriptor) {}
    Connection connection;
    std::atomic<bool> ended{false};
    std::thread thread;
  };

  void Accept();
  void RemoveEndedSessions();

  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::list<Session> sessions_;
  std::thread thread_;
};

// Returns a loopback port that is not in use and that the system does not assign to outgoing connections.
// Each call returns a different port.
int FreePort();

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_CONNECTION_H_
