#include "http/message_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/beast/http/rfc7230.hpp>

#include "http/field_values.h"

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;
using beast::http::field;

// Whether a field is hop-by-hop (RFC 9110, 7.6.1), or is replaced when the request is forwarded.
bool isHopByHop(const beast::http::fields::value_type& entry, const RequestMessage& message) {
    switch (entry.name()) {
        case field::connection:
        case field::keep_alive:
        case field::proxy_connection:
        case field::te:
        case field::trailer:
        case field::transfer_encoding:
        case field::upgrade:
        case field::content_length:
        case field::expect:
            return true;
        default:
            return beast::http::token_list{message[field::connection]}.exists(entry.name_string());
    }
}

// While a body is streamed, its client's timeout has not started: the client has the whole of it left.
Micros toldDeadlineMs(const RequestMessage& message, Micros remainingUs) {
    const auto clientTimeoutMs =
        parseNumber<Micros>(trimWhitespace(toStringView(message["Req-Deadline-Ms"])));
    const Micros remainingMs = remainingUs / 1000;
    return std::max<Micros>(1, std::min(remainingMs, clientTimeoutMs.value_or(remainingMs)));
}

}  // namespace

std::string serializeNodeRequestHead(const RequestMessage& message, const std::string& host,
                                     Micros remainingUs, const BodyFraming* streamed) {
    std::string out = fmt::format("{} {} HTTP/1.1\r\n", toStringView(message.method_string()),
                                  toStringView(message.target()));
    if (message.find(field::host) == message.end()) out += fmt::format("Host: {}\r\n", host);
    for (const auto& entry : message) {
        if (isHopByHop(entry, message) || beast::iequals(entry.name_string(), "Req-Deadline-Ms")) continue;
        out += fmt::format("{}: {}\r\n", toStringView(entry.name_string()), toStringView(entry.value()));
    }
    out += fmt::format("Req-Deadline-Ms: {}\r\n", toldDeadlineMs(message, remainingUs));
    if (streamed && streamed->chunked) return out + "Transfer-Encoding: chunked\r\n\r\n";
    if (streamed) return out + fmt::format("Content-Length: {}\r\n\r\n", streamed->length);
    if (!message.body().empty() || message.method() != beast::http::verb::get)
        out += fmt::format("Content-Length: {}\r\n", message.body().size());
    return out + "\r\n";
}

std::string serializeResponseHead(int status, std::string_view fields, bool keepAlive) {
    const auto reason =
        toStringView(beast::http::obsolete_reason(beast::http::int_to_status(unsigned(status))));
    return fmt::format("HTTP/1.1 {} {}\r\n{}{}\r\n", status, reason, fields,
                       keepAlive ? "" : "Connection: close\r\n");
}

std::string serializeResponse(int status, std::string_view fields, std::string_view body, bool keepAlive) {
    const auto allFields = fmt::format("{}Content-Length: {}\r\n", fields, body.size());
    return serializeResponseHead(status, allFields, keepAlive).append(body);
}

std::string formatRetryAfter(Micros delayUs) { return fmt::format("{:.3f}", double(delayUs) / 1e6); }

std::string retryAfterField(const Settings& settings, Micros delayUs) {
    const auto delay = std::min(delayUs, settings.maxRetryAfterUs);
    if (!settings.sendsRetryAfter || delay <= 0) return "";
    return fmt::format("Retry-After: {}\r\n", formatRetryAfter(delay));
}

}  // namespace wingproxy::http
