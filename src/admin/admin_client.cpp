#include "admin/admin_client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <utility>

namespace wingproxy::admin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/// Enough for the metrics of thousands of classes; whatever sends more is no front.
constexpr std::uint64_t kMaxResponseBytes = 1024UL * 1024UL;
constexpr unsigned kHttp11 = 11;

/// One connection with one request and its response. Each step starts the next one.
class Exchange {
public:
    Exchange(asio::io_context& io, const config::Endpoint& front, const AdminRequest& request) : stream_(io) {
        auto parts = encodeAdminRequest(request);
        request_ = {http::string_to_verb(parts.method), parts.target, kHttp11};
        request_.set(http::field::host, fmt::format("{}:{}", front.host, front.port));
        request_.body() = std::move(parts.body);
        request_.prepare_payload();
        parser_.body_limit(kMaxResponseBytes);
    }

    /// The handlers refer to this object: it must outlive the run of the io_context.
    void start(const asio::ip::tcp::endpoint& front) {
        stream_.async_connect(front, [this](const error_code& error) { onConnected(error); });
    }
    /// Ends the exchange early; its handlers still run, with an error.
    void cancel() {
        error_code ignored;
        stream_.socket().close(ignored);
    }
    bool completed() const { return completed_; }
    /// The step that failed and its error; empty: none did.
    const std::string& error() const { return error_; }
    /// Once it is completed.
    AdminResponse takeResponse() {
        auto& response = parser_.get();
        return {static_cast<int>(response.result_int()), std::move(response.body()), ""};
    }

private:
    void onConnected(const error_code& error) {
        if (error) return fail("connect", error);
        http::async_write(stream_, request_,
                          [this](const error_code& writeError, std::size_t) { onWritten(writeError); });
    }
    void onWritten(const error_code& error) {
        if (error) return fail("write", error);
        http::async_read(stream_, buffer_, parser_,
                         [this](const error_code& readError, std::size_t) { onRead(readError); });
    }
    void onRead(const error_code& error) {
        if (error) return fail("read", error);
        completed_ = true;
    }
    void fail(const char* step, const error_code& error) {
        error_ = fmt::format("{}: {}", step, error.message());
    }

    beast::tcp_stream stream_;
    http::request<http::string_body> request_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
    std::string error_;
    bool completed_ = false;
};

}  // namespace

AdminResult sendAdminRequest(const config::Endpoint& front, const AdminRequest& request,
                             std::chrono::milliseconds timeout) {
    asio::io_context io;
    Exchange exchange(io, front, request);
    exchange.start({asio::ip::make_address_v4(front.host), front.port});
    io.run_for(timeout);
    if (exchange.completed()) return {exchange.takeResponse(), ""};

    const auto error =
        exchange.error().empty() ? fmt::format("no answer in {} ms", timeout.count()) : exchange.error();
    exchange.cancel();
    // Runs the handlers of what was cancelled while the objects that they refer to exist.
    io.restart();
    io.run();
    return {std::nullopt, error};
}

}  // namespace wingproxy::admin
