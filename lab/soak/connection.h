// Blocking TCP connections and servers on loopback, for the soak's stand-ins.
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

// What a wait for bytes found.
enum class ReadResult {
  kMessage,
  kTimeout,
  kEnded,  // the other side has ended the connection
  kReset,
};

// An HTTP/1.1 message with a Content-Length.
struct Message {
  std::string head;  // start line and fields, each ended by CRLF
  std::string body;

  // The value of a field, by its name in any case; empty where there is none.
  std::string Field(std::string_view name) const;
  int Status() const;  // of a response
};

// One end of a connection. Used by one thread, but for Stop().
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Null where nobody listens.
  static std::unique_ptr<Connection> Connect(int port);

  bool Send(std::string_view text);
  // Waits for a complete message, for so long. What came beyond it stays for the next call.
  ReadResult ReadMessage(double timeout_s, Message* message);
  // The same for a line, which is returned without its CRLF.
  ReadResult ReadLine(double timeout_s, std::string* line);
  // Waits for the other side to end the connection or to send, for so long.
  bool WaitForInput(double timeout_s) const;
  bool HasBytes() const { return !received_.empty(); }
  // After the other side has ended the connection: whether there are bytes of ours that it did not read: they
  // were answered by a reset, or never acknowledged.
  bool WasEndedOverUnreadBytes() const;
  // Ends the connection by a reset.
  void Reset();
  // Ends both directions, so that a thread that waits in a call returns. May be called from another thread.
  void Stop() const;

 private:
  bool TakeMessage(Message* message);
  bool TakeLine(std::string* line);
  ReadResult ReceiveUntil(double timeout_s, const std::function<bool()>& taken);

  int descriptor_;
  std::string received_;
};

// Accepts connections on a loopback port and serves each on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;
  // Throws std::runtime_error where no port can be opened.
  explicit Server(Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int port() const { return port_; }
  // Ends all connections that are open now.
  void EndConnections();

 private:
  struct Session {
    explicit Session(int descriptor) : connection(descriptor) {}
    Connection connection;
    std::atomic<bool> ended{false};
    std::thread thread;
  };

  void Accept();
  void DropEnded();

  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::list<Session> sessions_;
  std::thread thread_;
};

// A loopback port that nobody listens on now, and that no connection of this or another process is given.
// Each call returns another one.
int FreePort();

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_CONNECTION_H_
