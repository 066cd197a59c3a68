// A file descriptor for the log, written to without waiting for whoever reads it.
#ifndef GATEWAY_NET_LOG_DESCRIPTOR_H_
#define GATEWAY_NET_LOG_DESCRIPTOR_H_

#include <cstddef>
#include <string_view>

namespace gateway::net {

// Writes what there is room for at once. The descriptor may be a pipe, a terminal, a socket or a file, and
// its open file may be shared with other processes: it is never set to non-blocking, which would change it
// for them too.
//
// Invariant: a write of at most PIPE_BUF bytes to a pipe goes out complete or not at all.
class LogDescriptor {
 public:
  // Does not take ownership. Is to be constructed before the process opens other descriptors: one that is
  // closed now is never written to, whatever gets its number later.
  explicit LogDescriptor(int descriptor);
  ~LogDescriptor();
  LogDescriptor(const LogDescriptor&) = delete;
  LogDescriptor& operator=(const LogDescriptor&) = delete;

  // Returns how many bytes of `text` were written: 0 where there is no room, or nobody to read them.
  size_t Write(std::string_view text);

 private:
  enum class Method {
    kNone,          // the descriptor is closed
    kWrite,         // a file: there is always room. Or an open file of our own that is non-blocking
    kSend,          // a socket: each call says that it does not wait
    kWriteNoWait,   // the same for a pipe or terminal, where the kernel offers it
    kPollAndWrite,  // asks for room first. Another process may take it in between
  };

  static Method MethodFor(int descriptor);
  bool OpenAnew();
  long WriteOnce(std::string_view text);

  int descriptor_;
  Method method_;
  bool owned_ = false;  // opened here
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_LOG_DESCRIPTOR_H_
