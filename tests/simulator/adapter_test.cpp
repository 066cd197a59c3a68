// Tests of the simulator adapter as the simulator runs it: as a program, by its exit status and its standard
// error output.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "support/wire_bytes.h"

namespace gateway::simulator {
namespace {

using test_support::Frame;
using test_support::Hex;

// Runs the adapter with `input` as standard input and stores its standard error output in `errors`. Returns
// the exit status, or -1 if the program was terminated by a signal.
int RunAdapter(const std::string& input, std::string* errors) {
  std::string base = testing::TempDir() + "simulator_adapter_" + std::to_string(getpid());
  std::FILE* file = std::fopen((base + ".in").c_str(), "wb");
  std::fwrite(input.data(), 1, input.size(), file);
  std::fclose(file);
  std::string command =
      std::string(SIMULATOR_ADAPTER) + " < " + base + ".in > " + base + ".out 2> " + base + ".err";
  int status = std::system(command.c_str());
  errors->assign(4096, '\0');
  file = std::fopen((base + ".err").c_str(), "rb");
  errors->resize(std::fread(errors->data(), 1, errors->size(), file));
  std::fclose(file);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(SimulatorAdapter, ExitsCleanlyOrReportsTheError) {
  std::string errors;
  std::string empty_batch = Hex("10000000 508d976e12d32040 00000000");
  EXPECT_EQ(RunAdapter(empty_batch, &errors), 0);
  EXPECT_EQ(errors, "");
  EXPECT_EQ(RunAdapter(empty_batch + "ab", &errors), 1);
  EXPECT_NE(errors.find("frame length"), std::string::npos);
  EXPECT_EQ(RunAdapter(Hex("ffffffff 508d976e12d32040 00000000"), &errors), 1);
  EXPECT_NE(errors.find("too large"), std::string::npos);
  EXPECT_EQ(RunAdapter(Frame(Hex("f203 03000000 02 2900000000000000 00"), 1), &errors), 1);
  EXPECT_NE(errors.find("table 0, which was never sent"), std::string::npos);
  EXPECT_EQ(RunAdapter(Frame(Hex("e803 03000000 0000000000000000 03000000") + "a=b", 1), &errors), 1);
  EXPECT_NE(errors.find("setting is missing: me"), std::string::npos);
}

}  // namespace
}  // namespace gateway::simulator
