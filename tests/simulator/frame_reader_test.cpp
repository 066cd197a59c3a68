#include "simulator/frame_reader.h"

#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <variant>

#include "support/wire_bytes.h"

namespace gateway::simulator {
namespace {

using test_support::Frame;
using test_support::Hex;

// Returns the error message, or an empty string if the frame is valid.
std::string ParseErrorMessage(const std::string& frame) {
  try {
    ParseBatch(frame);
  } catch (const FrameError& error) {
    return error.what();
  }
  return "";
}

// The batches of the following tests are the examples of WIRE 3.
TEST(FrameReader, EmptyBatch) {
  EventBatch batch = ParseBatch(Hex("10000000 508d976e12d32040 00000000"));
  EXPECT_NEAR(batch.now_s, 8.412, 1e-3);
  EXPECT_TRUE(batch.events.empty());
}

TEST(FrameReader, BatchOfTwoInstances) {
  EventBatch batch = ParseBatch(
      Hex("53000000 508d976e12d32040 03000000"
          "fc03 03000000 c4913a5d 00 0000 640ad2557c3bf091 b81e85eb51b8ce3f 00000040 00004040 0000803f 0100"
          "2404 03000000 4d00000000000000 1a04 05000000 192b6f0e"));
  ASSERT_EQ(batch.events.size(), 3u);
  const policy::Request& request = std::get<policy::Request>(batch.events[0].body);
  EXPECT_EQ(batch.events[0].instance, 3u);
  EXPECT_EQ(request.id, 0x5d3a91c4u);
  EXPECT_EQ(request.tenant, 0x91f03b7c55d20a64ULL);
  EXPECT_NEAR(request.time_left_s, 0.24, 1e-9);
  EXPECT_EQ(request.cost_units, 2);
  EXPECT_EQ(request.ingress_gateways, 3);
  EXPECT_EQ(std::get<TimerFired>(batch.events[1].body).tag, 77u);
  EXPECT_EQ(std::get<ClientGone>(batch.events[2].body).request_id, 0x0e6f2b19u);
  EXPECT_EQ(batch.events[2].instance, 5u);
}

TEST(FrameReader, EndpointTableAndUpdate) {
  EventBatch batch = ParseBatch(
      Frame(Hex("5604 00 02000000 00 01 0000 074a1203 0000 0000803f 0000000000000000"
                "00 01 0100 f211902c 0000 0000c03f 6666666666661840 f203 03000000 02 2900000000000000 00"),
            2));
  const EndpointTable& table = std::get<EndpointTable>(batch.events[0].body);
  ASSERT_EQ(table.endpoints.size(), 2u);
  EXPECT_EQ(table.endpoints[1].zone, 1);
  EXPECT_EQ(table.endpoints[1].state, policy::EndpointState::kReady);
  EXPECT_NEAR(table.endpoints[1].started_at_s, 6.1, 1e-9);
  EXPECT_EQ(table.endpoints[1].weight, 1.5);
  const EndpointUpdate& update = std::get<EndpointUpdate>(batch.events[1].body);
  EXPECT_EQ(update.kind, policy::EndpointUpdateKind::kCached);
}

TEST(FrameReader, OutcomeCounterReplyHealthCheckAndPeerMessage) {
  EventBatch batch = ParseBatch(
      Frame(Hex("1004 03000000 c4913a5d 5600 00 8b6ce7fba9f1923f 00 01 074a1203 0300 00"
                "4c04 03000000 22fdf675e09c613f 00001842 00 90f6890000000000"
                "2e04 03000000 c7bab88d06f0563f 00 f211902c 01 52b81e3f 3804 03000000 0200 0400 68692037"
                "0604 03000000 c4913a5d 00 074a1203 8b6ce7fba9f1823f 4204 03000000"),
            6));
  const policy::AttemptOutcome& outcome = std::get<policy::AttemptOutcome>(batch.events[0].body);
  EXPECT_TRUE(outcome.request_finished);
  EXPECT_EQ(outcome.actual_cost_units, 3);
  EXPECT_EQ(outcome.backend_id, 0x03124a07u);
  const policy::CounterReply& reply = std::get<policy::CounterReply>(batch.events[1].body);
  EXPECT_EQ(reply.total, 38);
  EXPECT_EQ(reply.key, 0x89f690u);
  EXPECT_TRUE(std::holds_alternative<IgnoredEvent>(batch.events[2].body));
  EXPECT_TRUE(std::holds_alternative<IgnoredEvent>(batch.events[3].body));
  EXPECT_EQ(std::get<ResponseStarted>(batch.events[4].body).request_id, 0x5d3a91c4u);
  EXPECT_TRUE(std::holds_alternative<InstanceStopped>(batch.events[5].body));
}

// A frame is truncated at any byte, with its length field unchanged or set to the remaining length. Neither
// frame may be parsed as a shorter batch.
TEST(FrameReader, RejectsEveryTruncatedFrame) {
  std::string complete =
      Hex("53000000 508d976e12d32040 03000000"
          "fc03 03000000 c4913a5d 00 0000 640ad2557c3bf091 b81e85eb51b8ce3f 00000040 00004040 0000803f 0100"
          "2404 03000000 4d00000000000000 1a04 05000000 192b6f0e");
  for (size_t kept = 0; kept < complete.size(); ++kept) {
    std::string cut = complete.substr(0, kept);
    EXPECT_NE(ParseErrorMessage(cut), "") << "truncated to " << kept << " bytes";
    if (kept < 16) continue;
    auto size = static_cast<uint32_t>(kept);
    std::memcpy(cut.data(), &size, 4);
    EXPECT_NE(ParseErrorMessage(cut), "") << "truncated to " << kept << " bytes";
  }
  EXPECT_EQ(ParseErrorMessage(complete), "");
}

TEST(FrameReader, ErrorsDescribeMalformedFrames) {
  EXPECT_NE(ParseErrorMessage(Frame(Hex("0f27 03000000 00000000"), 1)).find("unknown event code 9999"),
            std::string::npos);
  EXPECT_NE(ParseErrorMessage(Frame(Hex("5604 10 00000000"), 1)).find("table number 16"), std::string::npos);
  EXPECT_NE(ParseErrorMessage(Frame(Hex("5604 00 ffffffff"), 1)).find("fewer entries"), std::string::npos);
  EXPECT_NE(ParseErrorMessage(Frame("", 5)).find("fewer records"), std::string::npos);
  EXPECT_NE(ParseErrorMessage(Frame(Hex("1a04 05000000 192b6f0e 00"), 1)).find("after its last record"),
            std::string::npos);
  EXPECT_NE(ParseErrorMessage(Frame(Hex("4c04 03000000 22fdf675e09c613f 00001842 07 90f6890000000000"), 1))
                .find("unknown outcome code 7"),
            std::string::npos);
  EXPECT_NE(ParseErrorMessage(Frame(Hex("f203 03000000 09 2900000000000000 00"), 1)).find("view scope 9"),
            std::string::npos);
}

}  // namespace
}  // namespace gateway::simulator
