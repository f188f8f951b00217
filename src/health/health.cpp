#include "health/health.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace wingproxy::health {
namespace {

using boost::asio::ip::tcp;
// A balancer opens one connection for each check and closes it; so many balancers may ask at once.
constexpr std::size_t kMostClients = 8;

std::string response(int status, std::string_view reason, std::string_view body) {
    return fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}\n",
        status, reason, body.size() + 1, body);
}

// The agent's protocol: the server speaks first, one line, and closes.
class Agent : public net::Session {
public:
    Agent(net::SessionManager& sessionManager, tcp::socket socket, Ask ask)
        : Session(sessionManager, std::move(socket)), ask_(std::move(ask)) {}
    void start() override { send(agentLine(ask_())); }
    bool idle() const override { return false; }

protected:
    void received() override { in_.clear(); }
    void sent() override { linger(); }

private:
    Ask ask_;
};

// One request a connection: checks open a new one each time.
class Check : public net::Session {
public:
    Check(net::SessionManager& sessionManager, tcp::socket socket, Ask ask)
        : Session(sessionManager, std::move(socket)), ask_(std::move(ask)) {}
    bool idle() const override { return !answered_; }

protected:
    void received() override {
        std::string line;
        while (in_.line(line)) {
            if (first_.empty()) first_ = line;
            if (!line.empty() || answered_) continue;
            answered_ = true;
            send(httpAnswer(first_, ask_()));
        }
        if (in_.space() == 0) close();
    }
    void sent() override { linger(); }

private:
    Ask ask_;
    std::string first_;
    bool answered_ = false;
};

template <typename Kind>
std::unique_ptr<net::SessionManager> serverOf(boost::asio::io_context& io, const config::Endpoint& at,
                                              Ask ask) {
    return std::make_unique<net::SessionManager>(
        io, at, kMostClients, [ask](net::SessionManager& sessionManager, tcp::socket socket) {
            return std::make_shared<Kind>(sessionManager, std::move(socket), ask);
        });
}

}  // namespace

std::string agentLine(const Report& report) {
    if (report.draining) return "drain\n";
    if (!report.ready) return "down #no node is known\n";
    const double free = std::clamp(1 - report.used, 0.0, 1.0);
    return fmt::format("ready up {}%\n", std::max(1, int(std::lround(free * 100))));  // 0% would be a drain
}

std::string httpAnswer(std::string_view requestLine, const Report& report) {
    const auto method = requestLine.substr(0, requestLine.find(' '));
    const auto rest = requestLine.substr(std::min(method.size() + 1, requestLine.size()));
    const auto path = rest.substr(0, rest.find_first_of(" ?"));
    if (rest.find("HTTP/1.") == std::string_view::npos) return response(400, "Bad Request", "not HTTP/1");
    if (method == "HEAD") {  // the same head, no body
        const auto answer = httpAnswer(fmt::format("GET {}", rest), report);
        return answer.substr(0, answer.find("\r\n\r\n") + 4);
    }
    if (method != "GET") return response(405, "Method Not Allowed", "GET or HEAD only");
    if (path == "/live") return response(200, "OK", "live");
    if (path != "/ready") return response(404, "Not Found", "/live or /ready");
    if (report.draining) return response(503, "Service Unavailable", "draining");
    if (!report.ready) return response(503, "Service Unavailable", "no node is known");
    return response(200, "OK", "ready");
}

std::unique_ptr<net::SessionManager> agentServer(boost::asio::io_context& io, const config::Endpoint& at,
                                                 Ask ask) {
    return serverOf<Agent>(io, at, std::move(ask));
}
std::unique_ptr<net::SessionManager> httpServer(boost::asio::io_context& io, const config::Endpoint& at,
                                                Ask ask) {
    return serverOf<Check>(io, at, std::move(ask));
}

}  // namespace wingproxy::health
