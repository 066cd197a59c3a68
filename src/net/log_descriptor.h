// Writes the log to a file descriptor without blocking.
#ifndef GATEWAY_NET_LOG_DESCRIPTOR_H_
#define GATEWAY_NET_LOG_DESCRIPTOR_H_

#include <cstddef>
#include <string_view>

namespace gateway::net {

// Writes as many bytes as the descriptor accepts without blocking. The descriptor may be a pipe, a terminal,
// a socket or a file. It is never set to non-blocking, because other processes may share its open file
// description and would be affected too.
//
// Invariant: a text of at most PIPE_BUF bytes is written to a pipe completely or not at all.
class LogDescriptor {
 public:
  // Does not take ownership. Must be constructed before the process opens other descriptors: if `descriptor`
  // is closed now, nothing is ever written to it, even if another file gets the same number later.
  explicit LogDescriptor(int descriptor);
  ~LogDescriptor();
  LogDescriptor(const LogDescriptor&) = delete;
  LogDescriptor& operator=(const LogDescriptor&) = delete;

  // Returns how many bytes of `text` were written; 0 if there is no room or the write fails.
  size_t Write(std::string_view text);

 private:
  enum class Method {
    kNone,         // nothing is written, because the descriptor is closed
    kWrite,        // write() to a regular file, which always has room, or to a pipe or terminal reopened here
    kSend,         // send() with MSG_DONTWAIT to a socket
    kWriteNoWait,  // pwritev2() with RWF_NOWAIT to a pipe or terminal, if the kernel supports it
    kPollAndWrite,  // poll() and write(), which may block if another process fills the pipe in between
  };

  static Method MethodFor(int descriptor);
  bool ReopenNonBlocking();
  long WriteOnce(std::string_view text);

  int descriptor_;
  Method method_;
  bool owned_ = false;  // whether the descriptor was opened by this object
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_LOG_DESCRIPTOR_H_
