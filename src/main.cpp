// wingproxy: reads its configuration, wires the parts and runs them until SIGTERM.
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>

#include "config/config.h"
#include "http/front.h"
#include "net/discovery.h"
#include "net/peers.h"

namespace {

using namespace wingproxy;
namespace asio = boost::asio;

constexpr std::chrono::milliseconds kKeepAccepting{600};     // new clients still come this long after SIGTERM
constexpr std::chrono::milliseconds kLookEvery{20};
constexpr int kOwnDescriptors = 32;                          // standard streams, listeners, discovery, the loop's own

class Program {
public:
    Program(const config::Config& config, log::Logger& logger)
        : logger_(logger),
          engine_(io_, config, logger),
          pool_(io_, {std::size_t(config.sockets - kOwnDescriptors) * 2 / 5,
                      std::chrono::microseconds(config.connectTimeoutUs),
                      std::chrono::microseconds(config.connIdleUs / 2)}),
          discovery_(engine_, config.discovery),
          peers_(engine_, config),
          front_(engine_, pool_, config.listen, std::size_t(config.sockets - kOwnDescriptors) * 3 / 5),
          signals_(io_, SIGTERM, SIGINT, SIGUSR1),
          closing_(io_) {
        engine_.connect({[this](int to, const std::string& bytes) { peers_.tell(to, bytes); },
                         [this](bool on) { discovery_.watch(on); },
                         [this](const std::string& id, const config::Endpoint& at) {
                             http::probe(engine_, pool_, id, at);
                         }});
        engine_.start();
        awaitSignal();
        logger_.info("started: {} listens on {}:{}", config.name, front_.at().host, front_.at().port);
    }
    void run() {
        io_.run();
        report();
        logger_.info("stopped");
    }

private:
    void awaitSignal() {
        signals_.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error) return;
            if (signal == SIGUSR1) report();
            else if (!leaving_) leave();
            awaitSignal();
        });
    }
    void leave() {
        leaving_ = true;
        logger_.info("stopping: {} requests open", engine_.open());
        front_.drain();
        closing_.expires_after(kKeepAccepting);
        closing_.async_wait([this](const boost::system::error_code&) {
            front_.closeListener();
            lookWhetherDone();
        });
    }
    void lookWhetherDone() {
        if (engine_.open() > 0 || front_.connections() > 0) {
            closing_.expires_after(kLookEvery);
            closing_.async_wait([this](const boost::system::error_code&) { lookWhetherDone(); });
            return;
        }
        engine_.stop();
        discovery_.stop();
        peers_.stop();
        pool_.clear();
        signals_.cancel();
        io_.stop();
    }
    void report() {
        const auto& c = engine_.counters();
        const auto& f = front_.counters();
        const auto& d = discovery_.counters();
        const auto& p = peers_.counters();
        logger_.info("counters requests: taken={} delivered={} refused={} failed={} gone={} overdue={} open={}", c.taken,
                     c.delivered, c.refused, c.failed, c.gone, c.overdue, engine_.open());
        logger_.info(
            "counters attempts: sent={} ok={} error={} full={} timeout={} connect_failed={} reset={} cancelled={} "
            "moot={} late={} batches={}",
            c.attempts, c.outcomes[0], c.outcomes[1], c.outcomes[2], c.outcomes[3], c.outcomes[4], c.outcomes[5],
            c.outcomes[6], c.outcomes[7], c.late, c.batches);
        logger_.info(
            "counters http: connections={} open={} requests={} ok={} refused={} failed={} malformed={} too_large={} "
            "unsupported={} closed_idle={}",
            f.connections, front_.connections(), f.requests, f.status2xx, f.statusRefused, f.status5xx, f.malformed,
            f.tooLarge, f.unsupported, f.closedIdle);
        logger_.info("counters nodes: connections={} opened={} reused={}", pool_.open(), pool_.opened(), pool_.reused());
        logger_.info("counters discovery: calls={} answers={} failed={} malformed={}", d.calls, d.answers, d.failed,
                     d.malformed);
        logger_.info("counters peers: sent={} received={} unsent={} unknown={} oversize={}", p.sent, p.received, p.unsent,
                     p.unknown, p.oversize);
    }

    log::Logger& logger_;
    asio::io_context io_{1};
    net::Engine engine_;
    net::NodePool pool_;
    net::Discovery discovery_;
    net::Peers peers_;
    http::Front front_;
    asio::signal_set signals_;
    asio::steady_timer closing_;
    bool leaving_ = false;
};

}  // namespace

int main() {
    const char* level = std::getenv("WINGPROXY_LOG");
    log::Logger logger(log::levelFrom(level ? level : "info"));
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const char* path = std::getenv("PROXY_CONFIG");
        if (!path) throw config::Bad("PROXY_CONFIG: not set");
        const auto config = config::parseConfig(config::readFile(path));
        Program(config, logger).run();
    } catch (const std::exception& error) {
        logger.error("{}", error.what());
        return 2;
    }
    return 0;
}
