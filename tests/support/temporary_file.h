// A file that a test writes and a program under test reads.
#ifndef GATEWAY_TESTS_SUPPORT_TEMPORARY_FILE_H_
#define GATEWAY_TESTS_SUPPORT_TEMPORARY_FILE_H_

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>

namespace gateway::test_support {

// Creates a file that contains the text. The destructor removes it.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char path[] = "/tmp/api-gateway-test-XXXXXX";
    int file = mkstemp(path);
    EXPECT_GE(file, 0);
    close(file);
    path_ = path;
    std::ofstream stream(path_);
    stream << text;
    EXPECT_TRUE(stream.flush().good());
  }
  ~TemporaryFile() { unlink(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TEMPORARY_FILE_H_
