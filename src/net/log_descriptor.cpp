#include "net/log_descriptor.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cerrno>
#include <string>

namespace gateway::net {

LogDescriptor::LogDescriptor(int descriptor) : descriptor_(descriptor), method_(MethodFor(descriptor)) {
  if (method_ == Method::kWriteNoWait && ReopenNonBlocking()) method_ = Method::kWrite;
}

LogDescriptor::~LogDescriptor() {
  if (owned_) close(descriptor_);
}

LogDescriptor::Method LogDescriptor::MethodFor(int descriptor) {
  struct stat status {};
  if (fstat(descriptor, &status) != 0) return Method::kNone;
  if (S_ISSOCK(status.st_mode)) return Method::kSend;
  if (S_ISREG(status.st_mode)) return Method::kWrite;
  return Method::kWriteNoWait;
}

// Opens the same pipe or terminal again. The new open file description can be non-blocking without affecting
// the shared one. Fails if the pipe belongs to another user.
bool LogDescriptor::ReopenNonBlocking() {
  std::string path = "/proc/self/fd/" + std::to_string(descriptor_);
  int opened = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
  if (opened < 0) return false;
  descriptor_ = opened;
  owned_ = true;
  return true;
}

size_t LogDescriptor::Write(std::string_view text) {
  if (method_ == Method::kNone) return 0;
  long written = -1;
  do {
    written = WriteOnce(text);
  } while (written < 0 && errno == EINTR);
  return written < 0 ? 0 : static_cast<size_t>(written);
}

long LogDescriptor::WriteOnce(std::string_view text) {
  if (method_ == Method::kSend)
    return send(descriptor_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (method_ == Method::kWriteNoWait) {
    iovec part{const_cast<char*>(text.data()), text.size()};
    constexpr off_t kCurrentPosition = -1;
    long written = pwritev2(descriptor_, &part, 1, kCurrentPosition, RWF_NOWAIT);
    if (written >= 0 || (errno != EOPNOTSUPP && errno != ENOSYS)) return written;
    method_ = Method::kPollAndWrite;
  }
  if (method_ == Method::kPollAndWrite) {
    pollfd room{descriptor_, POLLOUT, 0};
    if (poll(&room, 1, 0) <= 0 || (room.revents & POLLOUT) == 0) return 0;
  }
  return write(descriptor_, text.data(), text.size());
}

}  // namespace gateway::net
