// wingproxy: reads its configuration, wires the parts and runs them until SIGTERM.
#include <fmt/format.h>
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>

#include "admin/admin_client.h"
#include "admin/admin_server.h"
#include "cli/command.h"
#include "config/config.h"
#include "config/operator.h"
#include "fleet/restart_recovery.h"
#include "health/health.h"
#include "hot_restart/hot_restart.h"
#include "http/front.h"
#include "net/discovery.h"
#include "net/peers.h"
#include "rsync/front.h"

namespace {

using namespace wingproxy;
namespace asio = boost::asio;

// After SIGTERM the platform sends new clients for 0.4 s, and those who are here go on using their
// connections. SIGKILL comes so long after SIGTERM as the longest deadline, 3 s at the most, and 0.7 s more.
// All of this is the protocol page's, for every customer; the deadlines are the settings'.
constexpr std::chrono::milliseconds kNewClients{300}, kKeepAccepting{600}, kLongest{3'000}, kBeforeKill{700};
// Until then the front serves; so long before it, it takes nothing new, has answered all, and is gone.
constexpr std::chrono::milliseconds kStopServing{450}, kAnswerBy{200}, kGone{120};
// Answers end their connections for this long before idle ones are closed.
constexpr std::chrono::milliseconds kLastRequests{100};
constexpr std::chrono::milliseconds kLookEvery{20};  // while it ends: far below the times above
// "Some milliseconds" late comes what a node answers twice, with every customer (standing test, join days):
// of 54 such answers on seven days the latest came after 4. Twice that, and far below any aim.
constexpr std::chrono::milliseconds kRest{8};
constexpr std::chrono::milliseconds kLookForOther{100};  // far below the 1 s that a call's answer allows
// Standard streams, listeners, checks, discovery; and the operators' calls.
constexpr int kOwnDescriptors = 24 + int(admin::kMostCallers);

// The configured number, or the system's where that is lower.
int descriptors(int configured) {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) return configured;
    return int(std::min<rlim_t>(rlim_t(configured), limit.rlim_cur));
}

// How the descriptors are dealt out: three parts of five to clients; the rsync front's are a quarter of all.
// A quarter of the memory is for the rings of as many connections.
struct Budget {
    Budget(int configured, int memoryMb, bool withRsync) {
        const auto sockets = descriptors(configured);
        const auto all = std::size_t(std::max(10, sockets - kOwnDescriptors));
        rsyncClients = withRsync ? all * 3 / 20 : 0;
        rsyncNodes = withRsync ? all / 10 : 0;
        clients = all * 3 / 5 - rsyncClients;
        nodes = all * 2 / 5 - rsyncNodes;
        ring =
            std::clamp(std::size_t(memoryMb) * 1024 * 1024 / 4 / (2 * all), net::kLeastRing, net::kMostRing);
    }
    std::size_t clients, nodes, rsyncClients, rsyncNodes, ring;
};

class Program {
public:
    Program(std::string path, const config::Config& config, const config::OperatorConfig& extra,
            log::Logger& logger)
        : path_(std::move(path)),
          config_(config),
          logger_(logger),
          shared_(config.inheritedListenerFd >= 0 && std::getenv("TMPDIR")),
          sockets_(config.maxDescriptors),
          budget_(budget(config.maxDescriptors, true, extra.rsync.has_value())),
          engine_(io_, halved(config, shared_), logger),
          pool_(io_, {budget_.nodes, std::chrono::microseconds(config.connectTimeoutUs),
                      std::chrono::microseconds(config.connIdleUs / 2), budget_.ring, kRest}),
          rsyncPool_(io_, {budget_.rsyncNodes, std::chrono::microseconds(config.connectTimeoutUs),
                           std::chrono::microseconds(0), budget_.ring}),
          discovery_(engine_, config.discovery),
          peers_(engine_, config, false),
          front_(engine_, pool_, config.listen, budget_.clients, budget_.ring, config.inheritedListenerFd),
          signals_(io_, SIGTERM, SIGINT, SIGUSR1),
          closing_(io_),
          looking_(io_) {
        signals_.add(SIGHUP);
        engine_.setEffectHandlers({[this](int to, const std::string& bytes) { peers_.send(to, bytes); },
                                   [this](bool on) { discovery_.setWatching(on); },
                                   [this](const std::string& id, const config::Endpoint& at) {
                                       http::probe(engine_, pool_, id, at);
                                   }});
        if (extra.rsync) {
            rsync_ = std::make_unique<rsync::Front>(engine_, rsyncPool_, *extra.rsync, budget_.rsyncClients,
                                                    budget_.ring);
            said("rsync", rsync_->sessionManager().address());
        }
        const auto ask = [this] { return health(); };
        if (extra.health) said("health", (health_ = health::httpServer(io_, *extra.health, ask))->address());
        if (config.adminListen.port != 0) {
            admin_ = std::make_unique<admin::AdminServer>(io_, config.adminListen, adminHandler());
            said("mgmt", admin_->sessionManager().address());
        }
        if (extra.agent) said("agent", (agent_ = health::agentServer(io_, *extra.agent, ask))->address());
        awaitSignal();
        if (shared_) {
            hotRestart_ =
                std::make_unique<hot_restart::HotRestart>(io_, std::getenv("TMPDIR"), config.name, logger);
            hotRestart_->start(
                [this](std::optional<hot_restart::Snapshot> snapshot) { serve(std::move(snapshot)); });
            look();
        }
        if (!hotRestart_ || hotRestart_->role() == hot_restart::HotRestart::Role::First) serve({});
    }
    void run() {
        io_.run();
        report();
        logger_.info("stopped: {} requests taken since SIGTERM", engine_.counters().taken - takenBefore_);
    }

private:
    void said(std::string_view what, const config::Endpoint& at) {
        logger_.info("started: {} listens on {}:{}", what, at.host, at.port);
    }
    health::Report health() {
        return {engine_.nodeCount() > 0, leaving_,
                double(front_.sessionManager().connections()) / double(front_.sessionManager().capacity())};
    }
    // Two processes of one front share its limits for as long as both live.
    static config::Config halved(config::Config config, bool shared) {
        if (shared) config.memoryMb /= 2;
        return config;
    }
    Budget budget(int sockets, bool two, bool withRsync) const {
        return Budget(shared_ && two ? sockets / 2 : sockets, halved(config_, shared_).memoryMb, withRsync);
    }
    void allow() {
        front_.sessionManager().setCapacity(budget_.clients);
        pool_.setCapacity(budget_.nodes);
        if (rsync_) rsync_->sessionManager().setCapacity(budget_.rsyncClients);
        rsyncPool_.setCapacity(budget_.rsyncNodes);
    }
    // The right to serve is this process's, at the start or from another one.
    void serve(std::optional<hot_restart::Snapshot> snapshot) {
        if (snapshot) {
            const auto until = snapshot->takenAt + longestDeadline();
            front_.setRequestsOpenElsewhere(snapshot->openRequestIds, until);
            if (!engine_.restore(std::move(snapshot->engine)))
                logger_.warn(
                    "hot restart: the snapshot's policy state is of other settings; the policy starts as "
                    "after a "
                    "crash");
        }
        if (hotRestart_) engine_.applyOverrides(hotRestart_->exchangeOverrides(engine_.overrides()));
        peers_.open();
        engine_.start();
        if (snapshot)
            logger_.info(
                "hot restart: taken over after {} us, {} nodes, {} requests in flight in the old process",
                engine_.now() - snapshot->takenAt, engine_.nodeCount(), snapshot->openRequestIds.size());
        if (config_.inheritedListenerFd >= 0) front_.sessionManager().open();
        said(config_.name, front_.sessionManager().address());
    }
    void giveUpService() {
        front_.sessionManager().releaseListener();
        front_.startDraining();  // clients go to the successor with their next request
        peers_.stop();
        auto ids = front_.openRequestIds();
        hotRestart_->transfer({config_.name, engine_.now(), engine_.takeSnapshot(), std::move(ids)});
        logger_.info("hot restart: service transferred to the successor");
    }
    // Whether another process shares the limits; while one does, operators' overrides pass both ways.
    void look() {
        const bool two = hotRestart_->anotherProcessRuns();
        if (two != two_) {
            two_ = two;
            budget_ = budget(sockets_, two, rsync_ != nullptr);
            allow();
            logger_.info("hot restart: {}",
                         two ? "two processes share the limits" : "this process has all of the limits");
        }
        if (two) engine_.applyOverrides(hotRestart_->exchangeOverrides(engine_.overrides()));
        looking_.expires_after(kLookForOther);
        looking_.async_wait([this](const boost::system::error_code& stopped) {
            if (!stopped) look();
        });
    }
    Micros longestDeadline() const {
        Micros longest = 0;
        for (const auto& c : config_.settings.classes)
            longest = std::max(longest, c.deadlineUs);
        return longest;
    }
    admin::AdminHandler adminHandler() {
        return {[this] { return !leaving_; },
                [this] {
                    admin::AdminMetrics metrics{{},
                                                engine_.counters(),
                                                engine_.openRequests(),
                                                engine_.nodeCount(),
                                                engine_.avoidedNodes()};
                    for (const auto& c : engine_.settings().classes)
                        metrics.classes.push_back(c.name);
                    return metrics;
                },
                [this](const std::string& node, bool out) {
                    if (hotRestart_)
                        engine_.applyOverrides(hotRestart_->exchangeOverrides(engine_.overrides()));
                    const bool known = engine_.setAdminDrain(node, out);
                    if (hotRestart_) hotRestart_->exchangeOverrides(engine_.overrides());
                    logger_.info("by hand: {} {}{}", out ? "detach" : "attach", node,
                                 known ? "" : ", which was never listed");
                    return known;
                }};
    }
    void awaitSignal() {
        signals_.async_wait([this](const boost::system::error_code& error, int signal) {
            if (error) return;
            if (signal == SIGUSR1)
                report();
            else if (signal == SIGHUP)
                reload();
            else if (!leaving_)
                leave();
            awaitSignal();
        });
    }
    // The file is read and checked whole before any of it is used. Requests that are open notice nothing.
    void reload() {
        try {
            auto fresh = config::parseConfig(config::readFile(path_));
            discovery_.moveTo(fresh.discovery);
            peers_.setPeers(fresh);
            sockets_ = fresh.maxDescriptors;
            budget_ = budget(sockets_, two_, rsync_ != nullptr);
            allow();
            const auto late = config::fieldsNeedingRestart(config_, fresh);
            ++reloads_;
            logger_.info("reloaded: discovery at {}:{}, {} peers, {} descriptors{}{}", fresh.discovery.host,
                         fresh.discovery.port, fresh.peers.size(), fresh.maxDescriptors,
                         late.empty() ? "" : "; only a restart changes ", late);
        } catch (const std::exception& error) {
            ++badReloads_;
            logger_.error("reload: {}; the old values stay", error.what());
        }
    }
    void leave() {
        leaving_ = true;
        leavingSince_ = std::chrono::steady_clock::now();
        kill_ = std::min<std::chrono::microseconds>(std::chrono::microseconds(longestDeadline()), kLongest) +
                kBeforeKill;
        takenBefore_ = engine_.counters().taken;
        logger_.info("stopping: {} requests open", engine_.openRequests());
        if (hotRestart_ && hotRestart_->role() == hot_restart::HotRestart::Role::Successor) return end();
        if (hotRestart_ && hotRestart_->successorWaits())
            giveUpService();
        else
            engine_.shutdownStarted(engine_.now() + (kill_ - kStopServing).count());
        front_.setResponseDeadline(engine_.now() + (kill_ - kAnswerBy).count());
        serveOn();
    }
    void after(std::chrono::milliseconds delay, void (Program::*next)()) {
        closing_.expires_after(delay);
        closing_.async_wait([this, next](const boost::system::error_code&) { (this->*next)(); });
    }
    void serveOn() {
        const auto since = std::chrono::steady_clock::now() - leavingSince_;
        const bool given = hotRestart_ && hotRestart_->role() == hot_restart::HotRestart::Role::Transferred;
        if (since >= kNewClients && !given) front_.expectNoNewConnections();
        const bool alone = front_.sessionManager().connections() == 0;
        if ((since < kKeepAccepting && !given) || (!alone && since < kill_ - kStopServing)) {
            return after(kLookEvery, &Program::serveOn);
        }
        front_.startDraining();
        front_.sessionManager().closeListener();
        if (rsync_) rsync_->sessionManager().closeListener();
        after(kLastRequests, &Program::lookWhetherDone);
    }
    // All that was taken is answered first; a connection that only began to ask holds nothing up for long.
    void lookWhetherDone() {
        front_.sessionManager().closeIdleGracefully();
        if (rsync_) rsync_->sessionManager().closeIdleGracefully();
        const auto connections =
            front_.sessionManager().sessionCount() + (rsync_ ? rsync_->sessionManager().sessionCount() : 0);
        const auto since = std::chrono::steady_clock::now() - leavingSince_;
        if (engine_.openRequests() > 0 || (connections > 0 && since < kill_ - kGone)) {
            return after(kLookEvery, &Program::lookWhetherDone);
        }
        end();
    }
    void end() {
        engine_.stop();
        if (hotRestart_) hotRestart_->stop();
        looking_.cancel();
        front_.sessionManager().stop();
        if (rsync_) rsync_->sessionManager().stop();
        discovery_.stop();
        peers_.stop();
        pool_.clear();
        rsyncPool_.clear();
        signals_.cancel();
        io_.stop();
    }
    void report() {
        const auto& c = engine_.counters();
        const auto answers = c.all();
        const auto& f = front_.counters();
        const auto& d = discovery_.counters();
        const auto& p = peers_.counters();
        logger_.info(
            "counters requests: taken={} delivered={} refused={} failed={} disconnected={} overdue={} "
            "open={} "
            "withdrawn={} "
            "too_late={}",
            c.taken, answers.delivered, answers.refused, answers.failed, c.disconnected, c.overdue,
            engine_.openRequests(), c.withdrawn, c.tooLate);
        logger_.info(
            "counters attempts: sent={} written={} ok={} error={} full={} timeout={} connect_failed={} "
            "reset={} "
            "cancelled={} "
            "moot={} late={} batches={}",
            c.attempts, c.written, c.outcomes[0], c.outcomes[1], c.outcomes[2], c.outcomes[3], c.outcomes[4],
            c.outcomes[5], c.outcomes[6], c.outcomes[7], c.late, c.batches);
        const auto& sessionManager = front_.sessionManager();
        logger_.info(
            "counters http: connections={} open={} requests={} ok={} refused={} failed={} malformed={} "
            "too_large={} "
            "unsupported={} closed_idle={} "
            "silent={} slow={} unread={} repeated={} no_memory={} crowded={} pipelined={} hung_up={}",
            sessionManager.accepted(), sessionManager.connections(), f.requests, f.ok, f.refused, f.failed,
            f.malformed, f.tooLarge, f.unsupported, sessionManager.closedIdle(), f.silent, f.slow, f.unread,
            f.repeated, f.noMemory, f.crowded, f.pipelined, sessionManager.detectHangUp());
        if (rsync_) {
            const auto& r = rsync_->counters();
            logger_.info(
                "counters rsync: connections={} open={} transfers={} completed={} refused={} failed={} "
                "disconnected={} "
                "malformed={} listings={}",
                rsync_->sessionManager().accepted(), rsync_->sessionManager().connections(), r.transfers,
                r.completed, r.refused, r.failed, r.disconnected, r.malformed, r.listings);
        }
        logger_.info("counters nodes: connections={} opened={} reused={}", pool_.open(), pool_.opened(),
                     pool_.reused());
        logger_.info("counters discovery: calls={} answers={} failed={} malformed={}", d.calls, d.answers,
                     d.failed, d.malformed);
        logger_.info("counters tables: entries={} nodes={} avoided={} out_by_hand={}", engine_.tableEntries(),
                     engine_.nodeCount(), engine_.avoidedNodes(), engine_.adminDrainedNodes());
        if (admin_) {
            const auto& o = admin_->counters();
            logger_.info("counters admin: connections={} open={} yes={} no={} malformed={} hung={}",
                         admin_->sessionManager().accepted(), admin_->sessionManager().connections(), o.yes,
                         o.no, o.malformed, o.hung);
        }
        if (hotRestart_) {
            const auto& h = hotRestart_->counters();
            logger_.info(
                "counters hot_restart: restored={} transferred={} rejected={} overrides_read={} "
                "write_failures={}",
                h.restored, h.transferred, h.rejected, h.overridesRead, h.writeFailures);
        }
        const auto& a = engine_.recovery();
        constexpr const char* kBy[] = {"nothing", "shutdown_notice", "everyone", "lease"};
        logger_.info(
            "counters fleet: clear_by={} lends={} lives={} shutdown_notices={} stale={} malformed={}",
            a.isRecovered(engine_.now()) ? kBy[int(a.recoveryCause())] : "nothing", a.mayLend(engine_.now()),
            a.counters().newIncarnations, a.counters().storedNotices, a.counters().stale,
            a.counters().malformed);
        logger_.info("counters reloads: done={} bad={}", reloads_, badReloads_);
        logger_.info("counters peers: sent={} received={} unsent={} unknown={} oversize={}", p.sent,
                     p.received, p.unsent, p.unknown, p.oversize);
    }

    std::string path_;
    config::Config config_;  // as at the start
    log::Logger& logger_;
    bool shared_;      // with another process of this front, for a time: limits and $TMPDIR
    bool two_ = true;  // both live
    int sockets_;
    Budget budget_;
    asio::io_context io_{1};
    net::Engine engine_;
    net::NodePool pool_, rsyncPool_;
    net::Discovery discovery_;
    net::Peers peers_;
    http::Front front_;
    std::unique_ptr<rsync::Front> rsync_;  // these three only where the operator's file has them
    std::unique_ptr<net::SessionManager> health_, agent_;
    std::unique_ptr<hot_restart::HotRestart> hotRestart_;  // where the platform holds the listening socket
    std::unique_ptr<admin::AdminServer> admin_;            // where the configuration has mgmt
    asio::signal_set signals_;
    asio::steady_timer closing_, looking_;
    bool leaving_ = false;
    std::chrono::steady_clock::time_point leavingSince_;
    std::chrono::microseconds kill_{0};  // after leavingSince_, at the earliest
    std::uint64_t reloads_ = 0, badReloads_ = 0, takenBefore_ = 0;
};

}  // namespace

namespace {

struct Files {
    config::Config config;
    config::OperatorConfig extra;
};

const char* set(const std::string& text) { return text.empty() ? nullptr : text.c_str(); }

config::Config readConfig(const cli::Files& files) {
    if (files.config.empty()) throw config::ConfigError("PROXY_CONFIG: not set, and no --config");
    auto config = config::parseConfig(config::readFile(files.config));
    config::applyEnvironment(config, set(files.adminListen), set(files.descriptor));
    return config;
}

Files readFiles(const cli::Files& files) {
    Files read{readConfig(files), {}};
    if (!files.operators.empty())
        read.extra = config::parseOperatorConfig(config::readFile(files.operators), read.config.settings);
    return read;
}

// Where the front is asked: what --mgmt or the environment says needs no configuration beside it.
config::Endpoint deskOf(const cli::Files& files) {
    if (!files.adminListen.empty()) return config::parseEndpoint(files.adminListen, "mgmt");
    const auto at = readConfig(files).adminListen;
    if (at.port == 0) throw config::ConfigError("mgmt: neither in the configuration nor told by --mgmt");
    return at;
}

int run(const cli::RunCommand& command, log::Logger& logger) {
    const auto read = readFiles(command.files);
    Program(command.files.config, read.config, read.extra, logger).run();
    return cli::kExitOk;
}

int run(const cli::CheckCommand& command, log::Logger&) {
    const auto read = readFiles(command.files);
    fmt::print("good: {} at {}:{}, {} peers, {} known nodes{}\n", read.config.name, read.config.listen.host,
               read.config.listen.port, read.config.peers.size(),
               read.config.cachedEndpoints.list.nodes.size(),
               command.files.operators.empty() ? ", no operator's file" : "");
    return cli::kExitOk;
}

int run(const cli::AdminCommand& command, log::Logger& logger) {
    const auto at = deskOf(command.files);
    const auto asked = admin::sendAdminRequest(at, command.call);
    if (!asked.reply) {
        logger.error("no front answers at {}:{}: {}", at.host, at.port, asked.why);
        return cli::kExitUnreachable;
    }
    const bool yes = asked.reply->status / 100 == 2;
    fmt::print(yes ? stdout : stderr, "{}", asked.reply->body);
    return yes ? cli::kExitOk : cli::kExitDenied;
}

int run(const cli::ExitCommand& command, log::Logger&) { return command.code; }

}  // namespace

int main(int argc, char** argv) {
    const auto command = cli::parse(argc, argv);
    const auto level = std::visit(
        [](const auto& c) {
            if constexpr (requires { c.files; })
                return c.files.logLevel;
            else
                return std::string();
        },
        command);
    log::Logger logger(log::levelFrom(level.empty() ? "info" : level));
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return std::visit([&](const auto& c) { return run(c, logger); }, command);
    } catch (const std::exception& error) {
        logger.error("{}", error.what());
        return cli::kExitUsage;
    }
}
