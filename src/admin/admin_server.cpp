#include "admin/admin_server.h"

#include <fmt/format.h>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/http_step.h"

namespace wingproxy::admin {
namespace {

namespace http = boost::beast::http;
// A caller waits 1 s; one that has not said its call by then and much longer says none.
constexpr std::chrono::seconds kWholeBy{8}, kTaken{2};

std::string text(const AdminResponse& reply) {
    const auto reason = http::obsolete_reason(http::int_to_status(unsigned(reply.status)));
    return fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\nConnection: close\r\n\r\n{}", reply.status,
                       std::string_view(reason.data(), reason.size()), reply.fields, reply.body.size(),
                       reply.body);
}

}  // namespace

class AdminServer::Caller : public net::Session {
public:
    Caller(AdminServer& server, net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket)
        : Session(sessionManager, std::move(socket)),
          server_(server),
          since_(std::chrono::steady_clock::now()) {
        parser_.header_limit(net::headLimit(in_));
        parser_.body_limit(kMostBody);
    }
    bool idle() const override { return !answered_; }
    void sweep() override {
        const auto age = std::chrono::steady_clock::now() - since_;
        if (!open() || age < (answered_ ? kTaken : kWholeBy)) return;
        if (!answered_) ++server_.counters_.hung;
        close();
    }

protected:
    void received() override {
        if (answered_) return in_.clear();
        boost::system::error_code error;
        while (in_.size() > 0 && !parser_.is_done() && net::step(parser_, in_, error)) {}
        if (error) {
            const bool head = error == http::error::header_limit, body = error == http::error::body_limit;
            ++server_.counters_.malformed;
            return encodeAdminRequest({head   ? 431
                                       : body ? 413
                                              : 400,
                                       fmt::format("{}\n", error.message()), ""});
        }
        if (!parser_.is_done()) return;
        const auto& m = parser_.get();
        const auto view = [](auto part) { return std::string_view(part.data(), part.size()); };
        auto read = parseAdminRequest(view(m.method_string()), view(m.target()), m.body());
        if (const auto* wrong = std::get_if<AdminResponse>(&read)) {
            ++server_.counters_.malformed;
            return encodeAdminRequest(*wrong);
        }
        const auto reply = handleAdminRequest(std::get<AdminRequest>(read), server_.handler_);
        ++(reply.status == 200 ? server_.counters_.yes : server_.counters_.no);
        encodeAdminRequest(reply);
    }
    void sent() override { linger(); }

private:
    void encodeAdminRequest(const AdminResponse& reply) {
        answered_ = true;
        since_ = std::chrono::steady_clock::now();
        send(text(reply));
    }
    AdminServer& server_;
    http::request_parser<http::string_body> parser_;
    std::chrono::steady_clock::time_point since_;  // its connecting, then its answer
    bool answered_ = false;
};

AdminServer::AdminServer(boost::asio::io_context& io, const config::Endpoint& at, AdminHandler handler)
    : handler_(std::move(handler)),
      sessionManager_(
          io, at, kMostCallers,
          [this](net::SessionManager& sessionManager, boost::asio::ip::tcp::socket socket) {
              return std::make_shared<Caller>(*this, sessionManager, std::move(socket));
          },
          net::kLeastRing) {}

}  // namespace wingproxy::admin
