#include "admin/admin_client.h"

#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace wingproxy::admin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
// Metrics of thousands of classes; more is no answer of a front.
constexpr std::uint64_t kMostAnswer = 1024 * 1024;

// One after the other, each started by the end of the one before.
struct Caller {
    Caller(asio::io_context& io, const AdminRequest& call, const config::Endpoint& front) : stream(io) {
        const auto said = encodeAdminRequest(call);
        request = {http::string_to_verb(said.method), said.target, 11};
        request.set(http::field::host, fmt::format("{}:{}", front.host, front.port));
        request.body() = said.body;
        request.prepare_payload();
        parser.body_limit(kMostAnswer);
    }
    void start(const asio::ip::tcp::endpoint& at) {
        stream.async_connect(at, [this](const boost::system::error_code& error) {
            if (failed("connect", error)) return;
            http::async_write(stream, request, [this](const boost::system::error_code& e, std::size_t) {
                if (failed("write", e)) return;
                http::async_read(stream, buffer, parser,
                                 [this](const boost::system::error_code& e2, std::size_t) {
                                     if (!failed("read", e2)) done = true;
                                 });
            });
        });
    }
    bool failed(const char* what, const boost::system::error_code& error) {
        if (error) why = fmt::format("{}: {}", what, error.message());
        return bool(error);
    }
    beast::tcp_stream stream;
    http::request<http::string_body> request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    std::string why;
    bool done = false;
};

}  // namespace

HttpRequestParts encodeAdminRequest(const AdminRequest& call) {
    switch (call.kind) {
        case AdminRequest::Kind::Ready:
            return {"GET", "/_ready", ""};
        case AdminRequest::Kind::Vars:
            return {"GET", "/_vars", ""};
        case AdminRequest::Kind::Detach:
            return {"POST", "/_chunk-servers/detach", call.node};
        case AdminRequest::Kind::Attach:
            return {"POST", "/_chunk-servers/attach", call.node};
    }
    return {};
}

AdminResult sendAdminRequest(const config::Endpoint& front, const AdminRequest& call,
                             std::chrono::milliseconds wait) {
    asio::io_context io;
    Caller caller(io, call, front);
    caller.start({asio::ip::make_address_v4(front.host), front.port});
    io.run_for(wait);
    if (!caller.done) {
        const auto why = caller.why.empty() ? fmt::format("no answer in {} ms", wait.count()) : caller.why;
        boost::system::error_code ignored;
        caller.stream.socket().close(ignored);
        io.restart();
        io.run();  // the handlers that the close ends must not outlive the caller
        return {std::nullopt, why};
    }
    auto& answer = caller.parser.get();
    return {AdminResponse{int(answer.result_int()), std::move(answer.body()), ""}, ""};
}

}  // namespace wingproxy::admin
