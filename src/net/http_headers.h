// HTTP header fields: which of them end at this hop, and copying the others from one message to the next.
#ifndef GATEWAY_NET_HTTP_HEADERS_H_
#define GATEWAY_NET_HTTP_HEADERS_H_

#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace gateway::net {

namespace http = boost::beast::http;

inline std::string_view ToStringView(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Whether a field ends at this hop (RFC 9110, 7.6.1) or is written by the gateway itself, as Content-Length
// and Expect are.
bool IsHopByHop(http::field name);

// Appends the field lines of a message that go on to the next hop, each "Name: value\r\n", in their order.
// Left out are hop-by-hop fields, those that the message's Connection field names, and those for which
// `skip(field)` is true.
template <typename Fields, typename Skip>
void AppendEndToEnd(const Fields& fields, std::string* out, Skip skip) {
  http::token_list named_by_connection(fields[http::field::connection]);
  for (const auto& field : fields) {
    if (IsHopByHop(field.name()) || named_by_connection.exists(field.name_string()) || skip(field)) continue;
    out->append(ToStringView(field.name_string()))
        .append(": ")
        .append(ToStringView(field.value()))
        .append("\r\n");
  }
}

}  // namespace gateway::net

#endif  // GATEWAY_NET_HTTP_HEADERS_H_
