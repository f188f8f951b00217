// One HTTP request and its answer on a connection that is already up.
#pragma once

#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/answer_reader.h"
#include "net/node_pool.h"

namespace wingproxy::net {

class Exchange : public std::enable_shared_from_this<Exchange> {
public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;
    enum class Result { Answered, NotWritten, Broken };  // Broken: after the last byte was written
    using Done = std::function<void(Result, Response)>;

    // An answer that has begun goes on within this time or has broken: what claims more than it brings would
    // else hold its request until the deadline. Long against a lost packet that is sent again.
    static constexpr std::chrono::milliseconds kStall{250};
    Exchange(std::shared_ptr<Connection> connection, std::string request, std::size_t bodyLimit, Done done,
             std::chrono::microseconds stall = kStall);
    void start();
    void abandon();                          // closes the connection, calls nothing
    std::shared_ptr<Connection> reusable();  // after Answered: the connection, if it may go on

private:
    void write();
    void read();
    void parse(bool ended);
    void awaitMore();
    void finish(Result result);

    std::shared_ptr<Connection> connection_;
    std::string request_;
    std::size_t put_ = 0;  // bytes of the request handed to the ring
    Done done_;
    std::size_t bodyLimit_;
    AnswerReader reader_;
    std::string body_;
    std::chrono::microseconds stallIn_;
    boost::asio::steady_timer stall_;
    bool reusable_ = false;
};

}  // namespace wingproxy::net
