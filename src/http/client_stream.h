/// \file
/// The interface between one client's request and the attempts that serve it.
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
    /// The part of a streamed response's head that reaches the client.
    struct StreamedHead {
        std::string contentType;
        std::optional<std::uint64_t> contentLength;  ///< bytes; empty if the length is not known
    };
    /// Moves up to `capacity` bytes to `to`; returns their number, 0 if none has arrived.
    using BodySource = std::function<std::size_t(char* to, std::size_t capacity)>;

    virtual ~ClientStream() = default;

    /// Moves request body bytes that have arrived to `to`. No other attempt can send them after that.
    virtual std::size_t consumeBody(char* to, std::size_t capacity) = 0;
    /// Whether the complete request body has been consumed.
    virtual bool isBodyConsumed() const = 0;
    /// Calls `onBody` once, when more of the request body may have arrived.
    virtual void awaitBody(std::function<void()> onBody) = 0;

    /// Starts a response that is streamed; `source` is asked whenever the client can take more.
    virtual void startStreaming(const StreamedHead& head, BodySource source) = 0;
    /// The source of the streamed response has more.
    virtual void resumeStreaming() = 0;
    /// The streamed response, if one was started, is complete.
    virtual void completeStreaming() = 0;

    /// Sends a complete response. A streamed one that was started is aborted instead.
    /// \param fields header lines, each with its line end
    /// \param reservation the body's share of the memory budget, given back when the client has taken it
    virtual void respond(int status, std::string_view fields, std::string_view body,
                         net::ByteBudget::Reservation reservation = nullptr) = 0;
};

}  // namespace wingproxy::http
