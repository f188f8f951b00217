#include "admin/admin_client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <string_view>
#include <utility>

namespace wingproxy::admin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/// Enough for the metrics of thousands of classes; a larger response is not from a front.
constexpr std::uint64_t kMaxResponseBytes = 1024UL * 1024UL;
constexpr unsigned kHttp11 = 11;

using Step = AdminClientError::Step;

std::string_view nameOf(Step step) {
    switch (step) {
        case Step::Connect:
            return "connect";
        case Step::Write:
            return "write";
        case Step::Read:
            return "read";
        case Step::TimedOut:
            break;
    }
    return "timeout";
}

/// One HTTP request and its response on a connection of its own. Each step starts the next one.
class Exchange {
public:
    /// \param timeout reported in error(); the caller enforces it
    Exchange(asio::io_context& io, const config::Endpoint& front, const AdminRequest& request,
             std::chrono::milliseconds timeout)
        : stream_(io), error_{Step::TimedOut, {}, timeout} {
        auto parts = encodeAdminRequest(request);
        request_ = {http::string_to_verb(parts.method), parts.target, kHttp11};
        request_.set(http::field::host, fmt::format("{}:{}", front.host, front.port));
        request_.body() = std::move(parts.body);
        request_.prepare_payload();
        parser_.body_limit(kMaxResponseBytes);
    }

    /// The handlers refer to this object, which must outlive the run of the io_context.
    void start(const asio::ip::tcp::endpoint& front) {
        stream_.async_connect(front, [this](const error_code& error) { onConnected(error); });
    }
    /// Closes the connection; pending handlers still run, with an error.
    void cancel() {
        error_code ignored;
        stream_.socket().close(ignored);
    }
    bool completed() const { return completed_; }
    /// Valid unless completed(): the step that failed, or TimedOut if none did.
    const AdminClientError& error() const { return error_; }
    /// Moves out the response. Valid once completed().
    AdminResponse takeResponse() {
        auto& response = parser_.get();
        return {static_cast<int>(response.result_int()), std::move(response.body()), ""};
    }

private:
    void onConnected(const error_code& error) {
        if (error) return fail(Step::Connect, error);
        http::async_write(stream_, request_,
                          [this](const error_code& writeError, std::size_t) { onWritten(writeError); });
    }
    void onWritten(const error_code& error) {
        if (error) return fail(Step::Write, error);
        http::async_read(stream_, buffer_, parser_,
                         [this](const error_code& readError, std::size_t) { onRead(readError); });
    }
    void onRead(const error_code& error) {
        if (error) return fail(Step::Read, error);
        completed_ = true;
    }
    void fail(Step step, const error_code& cause) {
        error_.step = step;
        error_.cause = cause;
    }

    beast::tcp_stream stream_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    AdminClientError error_;
    bool completed_ = false;
};

}  // namespace

std::string describe(const AdminClientError& error) {
    if (error.step == Step::TimedOut) return fmt::format("no answer in {} ms", error.timeout.count());
    return fmt::format("{}: {}", nameOf(error.step), error.cause.message());
}

std::variant<AdminResponse, AdminClientError> sendAdminRequest(const config::Endpoint& front,
                                                               const AdminRequest& request,
                                                               std::chrono::milliseconds timeout) {
    asio::io_context io;
    Exchange exchange(io, front, request, timeout);
    exchange.start({asio::ip::make_address_v4(front.host), front.port});
    io.run_for(timeout);
    if (exchange.completed()) return exchange.takeResponse();

    const auto error = exchange.error();  // copied before the cancelled handlers overwrite it
    exchange.cancel();
    // Runs the cancelled handlers while the objects that they refer to exist.
    io.restart();
    io.run();
    return error;
}

}  // namespace wingproxy::admin
