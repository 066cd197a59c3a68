// simulator-adapter: the decision modules of many gateways behind the simulator's wire, on standard input and
// output. Ends with status 0 when its input ends, 1 with a message when the input is wrong.
#include <cstdio>
#include <exception>
#include <optional>
#include <string_view>

#include "simulator/adapter.h"
#include "simulator/frame_stream.h"

int main() {
  try {
    gateway::simulator::FrameStream stream(stdin, stdout);
    gateway::simulator::Adapter adapter;
    while (std::optional<std::string_view> frame = stream.Read()) stream.Write(adapter.HandleBatch(*frame));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator-adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
