/// \file
/// The fake surroundings of a fleet in a soak: nodes, a fault-injecting proxy in front of each, and
/// discovery. All of them run on the event loop of the test.
#pragma once

#include <functional>
#include <map>

#include "soak/observations.h"
#include "support/net_support.h"

namespace wingproxy::soak {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A complete HTTP message from a buffer.
struct HttpMessage {
    std::string head;
    std::string body;
    std::size_t length = 0;  ///< bytes of head and body

    /// The first message in `bytes`, if it is complete.
    static std::optional<HttpMessage> in(const std::string& bytes) {
        const auto end = bytes.find("\r\n\r\n");
        if (end == std::string::npos) return std::nullopt;
        HttpMessage message{bytes.substr(0, end + 4), "", end + 4};
        const std::string length = message.field("Content-Length");
        if (!length.empty()) message.length += std::stoul(length);
        if (bytes.size() < message.length) return std::nullopt;
        message.body = bytes.substr(end + 4, message.length - end - 4);
        return message;
    }
    /// The value of a header field, or an empty text. Names are compared case-sensitively.
    [[nodiscard]] std::string field(const std::string& name) const {
        const auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) return "";
        const auto begin = at + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }
    /// The number after `name=` in the request line; 0 if there is none.
    [[nodiscard]] std::int64_t queryNumber(const std::string& name) const {
        const auto at = head.find(name + "=");
        return at == std::string::npos ? 0 : std::stoll(head.substr(at + name.size() + 1));
    }
};

/// Forwards connections to a server, and delays, holds back or resets them as the test says.
class FaultProxy {
public:
    /// Whether bytes are forwarded, or held back until the mode is `Pass` again.
    enum class Mode { Pass, Silent };

    FaultProxy(asio::io_context& io, const tcp::endpoint& target)
        : io_(io), target_(target), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
        accept();
    }
    void setMode(Mode mode) {
        mode_ = mode;
        if (mode == Mode::Silent) return;
        for (auto& link : links_)
            for (std::size_t side = 0; side < 2; ++side)
                if (!link->held[side].empty())
                    send(*link->ends[1 - side], std::exchange(link->held[side], {}));
    }
    /// Sets how long each chunk of bytes is delayed.
    void setDelay(milliseconds delay) { delay_ = delay; }
    /// Resets all connections.
    void resetAll() {
        for (auto& link : links_)
            close(*link, true);
        links_.clear();
    }
    [[nodiscard]] tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

private:
    struct Link {
        std::array<std::shared_ptr<tcp::socket>, 2> ends;  // to the front, to the node
        std::array<std::array<char, 8192>, 2> chunks{};
        std::array<std::string, 2> held;
        bool closed = false;
    };
    void accept() {
        acceptor_.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) return;
            auto link = std::make_shared<Link>();
            link->ends = {std::make_shared<tcp::socket>(std::move(socket)),
                          std::make_shared<tcp::socket>(io_)};
            boost::system::error_code failed;
            link->ends[1]->connect(target_, failed);
            if (failed) {
                close(*link, true);
            } else {
                links_.push_back(link);
                read(link, 0);
                read(link, 1);
            }
            std::erase_if(links_, [](const auto& each) { return each->closed; });
            accept();
        });
    }
    void read(const std::shared_ptr<Link>& link, std::size_t side) {
        link->ends[side]->async_read_some(
            asio::buffer(link->chunks[side]),
            [this, link, side](const boost::system::error_code& error, std::size_t count) {
                if (link->closed) return;
                if (error) return close(*link, error != asio::error::eof);
                forward(link, side, std::string(link->chunks[side].data(), count));
                read(link, side);
            });
    }
    void forward(const std::shared_ptr<Link>& link, std::size_t side, std::string bytes) {
        if (mode_ == Mode::Silent) {
            link->held[side] += bytes;
        } else if (delay_.count() == 0) {
            send(*link->ends[1 - side], bytes);
        } else {
            const auto timer = std::make_shared<asio::steady_timer>(io_, delay_);
            timer->async_wait([timer, link, side, bytes = std::move(bytes)](const auto& stopped) {
                if (!stopped && !link->closed) send(*link->ends[1 - side], bytes);
            });
        }
    }
    static void send(tcp::socket& to, const std::string& bytes) {
        boost::system::error_code ignored;
        asio::write(to, asio::buffer(bytes), ignored);
    }
    static void close(Link& link, bool reset) {
        link.closed = true;
        for (auto& end : link.ends) {
            boost::system::error_code ignored;
            if (reset) end->set_option(asio::socket_base::linger(true, 0), ignored);
            end->close(ignored);
        }
    }

    asio::io_context& io_;
    tcp::endpoint target_;
    tcp::acceptor acceptor_;
    Mode mode_ = Mode::Pass;
    milliseconds delay_{0};
    std::vector<std::shared_ptr<Link>> links_;
};

/// A node that serves requests one after another and answers each with its id.
class FakeNode {
public:
    /// What the node does with requests.
    enum class Behaviour { Serve, Hang, Decline, Fail, ResetUnderRequests };

    /// \param dropsAbandoned whether queued requests are dropped when their connection is closed
    FakeNode(asio::io_context& io, Observations& observations, ObservedNode observed,
             const Settings& settings, bool dropsAbandoned)
        : observations_(observations),
          observed_(std::move(observed)),
          settings_(settingsOfNode(settings, observed_.capacityFactor)),
          dropsAbandoned_(dropsAbandoned),
          server_(io) {}
    /// Handles what was received; to be called in each iteration of the loop.
    void poll() {
        for (const auto& connection : server_.connections)
            while (const auto message = HttpMessage::in(connection->received)) {
                connection->received.erase(0, message->length);
                handle(connection, *message);
            }
        work();
        std::erase_if(server_.connections, [](const auto& connection) { return connection->ended; });
    }
    /// The process crashes and a new one replaces it at once, in slow start and without open connections.
    void restart(std::int64_t startVersion) {
        observations_.nodeEnded(observed_);
        for (const auto& connection : server_.connections)
            connection->reset();
        server_.connections.clear();
        waiting_.clear();
        ObservedNode fresh;
        fresh.id = observed_.id;
        fresh.startedAt = Clock::now();
        fresh.isStarting = true;
        fresh.startVersion = startVersion;
        fresh.linkDisturbedUntil = observed_.linkDisturbedUntil;
        fresh.capacityFactor = observed_.capacityFactor;
        observed_ = std::move(fresh);
    }
    void setBehaviour(Behaviour behaviour) { behaviour_ = behaviour; }
    [[nodiscard]] ObservedNode& observed() { return observed_; }
    [[nodiscard]] tcp::endpoint endpoint() const { return server_.acceptor.local_endpoint(); }
    /// The time that a request of this size takes at the present speed.
    [[nodiscard]] Clock::duration timeFor(double units) const {
        const std::chrono::duration<double> seconds(units / unitsPerSecond());
        return std::chrono::duration_cast<Clock::duration>(seconds);
    }
    /// The present speed, which depends on the age and the capacity of the node.
    [[nodiscard]] double unitsPerSecond() const {
        const auto age =
            std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - observed_.startedAt);
        const Micros warm = settings_.slowStartDurationUs;
        const double budget = slowStartBudget(settings_, observed_.isStarting ? age.count() : warm);
        return budget / settings_.slowStartOverloadFactor * 1e6 / double(settings_.slowStartWindowUs);
    }

private:
    void handle(const test::TestConnectionPtr& connection, const HttpMessage& message) {
        const std::string id = message.field("Req-Id");
        if (id.empty()) return connection->send(test::status(404));  // a health check
        observations_.attemptArrived(observed_, id,
                                     milliseconds(std::stoll("0" + message.field("Req-Deadline-Ms"))));
        switch (behaviour_) {
            case Behaviour::Serve:
                if (waiting_.empty()) startNext(Clock::now(), observations_.unitsOf(id));
                waiting_.push_back({connection, id});
                return;
            case Behaviour::Hang:
                return;
            case Behaviour::Decline:
                return connection->send(test::status(503, "Srv-Declined: 1\r\n"));
            case Behaviour::Fail:
                return connection->send(test::status(500));
            case Behaviour::ResetUnderRequests:
                connection->reset();
                connection->ended = true;
                return;
        }
    }
    // The first request of the queue is being served.
    void work() {
        while (!waiting_.empty() && Clock::now() >= firstCompletesAt_) {
            if (!waiting_.front().connection->ended)
                waiting_.front().connection->send(test::ok(waiting_.front().id));
            waiting_.pop_front();
            while (dropsAbandoned_ && !waiting_.empty() && waiting_.front().connection->ended)
                waiting_.pop_front();
            if (!waiting_.empty()) startNext(firstCompletesAt_, observations_.unitsOf(waiting_.front().id));
        }
    }
    void startNext(Clock::time_point at, double units) { firstCompletesAt_ = at + timeFor(units); }

    struct Work {
        test::TestConnectionPtr connection;
        std::string id;
    };
    Observations& observations_;
    ObservedNode observed_;
    Settings settings_;
    bool dropsAbandoned_;
    Behaviour behaviour_ = Behaviour::Serve;
    test::StubServer server_;
    Clock::time_point firstCompletesAt_{};
    std::deque<Work> waiting_;
};

/// The discovery service of one front: answers polls with the complete list, and watches once it has changed.
class FakeDiscovery {
public:
    FakeDiscovery(asio::io_context& io, Observations& observations, std::size_t front)
        : observations_(observations), front_(front), server_(io) {}
    /// Sets the list that is sent from now on.
    void setList(std::int64_t version, std::string instances) {
        version_ = version;
        instances_ = std::move(instances);
    }
    /// While the service is down it resets all connections.
    void setDown(bool down) { isDown_ = down; }
    /// Handles what was received; to be called in each iteration of the loop.
    void poll() {
        for (const auto& connection : server_.connections) {
            if (isDown_) {
                connection->reset();
                connection->ended = true;
                continue;
            }
            const auto message = HttpMessage::in(connection->received);
            if (!message) continue;
            auto [watch, isNew] = watches_.try_emplace(connection.get(), Clock::now());
            const bool isOver = Clock::now() >= watch->second + milliseconds(message->queryNumber("wait_ms"));
            const bool isWatch = message->head.find("after=") != std::string::npos;
            if (isWatch && message->queryNumber("after") >= version_ && !isOver) continue;
            watches_.erase(watch);
            connection->received.erase(0, message->length);
            connection->send(test::ok(
                fmt::format(R"({{"generation":{},"reset":true,"instances":[{}]}})", version_, instances_)));
            observations_.listSent(front_, version_);
        }
        std::erase_if(server_.connections, [this](const auto& connection) {
            if (connection->ended) watches_.erase(connection.get());
            return connection->ended;
        });
    }
    [[nodiscard]] config::Endpoint address() const { return server_.address(); }

private:
    Observations& observations_;
    std::size_t front_;
    test::StubServer server_;
    std::int64_t version_ = 0;
    std::string instances_;
    bool isDown_ = false;
    std::map<test::TestConnection*, Clock::time_point> watches_;  // when each request was first seen
};

}  // namespace wingproxy::soak
