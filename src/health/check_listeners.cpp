#include "health/check_listeners.h"

#include <cstddef>
#include <string>
#include <utility>

#include "health/agent_check.h"
#include "health/http_check.h"

namespace wingproxy::health {
namespace {

using boost::asio::ip::tcp;

/// Limit of concurrent connections of each listener. A load balancer opens a connection for each check.
constexpr std::size_t kMaxClients = 8;

/// The agent check: sends one line without waiting for input, then closes.
class AgentSession : public net::Session {
public:
    AgentSession(net::SessionManager& sessionManager, tcp::socket socket, StatusSource source)
        : Session(sessionManager, std::move(socket)), source_(std::move(source)) {}
    void start() override { send(renderAgentLine(source_())); }
    bool isIdle() const override { return false; }

protected:
    void onReceived() override { in_.clear(); }
    void onOutputSent() override { startLingeringClose(); }

private:
    StatusSource source_;
};

/// The HTTP health check: responds once at the end of the first request's header, then closes.
class HttpSession : public net::Session {
public:
    HttpSession(net::SessionManager& sessionManager, tcp::socket socket, StatusSource source)
        : Session(sessionManager, std::move(socket)), source_(std::move(source)) {}
    bool isIdle() const override { return !responded_; }

protected:
    void onReceived() override {
        std::string line;
        while (in_.readLine(line))
            handleLine(line);
        if (in_.freeSpace() == 0) close();
    }
    void onOutputSent() override { startLingeringClose(); }

private:
    void handleLine(const std::string& line) {
        if (requestLine_.empty()) requestLine_ = line;
        const bool endOfHeader = line.empty();
        if (!endOfHeader || responded_) return;
        responded_ = true;
        send(renderHttpResponse(requestLine_, source_()));
    }

    StatusSource source_;
    std::string requestLine_;
    bool responded_ = false;
};

template <typename SessionType>
std::unique_ptr<net::SessionManager> makeListener(boost::asio::io_context& io,
                                                  const config::Endpoint& address, StatusSource source) {
    return std::make_unique<net::SessionManager>(
        io, address, kMaxClients,
        [source = std::move(source)](net::SessionManager& sessionManager, tcp::socket socket) {
            return std::make_shared<SessionType>(sessionManager, std::move(socket), source);
        });
}

}  // namespace

std::unique_ptr<net::SessionManager> makeAgentCheckListener(boost::asio::io_context& io,
                                                            const config::Endpoint& address,
                                                            StatusSource source) {
    return makeListener<AgentSession>(io, address, std::move(source));
}

std::unique_ptr<net::SessionManager> makeHttpCheckListener(boost::asio::io_context& io,
                                                           const config::Endpoint& address,
                                                           StatusSource source) {
    return makeListener<HttpSession>(io, address, std::move(source));
}

}  // namespace wingproxy::health
