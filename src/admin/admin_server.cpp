#include "admin/admin_server.h"

#include <fmt/format.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "net/message_reader.h"

namespace wingproxy::admin {
namespace {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;

/// From the start of a connection to its complete request. Clients give up much sooner (kResponseTimeout), so
/// a connection that reaches this limit is stuck.
constexpr std::chrono::seconds kRequestTimeout{8};
/// From queueing the response until the client has read it and closed the connection.
constexpr std::chrono::seconds kCloseTimeout{2};

std::string_view toView(boost::beast::string_view text) { return {text.data(), text.size()}; }

std::string encodeResponse(const AdminResponse& response) {
    const auto status = http::int_to_status(static_cast<unsigned>(response.status));
    return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                       response.status, toView(http::obsolete_reason(status)), response.headerLines,
                       response.body.size(), response.body);
}

int statusOf(const boost::system::error_code& parseError) {
    if (parseError == http::error::header_limit) return 431;
    if (parseError == http::error::body_limit) return 413;
    return 400;
}

}  // namespace

class AdminServer::Connection : public net::Session {
public:
    Connection(AdminServer& server, net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket)
        : Session(sessionManager, std::move(socket)), server_(server) {
        parser_.header_limit(net::headLimit(in_));
        parser_.body_limit(kMaxBodyBytes);
    }

    bool isIdle() const override { return !responded_; }

    void enforceTimeouts() override {
        const auto age = Clock::now() - phaseStart_;
        if (!isOpen() || age < (responded_ ? kCloseTimeout : kRequestTimeout)) return;
        if (!responded_) ++server_.counters_.timedOut;
        close();
    }

protected:
    void onReceived() override {
        if (responded_) return in_.clear();
        boost::system::error_code error;
        while (in_.size() > 0 && !parser_.is_done() && net::parseAvailable(parser_, in_, error)) {}
        if (error) return reject({statusOf(error), fmt::format("{}\n", error.message()), ""});
        if (parser_.is_done()) handle(parser_.get());
    }

    void onOutputSent() override { startLingeringClose(); }

private:
    void handle(const http::request<http::string_body>& message) {
        const auto parsed =
            parseAdminRequest(toView(message.method_string()), toView(message.target()), message.body());
        if (const auto* rejection = std::get_if<AdminResponse>(&parsed)) return reject(*rejection);
        const auto response = handleAdminRequest(std::get<AdminRequest>(parsed), server_.handler_);
        ++(response.status == 200 ? server_.counters_.executed : server_.counters_.rejected);
        respond(response);
    }
    void reject(const AdminResponse& response) {
        ++server_.counters_.malformed;
        respond(response);
    }
    void respond(const AdminResponse& response) {
        responded_ = true;
        phaseStart_ = Clock::now();
        send(encodeResponse(response));
    }

    AdminServer& server_;
    http::request_parser<http::string_body> parser_;
    Clock::time_point phaseStart_ = Clock::now();  // of awaiting the request, then the client's close
    bool responded_ = false;
};

AdminServer::AdminServer(boost::asio::io_context& io, const config::Endpoint& address, AdminHandler handler)
    : handler_(std::move(handler)),
      sessionManager_(
          io, address, kMaxConnections,
          [this](net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket) {
              return std::make_shared<Connection>(*this, sessionManager, std::move(socket));
          },
          net::kMinRingBytes) {}

}  // namespace wingproxy::admin
