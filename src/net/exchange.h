/// \file
/// One HTTP request and its response on a connection that is already up. Owns the connection until it is
/// released by reusable(); used for health checks and discovery, whose messages are short.
#pragma once

#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/answer_reader.h"
#include "net/node_pool.h"
#include "net/pending_output.h"

namespace wingproxy::net {

/// An exchange in progress. Its pending handlers keep it alive.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    enum class Result {
        Answered,    ///< the response is complete
        NotWritten,  ///< the connection broke before the request's last byte was written
        Broken,      ///< it broke later, or what came is no valid response
    };

    /// Called once, unless the exchange is abandoned. The response is empty unless the result is Answered.
    using Done = std::function<void(Result, Response)>;

    /// A response that has begun must bring more bytes within this time, else it is Broken: one that
    /// announces more than it sends would keep its caller waiting until the deadline. Long against the
    /// retransmission of a lost packet.
    static constexpr std::chrono::milliseconds kStall{250};

    /// \param request the complete message, which is copied
    /// \param bodyLimit bytes; a longer response is Broken
    Exchange(std::shared_ptr<Connection> connection, std::string_view request, std::size_t bodyLimit,
             Done done, std::chrono::microseconds stallTimeout = kStall);

    void start();
    /// Closes the connection and calls nothing.
    void abandon();
    /// After Answered: gives the connection away if it may carry another exchange, else returns null.
    std::shared_ptr<Connection> reusable();

private:
    void write();
    void read();
    void onRead(const boost::system::error_code& error, std::size_t count);
    void parse(bool nodeClosed);
    void awaitMore();
    void onStallTimeout();
    void finish(Result result);

    std::shared_ptr<Connection> connection_;
    PendingOutput request_;
    Done done_;
    std::size_t bodyLimit_;
    AnswerReader reader_;
    std::string body_;
    std::chrono::microseconds stallTimeout_;
    boost::asio::steady_timer stallTimer_;
    bool reusable_ = false;
};

}  // namespace wingproxy::net
