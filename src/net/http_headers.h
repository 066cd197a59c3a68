// HTTP header fields: recognizing hop-by-hop fields, and copying end-to-end fields between messages.
#ifndef GATEWAY_NET_HTTP_HEADERS_H_
#define GATEWAY_NET_HTTP_HEADERS_H_

#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace gateway::net {

namespace http = boost::beast::http;

inline std::string_view ToStringView(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Whether a field must not be forwarded: it is a hop-by-hop field (RFC 9110, 7.6.1), or one that the gateway
// handles itself, such as Content-Length and Expect.
bool IsHopByHop(http::field name);

// Appends the end-to-end field lines of a message to `*out`, each as "Name: value\r\n" and in their original
// order. Omits hop-by-hop fields, fields that the Connection field of the message names, and fields for which
// `skip(field)` returns true.
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
