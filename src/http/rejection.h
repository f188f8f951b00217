/// \file
/// The responses of requests that the front rejects itself, without asking the policy. Stateless.
#pragma once

#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>
#include <variant>

#include "http/front_context.h"
#include "http/messages.h"
#include "http/request_parser.h"
#include "http/request_reader.h"

namespace wingproxy::http {

/// A rejected request's response, and what it means for its connection.
struct Rejection {
    int status;
    std::string fields;  ///< header lines, each with its line end
    std::string body;
    /// Where it is counted, besides the counters of responses; null if only there.
    std::uint64_t FrontCounters::*counter;
    /// Whether no further request can be read from the connection.
    bool closesConnection;
};

/// The message cannot be parsed: 431 or 413 for one that is too long, otherwise 400.
Rejection rejectUnreadable(const boost::system::error_code& error);
/// Its body cannot be read.
Rejection rejectFraming(FramingError error);
/// A streamed body turned out to be unreadable after the request was submitted.
Rejection rejectUnreadableBody();
/// The body does not fit into the memory budget.
Rejection rejectForMemory(const Settings& settings);
/// The connection is evicted, or closed by a shutdown, with a partial request.
Rejection rejectPartialRequest(const Settings& settings);
/// The request was not complete in time.
Rejection rejectOverdueRequest();
/// A streamed body stopped.
Rejection rejectStalledBody();

/// Checks a request whose head is complete.
///
/// \param isStreamed its body is not part of `message`, and is not read if the request is rejected
/// \param openIds of which none may be used again
/// \param now on the engine's clock
std::variant<ParsedRequest, Rejection> validateRequest(const RequestMessage& message, bool isStreamed,
                                                       const Settings& settings,
                                                       const OpenRequestIds& openIds, Micros now);

}  // namespace wingproxy::http
