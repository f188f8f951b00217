/// \file
/// Several fronts as real processes on loopback, and the network between them: every datagram between two
/// fronts passes through a relay that can lose, delay or duplicate it, separately for each pair and
/// direction.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <map>
#include <random>

#include "support/process_support.h"

namespace wingproxy::test {

using asio::ip::udp;

/// The properties of one direction of the link between two fronts.
struct Link {
    int lossPercent = 0;
    int duplicatePercent = 0;
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds jitter{0};  ///< upper limit of a random time that is added to the delay
    bool cut = false;                     ///< all datagrams are lost
};

/// Relays datagrams between fronts. Its random numbers are drawn from its seed.
class Relay {
public:
    /// Counts of the datagrams so far.
    struct Counters {
        std::uint64_t passed = 0;  ///< relayed, including duplicates
        std::uint64_t lost = 0;
        std::uint64_t duplicated = 0;
        std::uint64_t largest = 0;  ///< size in bytes of the largest datagram
    };
    /// \param fronts the addresses at which the fronts receive datagrams
    Relay(asio::io_context& io, std::vector<udp::endpoint> fronts, std::uint64_t seed)
        : io_(io),
          fronts_(std::move(fronts)),
          random_(seed),
          links_(fronts_.size(), std::vector<Link>(fronts_.size())) {
        for (std::size_t from = 0; from < fronts_.size(); ++from)
            for (std::size_t to = 0; to < fronts_.size(); ++to) {
                if (from == to) continue;
                auto& end = ends_[{from, to}];
                end = std::make_unique<End>(io_);
                receive(*end, from, to);
            }
    }
    /// The address to which front `from` sends its datagrams for `to`. They arrive from addressOf(to, from),
    /// by which `to` knows the sender.
    udp::endpoint addressOf(std::size_t from, std::size_t to) const {
        return from == to ? fronts_[from] : ends_.at({from, to})->socket.local_endpoint();
    }
    Link& link(std::size_t from, std::size_t to) { return links_[from][to]; }
    /// Sets the properties of both directions of every link.
    void setAllLinks(const Link& link) {
        for (auto& row : links_)
            std::fill(row.begin(), row.end(), link);
    }
    const Counters& counters() const { return counters_; }

private:
    struct End {
        explicit End(asio::io_context& io)
            : socket(io, udp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
            socket.non_blocking(true);
        }
        udp::socket socket;
        udp::endpoint sender;
        std::array<char, 2048> bytes{};  // larger than any datagram of a front
    };
    bool draw(int percent) { return static_cast<int>(random_() % 100) < percent; }
    void receive(End& end, std::size_t from, std::size_t to) {
        end.socket.async_receive_from(
            asio::buffer(end.bytes), end.sender,
            [this, &end, from, to](const boost::system::error_code& error, std::size_t n) {
                if (error == asio::error::operation_aborted) return;
                if (!error && end.sender == fronts_[from]) pass(from, to, std::string(end.bytes.data(), n));
                receive(end, from, to);
            });
    }
    void pass(std::size_t from, std::size_t to, const std::string& bytes) {
        const auto& link = links_[from][to];
        counters_.largest = std::max<std::uint64_t>(counters_.largest, bytes.size());
        if (link.cut || draw(link.lossPercent)) {
            ++counters_.lost;
            return;
        }
        const bool duplicated = draw(link.duplicatePercent);
        sendDelayed(from, to, bytes);
        if (!duplicated) return;
        ++counters_.duplicated;
        sendDelayed(from, to, bytes);
    }
    void sendDelayed(std::size_t from, std::size_t to, const std::string& bytes) {
        const auto& link = links_[from][to];
        auto wait = link.delay;
        if (link.jitter.count() > 0)
            wait += std::chrono::milliseconds(random_() % static_cast<std::uint64_t>(link.jitter.count()));
        const auto timer = std::make_shared<asio::steady_timer>(io_, wait);
        timer->async_wait([this, timer, from, to, bytes](const boost::system::error_code& stopped) {
            boost::system::error_code ignored;
            if (!stopped) ends_.at({to, from})->socket.send_to(asio::buffer(bytes), fronts_[to], 0, ignored);
            ++counters_.passed;
        });
    }

    asio::io_context& io_;
    std::vector<udp::endpoint> fronts_;
    std::mt19937_64 random_;
    std::vector<std::vector<Link>> links_;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<End>> ends_;
    Counters counters_;
};

/// Some fronts, one node for cell 0 that answers every request at once, and clients that all send requests
/// for one volume with a rate limit.
struct Fleet {
    static constexpr double kUnits = 2;  ///< units of each request
    explicit Fleet(std::size_t frontCount, std::uint64_t seed) {
        const auto loopback = asio::ip::make_address("127.0.0.1");
        std::vector<udp::endpoint> addresses;
        for (std::size_t i = 0; i < frontCount; ++i)
            addresses.emplace_back(loopback, freePort(fixture.io));
        relay = std::make_unique<Relay>(fixture.io, addresses, seed);
        fixture.node().onConnection = [](TestConnection& connection) { connection.autoResponse = ok("x"); };
        for (std::size_t i = 0; i < frontCount; ++i) {
            listening.emplace_back(fixture.io, tcp::endpoint(loopback, 0));
            folders.emplace_back().write(kConfigFile, config(i, frontCount));
        }
        fronts.resize(frontCount);
    }
    /// The configuration of one front, which reaches the others through the relay.
    std::string config(std::size_t i, std::size_t frontCount) {
        const auto peerAddress = [&](std::size_t peer) {
            return fmt::format("127.0.0.1:{}", relay->addressOf(i, peer).port());
        };
        std::string peers;
        for (std::size_t peer = 0; peer < frontCount; ++peer)
            peers += fmt::format("{}\"{}\"", peer > 0 ? "," : "", peerAddress(peer));
        auto json = withKnownNode(testConfigText(), fixture.node().address());
        json = replaced(json, R"("peers":[])",
                        fmt::format(R"("peer_listen":"{}","peers":[{}])", peerAddress(i), peers));
        json = replaced(json, R"("peers":false)", R"("peers":true)");
        json = replaced(json, R"("me":0,"replicasOfMe":1)",
                        fmt::format(R"("me":{},"replicasOfMe":{})", i, frontCount));
        json = replaced(json, R"("name":"n0")", fmt::format(R"("name":"n{}")", i));
        return withClientPort(json, listening[i].local_endpoint().port());
    }
    /// Starts a process of one front and waits until it accepts clients.
    Process& start(std::size_t i) {
        fronts[i] = std::make_unique<Process>(folders[i], startCount++, listening[i].native_handle(),
                                              freePort(fixture.io));
        const auto started = [&] { return fronts[i]->hasLogged(fmt::format("n{} listens on", i)); };
        fixture.waitUntil([&] { return started() || !fronts[i]->running(); }, "a front accepts clients");
        REQUIRE_MESSAGE(started(), fronts[i]->readLog());
        return *fronts[i];
    }
    /// Makes a front log its counters repeatedly until its log contains the text.
    void waitUntilCountersShow(std::size_t i, const std::string& text) {
        fixture.waitUntil([&] { return countersShow(i, text); }, text.c_str());
    }
    /// Makes a front log its counters once; whether its log contains the text by now.
    bool countersShow(std::size_t i, const std::string& text) {
        fronts[i]->signal(SIGUSR1);
        return fronts[i]->hasLogged(text);
    }
    TestConnectionPtr client(std::size_t i) { return connectTo(fixture.io, listening[i].local_endpoint()); }
    /// Sends one request for the limited volume on a new connection; collectResponses() counts its answer.
    void sendRequest(std::size_t i) {
        const PlatformRequest request{.id = fmt::format("{:016x}", ++lastId),
                                      .tier = "basico",
                                      .volume = "00000000000000aa",
                                      .units = kUnits};
        pendingConnections.push_back(client(i));
        pendingConnections.back()->send(
            replaced(request.text(), "hosts=1", fmt::format("hosts={}", fronts.size())));
    }
    /// Counts the responses received so far: 200 as served, 503, by which the limit rejects, as rejected. A
    /// connection that closed without either counts as unanswered.
    void collectResponses() {
        std::erase_if(pendingConnections, [&](const TestConnectionPtr& connection) {
            if (connection->hasReceived("HTTP/1.1 200 "))
                ++served;
            else if (connection->hasReceived("HTTP/1.1 503 "))
                ++rejected;
            else if (!connection->ended)
                return false;
            else
                ++unanswered;
            return true;
        });
    }
    /// Units of the requests that all fronts together served.
    double servedUnits() const { return static_cast<double>(served) * kUnits; }
    /// Units that the limit allows since the fleet was created, burst and slack included.
    double allowedUnits() const {
        const auto& plan = fixture.config.settings.plans[0];
        const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - startedAt;
        return plan.limitBurst + plan.limitSlack + plan.limit * seconds.count();
    }

    GatewayFixture fixture;
    std::unique_ptr<Relay> relay;
    std::deque<TemporaryFolder> folders;  // by front, like the two members below; must outlive the processes
    std::vector<tcp::acceptor> listening;
    std::vector<std::unique_ptr<Process>> fronts;
    int startCount = 0;
    std::uint64_t lastId = 0;
    std::vector<TestConnectionPtr>
        pendingConnections;  ///< each with a request that collectResponses() has not counted yet
    std::size_t served = 0;
    std::size_t rejected = 0;
    std::size_t unanswered = 0;
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
};

}  // namespace wingproxy::test
