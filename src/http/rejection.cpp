#include "http/rejection.h"

#include <fmt/format.h>

#include <boost/beast/http/error.hpp>

#include "http/client_limits.h"
#include "http/message_writer.h"
#include "net/clock.h"

namespace wingproxy::http {
namespace {

namespace beast = boost::beast;
using beast::http::verb;

Rejection rejectInvalid(RequestError error, bool closesConnection) {
    return {400, "", fmt::format("{}\n", describe(error)), &FrontCounters::malformed, closesConnection};
}

}  // namespace

Rejection rejectUnreadable(const boost::system::error_code& error) {
    const auto body = fmt::format("{}\n", error.message());
    if (error == beast::http::error::header_limit) return {431, "", body, &FrontCounters::tooLarge, true};
    if (error == beast::http::error::body_limit) return {413, "", body, &FrontCounters::tooLarge, true};
    return {400, "", body, &FrontCounters::malformed, true};
}

Rejection rejectFraming(FramingError error) {
    switch (error) {
        case FramingError::AmbiguousLength:
            return rejectUnreadable(beast::http::error::bad_transfer_encoding);
        case FramingError::UnsupportedCoding:
            break;
    }
    return {501, "", "Transfer-Encoding: not supported\n", &FrontCounters::unsupported, true};
}

Rejection rejectUnreadableBody() {
    return {400, "", "the body cannot be read\n", &FrontCounters::malformed, true};
}

Rejection rejectPartialRequest(const Settings& settings) {
    return {503, retryAfterField(settings, net::toMicros(kOverloadRetryAfter)), "", nullptr, true};
}

Rejection rejectDuringShutdown(const Settings& settings) {
    auto rejection = rejectPartialRequest(settings);
    rejection.counter = &FrontCounters::leftToSuccessor;
    return rejection;
}

Rejection rejectBeyondMemoryBudget(const Settings& settings) {
    auto rejection = rejectPartialRequest(settings);
    rejection.counter = &FrontCounters::noMemory;
    return rejection;
}

Rejection rejectOverdueRequest() {
    return {408, "", "the request did not become whole in time\n", &FrontCounters::slow, true};
}

Rejection rejectStalledBody() { return {408, "", "the body did not go on\n", &FrontCounters::slow, true}; }

std::variant<ParsedRequest, Rejection> validateRequest(const RequestMessage& message, bool isStreamed,
                                                       const Settings& settings,
                                                       const OpenRequestIds& openIds, Micros now) {
    const auto method = message.method();
    if (method != verb::get && method != verb::put) {
        // A response to HEAD must not have a body, but this one does: the connection cannot be reused.
        const bool closes = isStreamed || method == verb::head;
        return Rejection{405, "Allow: GET, PUT\r\n", "method: a read is a GET, a write a PUT\n",
                         &FrontCounters::malformed, closes};
    }
    auto parsed = parseRequest(message, settings);
    if (const auto* error = std::get_if<RequestError>(&parsed)) return rejectInvalid(*error, isStreamed);
    if (isStreamed && method == verb::get) return rejectInvalid(RequestError::BodyOnRead, true);
    if (openIds.isOpen(std::string(message["Req-Id"]), now)) {
        return Rejection{409, "", "Req-Id: another request with it is open\n", &FrontCounters::repeated,
                         isStreamed};
    }
    return std::get<ParsedRequest>(std::move(parsed));
}

}  // namespace wingproxy::http
