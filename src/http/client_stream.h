/// \file
/// The interface through which a request and its attempts access the client.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "net/byte_budget.h"

namespace wingproxy::http {

/// The client side of one request. All calls are made on the event loop.
class ClientStream {
public:
    /// The part of a streamed response's head that is forwarded to the client.
    struct StreamedHead {
        std::string contentType;
        std::optional<std::uint64_t> contentLength;  ///< bytes; empty if the length is not known
    };
    /// Moves up to `capacity` body bytes to `to`; returns their number, 0 if none have arrived.
    using BodySource = std::function<std::size_t(char* to, std::size_t capacity)>;

    virtual ~ClientStream() = default;

    /// Moves up to `capacity` received request body bytes to `to`. No other attempt can send them afterwards.
    virtual std::size_t consumeBody(char* to, std::size_t capacity) = 0;
    /// Whether the complete request body has been consumed.
    virtual bool isBodyConsumed() const = 0;
    /// Calls `onBody` once, when more of the request body may have arrived.
    virtual void awaitBody(std::function<void()> onBody) = 0;

    /// Whether the response may be streamed: the process may end before a streamed response does.
    virtual bool mayStream() const = 0;
    /// Starts a streamed response; `source` is called whenever the client's send buffer has space.
    virtual void startStreaming(const StreamedHead& head, BodySource source) = 0;
    /// Called when the source of the streamed response has more bytes.
    virtual void resumeStreaming() = 0;
    /// Completes the streamed response, if one was started.
    virtual void completeStreaming() = 0;

    /// Sends a complete response. If a streamed response has been started, aborts that instead.
    /// \param fields header lines, each with its line end
    /// \param reservation the body's reservation in the memory budget, released once the response is sent
    virtual void respond(int status, std::string_view fields, std::string_view body,
                         net::ByteBudget::Reservation reservation = nullptr) = 0;
};

}  // namespace wingproxy::http
