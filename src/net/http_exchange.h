/// \file
/// One HTTP request and its response on an established connection. Owns the connection until
/// takeReusableConnection() returns it; used for health checks and discovery, whose messages are short.
#pragma once

#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/node_pool.h"
#include "net/pending_output.h"
#include "net/response_reader.h"
#include "net/socket_reader.h"
#include "net/stall_timer.h"

namespace wingproxy::net {

/// An exchange in progress. Its pending handlers keep it alive.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    /// The response with its complete body.
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// How the exchange ended.
    enum class Result {
        Completed,       ///< the response is complete
        NotWritten,      ///< the connection broke before the request's last byte was written
        ConnectionLost,  ///< it broke later, or the response is invalid
        Stalled,         ///< the response has begun, and no more of it came within the stall timeout
    };

    /// Called once, unless the exchange is cancelled. The response is empty unless the result is Completed.
    using OnFinished = std::function<void(Result, Response)>;

    /// The default stall timeout. Without one, a response that announces more bytes than it sends would keep
    /// its caller waiting until the deadline. Long compared with the retransmission of a lost packet.
    static constexpr std::chrono::milliseconds kStallTimeout{250};

    /// \param request the complete message, which is copied
    /// \param bodyLimit bytes; a longer response is ConnectionLost
    /// \param stallTimeout longest pause between two reads of a response that has begun
    HttpExchange(std::shared_ptr<Connection> connection, std::string_view request, std::size_t bodyLimit,
                 OnFinished onFinished, std::chrono::microseconds stallTimeout = kStallTimeout);

    /// Writes the request, then reads the response. To be called once.
    void start();
    /// Closes the connection. The callback is not called.
    void cancel();
    /// When the first byte of the response was read; nothing before that.
    std::optional<std::chrono::steady_clock::time_point> responseStartedAt() const {
        return responseStartedAt_;
    }
    /// After Completed: releases the connection to the caller if it may carry another exchange, else returns
    /// null.
    std::shared_ptr<Connection> takeReusableConnection();

private:
    void write();
    void read();
    void onRead(const boost::system::error_code& error);
    void parse(bool nodeClosed);
    void startStallTimer();
    void finish(Result result);
    void stop();

    std::shared_ptr<Connection> connection_;
    PendingOutput request_;
    OnFinished onFinished_;
    std::size_t bodyLimit_;
    ResponseReader reader_;
    std::string body_;
    SocketReader socketReader_;
    std::chrono::microseconds stallTimeout_;
    StallTimer stallTimer_;
    std::optional<std::chrono::steady_clock::time_point> responseStartedAt_;
    bool reusable_ = false;
};

}  // namespace wingproxy::net
