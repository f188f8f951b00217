// Several whole processes of the front on loopback, and the links between them: every datagram from one to
// another passes a relay that can lose, delay, double or cut it, each pair and direction by itself.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <map>
#include <random>

#include "support/process_support.h"

namespace wingproxy::test {

using asio::ip::udp;

// What happens to the datagrams of one direction of one link. Draws come from the relay's seed.
struct Link {
    int lossPercent = 0, doublePercent = 0;
    std::chrono::milliseconds delay{0}, jitter{0};
    bool cut = false;
};

class Relay {
public:
    struct Counters {
        std::uint64_t passed = 0, lost = 0, doubled = 0, largest = 0;
    };
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
    // Where the front `from` finds `to`: what it sends there leaves at the end that `to` knows it by.
    udp::endpoint at(std::size_t from, std::size_t to) const {
        return from == to ? fronts_[from] : ends_.at({from, to})->socket.local_endpoint();
    }
    Link& link(std::size_t from, std::size_t to) { return links_[from][to]; }
    void all(const Link& link) {
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
        std::array<char, 2048> bytes{};
    };
    bool draw(int percent) { return int(random_() % 100) < percent; }
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
        const bool twice = draw(link.doublePercent);
        counters_.doubled += twice;
        for (int i = 0; i <= int(twice); ++i) {
            auto wait = link.delay;
            if (link.jitter.count() > 0)
                wait += std::chrono::milliseconds(random_() % std::uint64_t(link.jitter.count()));
            const auto timer = std::make_shared<asio::steady_timer>(io_, wait);
            timer->async_wait([this, timer, from, to, bytes](const boost::system::error_code& stopped) {
                boost::system::error_code error;
                if (!stopped)
                    ends_.at({to, from})->socket.send_to(asio::buffer(bytes), fronts_[to], 0, error);
                ++counters_.passed;
            });
        }
    }
    asio::io_context& io_;
    std::vector<udp::endpoint> fronts_;
    std::mt19937_64 random_;
    std::vector<std::vector<Link>> links_;
    std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<End>> ends_;
    Counters counters_;
};

// N fronts, one node for cell 0 that answers everything at once, and clients that all ask for one limited
// volume.
struct Fleet {
    static constexpr double kUnits = 2;
    explicit Fleet(std::size_t n, std::uint64_t seed) {
        std::vector<udp::endpoint> at;
        for (std::size_t i = 0; i < n; ++i)
            at.emplace_back(asio::ip::make_address("127.0.0.1"), freePort(rig.io));
        relay = std::make_unique<Relay>(rig.io, at, seed);
        std::string pattern = (std::filesystem::temp_directory_path() / "wingproxy-fleet-XXXXXX").string();
        folder = mkdtemp(pattern.data());
        rig.node().greets = [](Wire& wire) { wire.reply = ok("x"); };
        for (std::size_t i = 0; i < n; ++i) {
            listening.emplace_back(rig.io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            std::filesystem::create_directory(folder / std::to_string(i));
            std::ofstream(folder / std::to_string(i) / "config.json") << config(i, n);
        }
        fronts.resize(n);
    }
    ~Fleet() {
        fronts.clear();
        std::filesystem::remove_all(folder);
    }
    std::string config(std::size_t i, std::size_t n) {
        auto json = config::readFile(std::string(WINGPROXY_SOURCE) + "/tests/support/config.json");
        const auto put = [&](const std::string& from, const std::string& to) {
            const auto at = json.find(from);
            REQUIRE(at != std::string::npos);
            json.replace(at, from.size(), to);
        };
        const auto text = [](const udp::endpoint& e) { return fmt::format("127.0.0.1:{}", e.port()); };
        std::string peers;
        for (std::size_t j = 0; j < n; ++j)
            peers += fmt::format("{}\"{}\"", j ? "," : "", text(relay->at(i, j)));
        put(R"("instances":[])",
            fmt::format(
                R"("instances":[{{"instanceId":"s-0","hostPort":"127.0.0.1:{}","zone":"z","cell":0,"lifecycle":"up","weight":1.0,"startedAtMs":0}}])",
                rig.node().address().port));
        put(R"("peers":[])", fmt::format(R"("peer_listen":"{}","peers":[{}])", text(relay->at(i, i)), peers));
        put(R"("peers":false)", R"("peers":true)");
        put(R"("me":0,"replicasOfMe":1)", fmt::format(R"("me":{},"replicasOfMe":{})", i, n));
        put(R"("name":"n0")", fmt::format(R"("name":"n{}")", i));
        put(R"("127.0.0.1:0")", fmt::format(R"("127.0.0.1:{}")", listening[i].local_endpoint().port()));
        return json;
    }
    Process& start(std::size_t i) {
        fronts[i] = std::make_unique<Process>(folder / std::to_string(i), lives++,
                                              listening[i].native_handle(), freePort(rig.io));
        const auto started = [&] { return fronts[i]->said(fmt::format("n{} listens on", i)); };
        rig.until([&] { return started() || !fronts[i]->running(); }, "a front starts");
        REQUIRE_MESSAGE(started(), config::readFile(fronts[i]->log.string()));
        return *fronts[i];
    }
    // The counters line of the fleet says so; asked again until it does.
    void untilFleetSays(std::size_t i, const std::string& text) {
        rig.until([&] { return says(i, text); }, text.c_str());
    }
    bool says(std::size_t i, const std::string& text) {
        fronts[i]->signal(SIGUSR1);
        return fronts[i]->said(text);
    }
    WirePtr client(std::size_t i) {
        tcp::socket socket(rig.io);
        socket.connect(listening[i].local_endpoint());
        const auto wire = std::make_shared<Wire>(std::move(socket));
        wire->start();
        return wire;
    }
    // One request of the limited volume on a fresh connection; the answer is looked at in settle().
    void ask(std::size_t i) {
        auto text = Ask{.id = fmt::format("{:016x}", ++lastId),
                        .tier = "basico",
                        .volume = "00000000000000aa",
                        .units = kUnits}
                        .text();
        const auto at = text.find("hosts=1");
        text.replace(at, 7, fmt::format("hosts={}", fronts.size()));
        asking.push_back(client(i));
        asking.back()->say(text);
    }
    // Answers that have come are counted; each must be final: 200, or 503 where the limit binds.
    void settle() {
        std::erase_if(asking, [&](const WirePtr& w) {
            if (w->has("HTTP/1.1 200 "))
                ++served;
            else if (w->has("HTTP/1.1 503 "))
                ++refused;
            else if (!w->ended)
                return false;
            else
                ++unanswered;
            return true;
        });
    }
    double units() const {
        return double(served) * kUnits;
    }  // that all fronts together sent and had answered
    // What the limit allows since the fleet was made, burst and slack included.
    double allowed() const {
        const auto& plan = rig.config.settings.plans[0];
        const std::chrono::duration<double> seconds = std::chrono::steady_clock::now() - firstAt;
        return plan.limitBurst + plan.limitSlack + plan.limit * seconds.count();
    }
    Rig rig;
    std::unique_ptr<Relay> relay;
    std::filesystem::path folder;
    std::vector<tcp::acceptor> listening;
    std::vector<std::unique_ptr<Process>> fronts;
    int lives = 0;
    std::uint64_t lastId = 0;
    std::vector<WirePtr> asking;
    std::size_t served = 0, refused = 0, unanswered = 0;
    std::chrono::steady_clock::time_point firstAt = std::chrono::steady_clock::now();
};

}  // namespace wingproxy::test
