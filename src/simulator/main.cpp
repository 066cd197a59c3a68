// The simulator-adapter program runs the admission policies of many simulated gateways and exchanges frames
// with the simulator on standard input and output. It exits with status 0 at the end of its input, and with
// status 1 and a message on standard error if the input is invalid or a reply cannot be written.
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
