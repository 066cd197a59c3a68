#include "simulator/frame_writer.h"

#include <gtest/gtest.h>

#include <string>

#include "support/wire_bytes.h"

namespace gateway::simulator {
namespace {

using test_support::Hex;

// The replies of the following tests are the examples of WIRE 3.
TEST(FrameWriter, EmptyReply) {
  FrameWriter reply;
  EXPECT_EQ(reply.Finish(), Hex("04000000"));
}

TEST(FrameWriter, ReplyOfTwoInstances) {
  FrameWriter reply;
  reply.Append(3, policy::ForwardAttempt{0x5d3a91c4, 0x03124a07, 0.08});
  reply.Append(3, policy::StartTimer{0.5, 77});
  reply.Append(5, policy::LogEvent{"two servers known"});
  std::string expected =
      Hex("49000000 1a04 03000000 c4913a5d 074a1203 7b14ae47e17ab43f 0604 03000000 000000000000e03f"
          "4d00000000000000 fc03 05000000 1100 74776f2073657276657273206b6e6f776e");
  EXPECT_EQ(reply.Finish(), expected);
}

TEST(FrameWriter, ActionsMatchTheirExamples) {
  auto bytes = [](const policy::Action& action) {
    FrameWriter writer;
    writer.Append(3, action);
    return writer.Finish().substr(4);
  };
  EXPECT_EQ(bytes(policy::CancelAttempt{0x5d3a91c4, 0}), Hex("2404 03000000 c4913a5d 00"));
  EXPECT_EQ(bytes(policy::RejectRequest{0x0e6f2b19, 0.25}), Hex("2e04 03000000 192b6f0e 000000000000d03f"));
  EXPECT_EQ(bytes(policy::FailRequest{0x0e6f2b19}), Hex("e803 03000000 192b6f0e"));
  EXPECT_EQ(bytes(policy::CallCounter{0x89f690, 4, 3}),
            Hex("4c04 03000000 90f6890000000000 00008040 0000000000000840"));
  EXPECT_EQ(bytes(policy::PollDiscovery{}), Hex("1004 03000000 01"));
  FrameWriter writer;
  writer.AppendFailure(3, "index out of range");
  EXPECT_EQ(writer.Finish().substr(4), Hex("6004 03000000 1200 696e646578206f7574206f662072616e6765"));
}

}  // namespace
}  // namespace gateway::simulator
