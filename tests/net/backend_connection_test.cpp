#include "net/backend_connection.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/flooding_peer.h"
#include "support/http_message.h"
#include "support/manual_listener.h"
#include "support/pool_fixture.h"
#include "support/test_connection.h"

namespace gateway::net {
namespace {

using namespace test_support;
using policy::CallResult;

// A backend that has received one complete request of the pool and has not responded yet.
struct ExchangeFixture : PoolFixture {
  explicit ExchangeFixture(double timeout_s = 50) {
    pool.Update(1, LoopbackEndpoint(listener.port()));
    Send(1, "request", timeout_s);
    RunUntil([this] { return listener.HasPending(); });
    backend = listener.Accept();
    AwaitReadable(*backend);
  }
  // Runs the event loop until the attempt has ended.
  const AttemptResult& AwaitResult() {
    RunUntil([this] { return !results.empty(); });
    if (results.empty()) results.emplace_back();
    return results[0];
  }
  // Runs all handlers that are ready, while more of them become ready.
  void RunReadyHandlers() {
    io.restart();
    while (io.poll() > 0) {
    }
  }
  // Closes the backend's side in order. A close over the unread request would reset the connection.
  void CloseInOrder() {
    backend->Receive();
    backend->Close();
  }
  ManualListener listener;
  std::unique_ptr<TestConnection> backend;
};

// Returns the result of an attempt whose backend writes `bytes` at once, so that all of them have arrived
// before the pool reads the first one.
AttemptResult ResultOf(const std::string& bytes) {
  ExchangeFixture exchange;
  exchange.backend->Write(bytes);
  return exchange.AwaitResult();
}

void ExpectEndInDoubt(const AttemptResult& result, const std::string& name) {
  EXPECT_EQ(result.result, CallResult::kError) << name;
  EXPECT_EQ(result.fault, ResponseFault::kEndInDoubt) << name;
  EXPECT_EQ(result.body, "") << name;
}

// A backend sends a response that is nearly all framing and never ends (review case 9). If only the body were
// limited, it would keep its client waiting for 1 GB.
TEST(BackendConnection, FailsAResponseThatIsNearlyAllFraming) {
  constexpr uint64_t kMaxSentBytes = 60'000'000;
  ExchangeFixture exchange;
  exchange.backend->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  FloodingPeer flood(*exchange.backend, ChunksWithExtensions(15000));
  const AttemptResult& result = exchange.AwaitResult();
  EXPECT_EQ(result.result, CallResult::kReset);
  EXPECT_EQ(result.fault, ResponseFault::kMalformed);
  EXPECT_LT(flood.sent_bytes(), kMaxSentBytes);
}

// The timeout of an attempt is due, and whenever the connection looks there are unread bytes, which may
// complete the response (review case 9). If they put off the timeout for as long as there are any, a backend
// that fills its socket for ever keeps a client waiting, in each form of a response that may go on for long.
TEST(BackendConnection, TimesOutAnAttemptWhoseBackendFillsItsSocketForEver) {
  constexpr int kMaxHandlers = 500;
  constexpr double kTimeoutS = 2;
  const std::vector<EndlessMessage> responses = EndlessResponses();
  std::vector<std::unique_ptr<ExchangeFixture>> exchanges;
  for (const EndlessMessage& response : responses) {
    exchanges.push_back(std::make_unique<ExchangeFixture>(kTimeoutS));
    exchanges.back()->backend->Write(response.begin);
  }
  std::this_thread::sleep_for(Seconds(kTimeoutS));
  for (size_t i = 0; i < responses.size(); ++i) {
    ExchangeFixture& exchange = *exchanges[i];
    for (int handlers = 0; handlers < kMaxHandlers && exchange.results.empty(); ++handlers) {
      exchange.backend->Write(responses[i].rest);
      exchange.io.restart();
      exchange.io.run_one_for(std::chrono::milliseconds(1));
    }
    EXPECT_EQ(exchange.results.size(), 1u) << responses[i].form;
    if (!exchange.results.empty()) {
      EXPECT_EQ(exchange.results[0].result, CallResult::kTimeout) << responses[i].form;
    }
  }
}

// A large response has arrived when the process resumes after a stall in which the timeout expired. All of it
// has to be read before the timeout is handled, also what the receive window held back.
TEST(BackendConnection, UsesALargeResponseThatArrivedBeforeTheTimeout) {
  constexpr double kTimeoutS = 2;
  ExchangeFixture exchange(kTimeoutS);
  exchange.backend->Write(OkResponse(std::string(kMaxBodyBytes, 'b')));
  std::this_thread::sleep_for(Seconds(kTimeoutS));
  const AttemptResult& result = exchange.AwaitResult();
  EXPECT_EQ(result.result, CallResult::kOk);
  EXPECT_EQ(result.body.size(), kMaxBodyBytes);
}

// Guards against forwarding a response that is cut off because its length is too small (or its last chunk
// comes too early). The rest of the body has arrived when the response is complete by its framing. The
// attempt has failed and may have run, whatever the framing and the status are.
TEST(BackendConnection, FailsAResponseThatIsCutOffByItsLength) {
  const std::map<std::string, std::string> cut_off = {
      {"length too small", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nthe whole body"},
      {"length of the body less one", "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\nthe whole body"},
      {"length of zero", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nthe whole body"},
      {"early last chunk",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n0\r\n\r\nb\r\n whole "
       "body\r\n0\r\n\r\n"},
      {"close after the response",
       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nthe whole body"},
      {"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nthe whole body"},
      {"after an interim response",
       "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nthe whole body"},
      {"error", "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\nthe whole body"},
      {"error without a body", "HTTP/1.1 204 No Content\r\n\r\nthe whole body"},
      {"not started", "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 3\r\n\r\nthe whole body"},
      {"line breaks", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nthe\r\n\r\nwhole body"},
      {"rest that begins like a response", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntheHTTP and more"},
      {"rest before a second copy",
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nthe whole body"
       "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nthe whole body"}};
  for (const auto& [name, bytes] : cut_off) ExpectEndInDoubt(ResultOf(bytes), name);
}

// Guards against the same cut, where the response ends exactly at the end of a read, so that the rest of its
// body is still in the socket when the response is complete.
TEST(BackendConnection, FailsACutOffResponseWhoseRestIsStillInTheSocket) {
  for (size_t reads = 1; reads <= 3; ++reads) {
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
    const size_t body_bytes = reads * kReadChunkBytes - head.size() - std::string("1234\r\n\r\n").size() -
                              (reads * kReadChunkBytes > 10000 ? 1 : 0);
    const std::string first_part =
        head + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b');
    ASSERT_EQ(first_part.size(), reads * kReadChunkBytes);
    ExpectEndInDoubt(ResultOf(first_part + "r"), std::to_string(reads));
  }
}

// A faulty backend sends its response twice. The second copy shows that the first is whole, in any framing,
// and even if fields such as the load report have changed. If such a response were dropped, a request that
// ran would be lost to its client.
TEST(BackendConnection, UsesAResponseThatIsFollowedByASecondCopy) {
  const std::string response = OkResponse("body");
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
  const std::map<std::string, std::string> followed_by_copy = {
      {"same bytes", response + response},
      {"two more copies", response + response + response},
      {"copy and noise", response + response + "noise"},
      {"other fields", OkResponse("body", "Server-Load: {\"queue\":1}\r\n") +
                           OkResponse("body", "Server-Load: {\"queue\":2}\r\n")},
      {"chunked", chunked + chunked},
      {"interim responses",
       "HTTP/1.1 103 Early Hints\r\n\r\n" + response + "HTTP/1.1 103 Early Hints\r\n\r\n" + response}};
  for (const auto& [name, bytes] : followed_by_copy) {
    AttemptResult result = ResultOf(bytes);
    EXPECT_EQ(result.result, CallResult::kOk) << name;
    EXPECT_EQ(result.body, "body") << name;
  }
  const std::string large = OkResponse(std::string(kMaxBodyBytes, 'b'));
  EXPECT_EQ(ResultOf(large + large).body.size(), kMaxBodyBytes);
  const std::string rejection = "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
  EXPECT_EQ(ResultOf(rejection + rejection).result, CallResult::kRejected);
}

// A response of the same form follows that is not the same: the connection was out of step, and the first
// response may have been made for another request.
TEST(BackendConnection, FailsAResponseThatIsFollowedByADifferentOne) {
  ExpectEndInDoubt(ResultOf(OkResponse("one") + OkResponse("two")), "other body");
  ExpectEndInDoubt(ResultOf(OkResponse("one") + "HTTP/1.1 500 No\r\nContent-Length: 3\r\n\r\none"),
                   "other status");
}

// Only the first bytes of a second copy have arrived. They could also be the rest of a body, so the response
// is used when the copy is complete, and not before. It is not used if something else follows, or nothing.
TEST(BackendConnection, AwaitsTheRestOfASecondCopy) {
  const std::string response = OkResponse("body");
  enum class Then { kRestOfCopy, kOtherBytes, kEnd, kReset };
  for (Then then : {Then::kRestOfCopy, Then::kOtherBytes, Then::kEnd, Then::kReset}) {
    for (size_t arrived : {size_t{1}, size_t{7}, size_t{20}, response.size() - 1}) {
      ExchangeFixture exchange;
      exchange.backend->Write(response + response.substr(0, arrived));
      exchange.RunReadyHandlers();
      EXPECT_TRUE(exchange.results.empty()) << arrived;
      if (then == Then::kRestOfCopy) exchange.backend->Write(response.substr(arrived));
      if (then == Then::kOtherBytes) exchange.backend->Write("other\r\n\r\n");
      if (then == Then::kEnd) exchange.backend->Close();
      if (then == Then::kReset) exchange.backend->Reset();
      const AttemptResult& result = exchange.AwaitResult();
      if (then == Then::kRestOfCopy) {
        EXPECT_EQ(result.result, CallResult::kOk) << arrived;
        EXPECT_EQ(result.body, "body") << arrived;
      } else {
        ExpectEndInDoubt(result, std::to_string(arrived));
      }
    }
  }
}

// A response without a length is complete when its connection ends in order (review case 3). It was taken for
// truncated, so that the result of a request that had run was thrown away. Its parts may come in one read or
// in several, with the end or before it, and the backend may keep its own side open.
TEST(BackendConnection, UsesAResponseWithoutALengthThatEndsWithTheConnection) {
  enum class End { kClose, kHalfClose };
  const std::string large(kMaxBodyBytes, 'b');
  for (std::string head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n",
                           "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/plain\r\n\r\n",
                           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"}) {
    for (const std::string& body : {std::string(), std::string("body"), large}) {
      for (End end : {End::kClose, End::kHalfClose}) {
        for (bool in_parts : {false, true}) {
          ExchangeFixture exchange;
          exchange.backend->Write(head);
          if (in_parts) exchange.RunReadyHandlers();
          exchange.backend->Write(body);
          if (in_parts) exchange.RunReadyHandlers();
          EXPECT_TRUE(exchange.results.empty()) << head << body.size();
          end == End::kClose ? exchange.CloseInOrder() : exchange.backend->HalfClose();
          const AttemptResult& result = exchange.AwaitResult();
          EXPECT_EQ(result.result, CallResult::kOk) << head << body.size();
          EXPECT_EQ(result.body, body) << head;
          exchange.RunUntil([&] { return exchange.pool.connections() == 0; });
        }
      }
    }
  }
}

// Guards against serving a part of a response as the whole. A reset ends no response, and the end of the
// connection completes none that states its length, is within a chunk or a head, or exceeds the limit.
TEST(BackendConnection, FailsATruncatedResponseHoweverItsConnectionEnds) {
  enum class End { kClose, kReset };
  const std::string interim_response = "HTTP/1.1 103 Early Hints\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::map<std::string, std::string> cut_by_any_end = {
      {"length", ok + "Content-Length: 9\r\n\r\nhalf"},
      {"length without a body", ok + "Content-Length: 9\r\n\r\n"},
      {"chunk", ok + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"},
      {"between chunks", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
      {"before the last line of a chunked body", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n"},
      {"status line", "HTTP/1.1 200"},
      {"head before its length", ok},
      {"head within a field", ok + "Content-Le"},
      {"head before its empty line", ok + "Content-Type: text/plain\r\n\r"},
      {"interim response alone", interim_response},
      {"no byte", ""}};
  for (const auto& [name, bytes] : cut_by_any_end) {
    for (End end : {End::kClose, End::kReset}) {
      ExchangeFixture exchange;
      exchange.backend->Write(bytes);
      exchange.RunReadyHandlers();
      end == End::kClose ? exchange.CloseInOrder() : exchange.backend->Reset();
      const AttemptResult& result = exchange.AwaitResult();
      EXPECT_EQ(result.result, CallResult::kReset) << name;
      bool began = !bytes.empty() && bytes != interim_response;
      EXPECT_EQ(result.fault, began ? ResponseFault::kTruncated : ResponseFault::kNone) << name;
      EXPECT_EQ(result.body, "") << name;
    }
  }
  for (const std::string& status : {ok, std::string("HTTP/1.1 500 No\r\n")}) {
    ExchangeFixture exchange;
    exchange.backend->Write(status + "\r\nno length");
    exchange.RunReadyHandlers();
    exchange.backend->Reset();
    EXPECT_EQ(exchange.AwaitResult().result, CallResult::kReset) << status;
    EXPECT_EQ(exchange.AwaitResult().fault, ResponseFault::kTruncated) << status;
  }
  ExchangeFixture exchange;
  exchange.backend->Write(ok + "\r\n" + std::string(kMaxBodyBytes + 1, 'b'));
  exchange.CloseInOrder();
  EXPECT_EQ(exchange.AwaitResult().fault, ResponseFault::kMalformed) << "over the limit";
}

// A response without a length and the end of its connection have arrived when the process resumes after a
// stall in which the timeout expired. Both have to be read before the timeout is handled.
TEST(BackendConnection, UsesAResponseWithoutALengthThatEndedBeforeTheTimeout) {
  constexpr double kTimeoutS = 2;
  for (bool body_read_before : {false, true}) {
    ExchangeFixture exchange(kTimeoutS);
    exchange.backend->Write("HTTP/1.1 200 OK\r\n\r\nbody");
    if (body_read_before) exchange.RunReadyHandlers();
    exchange.backend->HalfClose();
    std::this_thread::sleep_for(Seconds(kTimeoutS));
    EXPECT_EQ(exchange.AwaitResult().result, CallResult::kOk) << body_read_before;
    EXPECT_EQ(exchange.AwaitResult().body, "body") << body_read_before;
  }
}

// A backend responds and closes the connection at once. The end of the connection is no byte behind the
// response, which is whole.
TEST(BackendConnection, UsesAResponseThatIsFollowedByTheEndOfTheConnection) {
  ExchangeFixture exchange;
  exchange.backend->Write(OkResponse("body"));
  exchange.backend->Close();
  EXPECT_EQ(exchange.AwaitResult().result, CallResult::kOk);
  exchange.RunUntil([&] { return exchange.pool.connections() == 0; });
}

}  // namespace
}  // namespace gateway::net
