// Invalid requests from clients: each gets its status from the gateway itself, and no backend sees it.
#include <string>
#include <utility>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

std::string Without(std::string request, const std::string& field) {
  size_t begin = request.find(field + ":");
  return request.erase(begin, request.find("\r\n", begin) + 2 - begin);
}

std::string With(std::string request, const std::string& from, const std::string& to) {
  return request.replace(request.find(from), from.size(), to);
}

// Requests, and the status of the answer to each.
std::vector<std::pair<std::string, int>> InvalidRequests() {
  std::string good = MakeRequest("quote");
  std::string big(64 * 1024 + 1, 'b');
  std::string ready = "GET /-/ready HTTP/1.1\r\n";
  return {
      {"no http at all\r\n\r\n", 400},
      {"GET /quote HTTP/9.9\r\n\r\n", 400},
      {Without(good, "Request-Id"), 400},
      {Without(good, "X-Tier"), 400},
      {Without(good, "Cookie"), 400},
      {Without(good, "Request-Timeout-Ms"), 400},
      {Without(good, "X-Call-Terms"), 400},
      {Without(MakeRequest("save-scenario"), "Idempotency-Key"), 400},
      {With(good, "business", "unheard-of"), 400},
      {With(good, "/quote", "/unheard-of"), 400},
      {With(good, "client=00000000b4d65521", "client=xyz"), 400},
      {With(good, "Ms: 3000", "Ms: soon"), 400},
      {With(good, "Ms: 3000", "Ms: -5"), 400},
      {With(good, "units=1", "units=nan"), 400},
      {With(good, "units=1", "units=-1"), 400},
      {With(good, "spread=1", "spread=0"), 400},
      {With(good, "spread=1", "spread=3"), 400},
      {With(good, "spread=1", "spread=1.5"), 400},
      {With(good, "units=1", "units=8.5"), 400},
      {With(good, "units=1", "units=1,units=2"), 400},
      {With(good, "first=0", "first=2"), 400},
      {With(good, "first=0", "first=-1"), 400},
      {With(good, ",first=0", ""), 400},
      {With(good, "Ms: 3000", "Ms: 9999999"), 400},
      {With(good, "client=00000000b4d65521", "client=0000000200000000"), 400},
      {With(good, "client=00000000b4d65521", "client=1; client=2"), 400},
      {With(good, "X-Tier: business", "X-Tier: business\r\nX-Tier: small"), 400},
      {With(good, "Host", "Request-Id: 7\r\nHost"), 400},
      {std::string(100, '\n') + good, 400},
      {With(good, "GET", "POST"), 405},
      {"GET /-/other HTTP/1.1\r\nHost: x\r\n\r\n", 404},
      {MakeRequest("send-lead", 1, 3000, "", big), 413},
      {ready + "X-Large: " + std::string(40000, 'h') + "\r\n\r\n", 431},
      {ready + "Content-Length: many\r\n\r\n", 400},
  };
}

// Clients send fields that are missing, repeated, unreadable or out of bounds, unknown paths, wrong methods
// and parts past their limits. One of them taken as valid could charge another tenant's quota, or count
// without bound.
TEST(RequestParser, RejectsInvalidRequestsAndGoesOn) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  for (const auto& [text, status] : InvalidRequests()) {
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(Exchange(*client, text).status(), status) << text.substr(0, 300);
  }
  EXPECT_EQ(backend.requests.count(), 0);
  std::string good = MakeRequest("quote");
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*client, Without(good, "X-Tier")).status(), 400);
  EXPECT_EQ(Exchange(*client, good).status(), 200) << "the framing was sound, so the connection goes on";
}

constexpr char kTransferEncoding[] = "Transfer-Encoding: ";

// The request line and fields of a valid request, without the empty line that ends them.
std::string OpenHead() {
  std::string head = MakeRequest("send-lead");
  head.resize(head.size() - 2);
  return head;
}

// Field lines that leave the length of a body in doubt; `length` is a sound Content-Length.
std::vector<std::string> AmbiguousFraming(const std::string& length) {
  std::string coding = kTransferEncoding;
  std::string chunked = "chunked\r\n";
  return {length + coding + chunked,
          coding + chunked + length,
          coding + "identity\r\n" + length,
          length + coding + "identity\r\n",
          coding + "gzip, " + chunked,
          coding + "chunked, gzip\r\n",
          coding + "identity\r\n",
          coding + "gzip\r\n" + coding + chunked,
          coding + "\r\n",
          length + length,
          length + "Content-Length: 3\r\n",
          std::string("Content-Length: -1\r\n"),
          std::string("Content-Length: 3, 3\r\n"),
          std::string("Content-Length: +3\r\n"),
          std::string("Content-Length: 18446744073709551617\r\n"),
          std::string("X-Odd: a\r\n folded\r\n"),
          std::string("X-Odd: a\r\n\tfolded\r\n"),
          std::string("X-Odd : a\r\n"),
          std::string("X-Odd\r\n"),
          std::string("X-Odd: a\nb: c\r\n"),
          "Content-Length : 3\r\n" + length};
}

// Request smuggling: the length of a body is given so that two readers may take it in two ways, and a second
// request is hidden in the bytes that they disagree on. Each gets an error and a close, and nothing of it is
// forwarded.
TEST(RequestParser, RejectsAmbiguousFramingAndCloses) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  std::string hidden = MakeRequest("send-lead");
  std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
  for (const std::string& lines : AmbiguousFraming(length)) {
    std::string request = OpenHead();
    request.append(lines).append("\r\n").append(hidden);
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(Exchange(*client, request).status(), 400) << lines;
    EXPECT_TRUE(client->AwaitEnd()) << lines;
  }
  EXPECT_EQ(backend.requests.count(), 0);
}

// Chunks whose size cannot be read or does not hold, with a second request behind them, and bodies past the
// limit, chunked or announced.
TEST(RequestParser, RejectsInvalidChunksAndBodiesPastTheLimit) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  std::string hidden = MakeRequest("send-lead");
  std::string big(64 * 1024 + 1, 'b');
  std::string chunked = OpenHead() + kTransferEncoding + "chunked\r\n\r\n";
  for (const char* body : {"zz\r\n", "-1\r\n", "ffffffffffffffffff\r\n", "3\r\nabcd\r\n"}) {
    std::string request = chunked;
    request.append(body).append(hidden);
    EXPECT_EQ(Exchange(*fixture.gateway->Connect(), request).status(), 400) << body;
  }
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), chunked + "fffff\r\n").status(), 413);
  std::string announced = OpenHead() + "Content-Length: 62914560\r\n\r\n";
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), announced + big).status(), 413);
  EXPECT_EQ(backend.requests.count(), 0);
}

}  // namespace
}  // namespace gateway::net
