#include "app/proxy.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace wingproxy::app {
namespace {

using hot_restart::HotRestart;

/// For so long after a response a connection to a node carries no other request, so that a duplicate of that
/// response is not taken for the next one's. Standing test, release days: of 54 duplicates on seven days the
/// latest came after 4 ms. This is twice that, and far below any latency objective.
constexpr std::chrono::milliseconds kConnectionCoolDown{8};
/// How often a process looks for another one of its gateway: far below the 1 s within which an admin request
/// is answered.
constexpr std::chrono::milliseconds kOtherProcessInterval{100};

/// The folder that the processes of a gateway share; null where the platform names none.
const char* sharedFolder() { return std::getenv("TMPDIR"); }

bool canHotRestart(const config::Config& config) {
    return config.inheritedListenerFd >= 0 && sharedFolder() != nullptr;
}

/// Two processes of a gateway share its memory limit while both run. Bodies and rings are sized once, so each
/// process has half of it all along.
int usableMemoryMb(const config::Config& config) {
    return canHotRestart(config) ? config.memoryMb / 2 : config.memoryMb;
}

config::Config withUsableMemory(config::Config config) {
    config.memoryMb = usableMemoryMb(config);
    return config;
}

std::chrono::microseconds longestDeadline(const Settings& settings) {
    Micros longest = 0;
    for (const auto& requestClass : settings.classes)
        longest = std::max(longest, requestClass.deadlineUs);
    return std::chrono::microseconds(longest);
}

}  // namespace

Proxy::Proxy(std::string configPath, const config::Config& config,
             const config::OperatorConfig& operatorConfig, log::Logger& logger)
    : config_(config),
      logger_(logger),
      hotRestartEnabled_(canHotRestart(config)),
      configuredDescriptors_(config.maxDescriptors),
      rsyncEnabled_(operatorConfig.rsync.has_value()),
      budget_(budgetFor(configuredDescriptors_, sharedNow_)),
      engine_(io_, withUsableMemory(config), logger),
      httpPool_(io_,
                {budget_.httpNodes, std::chrono::microseconds(config.connectTimeoutUs),
                 std::chrono::microseconds(config.connIdleUs / 2), budget_.ringBytes, kConnectionCoolDown}),
      rsyncPool_(io_, {budget_.rsyncNodes, std::chrono::microseconds(config.connectTimeoutUs),
                       std::chrono::microseconds(0), budget_.ringBytes}),
      discovery_(engine_, config.discovery),
      peers_(engine_, config, false),
      front_(engine_, httpPool_, config.listen, budget_.httpClients, budget_.ringBytes,
             config.inheritedListenerFd),
      signals_(io_, SIGTERM, SIGINT, SIGUSR1),
      shutdownTimer_(io_),
      otherProcessTimer_(io_),
      shutdown_(*this),
      reload_(
          std::move(configPath), config_, [this](const config::Config& fresh) { applyConfig(fresh); },
          logger) {
    signals_.add(SIGHUP);
    installEffectHandlers();
    openRsync(operatorConfig);
    openHealthHttp(operatorConfig);
    openAdmin();
    openHealthAgent(operatorConfig);
    awaitSignal();
    startHotRestart();
    if (!hotRestart_ || hotRestart_->role() == HotRestart::Role::First) serve({});
}

void Proxy::run() {
    io_.run();
    reportMetrics();
    logger_.info("stopped: {} requests taken since SIGTERM",
                 engine_.counters().received - requestsBeforeShutdown_);
}

// ---- start

void Proxy::installEffectHandlers() {
    engine_.setEffectHandlers({
        [this](PeerRecipient to, const std::string& bytes) { peers_.send(to, bytes); },
        [this](bool watching) { discovery_.setWatching(watching); },
        [this](const std::string& id, const config::Endpoint& address) {
            http::probe(engine_, httpPool_, id, address);
        },
    });
}

void Proxy::openRsync(const config::OperatorConfig& operatorConfig) {
    if (!operatorConfig.rsync) return;
    rsync_ = std::make_unique<rsync::Front>(engine_, rsyncPool_, *operatorConfig.rsync, budget_.rsyncClients,
                                            budget_.ringBytes);
    logListening("rsync", rsync_->sessionManager().address());
}

void Proxy::openHealthHttp(const config::OperatorConfig& operatorConfig) {
    if (!operatorConfig.health) return;
    healthHttp_ =
        health::makeHttpCheckListener(io_, *operatorConfig.health, [this] { return gatewayStatus(); });
    logListening("health", healthHttp_->address());
}

void Proxy::openAdmin() {
    if (config_.adminListen.port == 0) return;
    admin_ = std::make_unique<admin::AdminServer>(io_, config_.adminListen, adminHandler());
    logListening("mgmt", admin_->sessionManager().address());
}

void Proxy::openHealthAgent(const config::OperatorConfig& operatorConfig) {
    if (!operatorConfig.agent) return;
    healthAgent_ =
        health::makeAgentCheckListener(io_, *operatorConfig.agent, [this] { return gatewayStatus(); });
    logListening("agent", healthAgent_->address());
}

void Proxy::startHotRestart() {
    if (!hotRestartEnabled_) return;
    hotRestart_ = std::make_unique<HotRestart>(io_, sharedFolder(), config_.name, logger_);
    hotRestart_->start([this](std::optional<hot_restart::Snapshot> snapshot) { serve(std::move(snapshot)); });
    pollOtherProcess();
}

void Proxy::awaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error) return;
        handleSignal(signal);
        awaitSignal();
    });
}

void Proxy::handleSignal(int signal) {
    if (signal == SIGUSR1)
        reportMetrics();
    else if (signal == SIGHUP)
        reload_.reload();
    else if (!shutdown_.scheduled())
        startShutdown();
}

void Proxy::logListening(std::string_view what, const config::Endpoint& address) {
    logger_.info("started: {} listens on {}:{}", what, address.host, address.port);
}

// ---- resources

ResourceBudget Proxy::budgetFor(int configuredDescriptors, bool sharedNow) const {
    const bool halved = hotRestartEnabled_ && sharedNow;
    return divideResources({
        .descriptors = availableDescriptors(halved ? configuredDescriptors / 2 : configuredDescriptors),
        .memoryMb = usableMemoryMb(config_),
        .rsync = rsyncEnabled_,
    });
}

void Proxy::redistribute() {
    budget_ = budgetFor(configuredDescriptors_, sharedNow_);
    front_.sessionManager().setCapacity(budget_.httpClients);
    httpPool_.setCapacity(budget_.httpNodes);
    if (rsync_) rsync_->sessionManager().setCapacity(budget_.rsyncClients);
    rsyncPool_.setCapacity(budget_.rsyncNodes);
}

void Proxy::applyConfig(const config::Config& fresh) {
    discovery_.moveTo(fresh.discovery);
    peers_.setPeers(fresh);
    configuredDescriptors_ = fresh.maxDescriptors;
    redistribute();
}

// ---- hot restart

void Proxy::serve(std::optional<hot_restart::Snapshot> snapshot) {
    const bool restored = snapshot.has_value();
    const Micros takenAt = restored ? snapshot->takenAt : 0;
    const std::size_t openElsewhere = restored ? snapshot->openRequestIds.size() : 0;
    if (restored) restore(std::move(*snapshot));
    if (hotRestart_) exchangeOverrides();
    peers_.open();
    engine_.start();
    if (restored) {
        logger_.info(
            "hot restart: taken over after {} us, {} nodes, {} requests in flight in the old process",
            engine_.now() - takenAt, engine_.nodeCount(), openElsewhere);
    }
    if (config_.inheritedListenerFd >= 0) front_.sessionManager().open();
    logListening(config_.name, front_.sessionManager().address());
}

void Proxy::restore(hot_restart::Snapshot snapshot) {
    // The old process has answered every request of its own by the longest deadline.
    const Micros until = snapshot.takenAt + longestDeadline(config_.settings).count();
    front_.setRequestsOpenElsewhere(snapshot.openRequestIds, until);
    if (!engine_.restore(std::move(snapshot.engine))) {
        logger_.warn(
            "hot restart: the snapshot's policy state is of other settings; the policy starts as after a "
            "crash");
    }
}

void Proxy::transferService() {
    front_.sessionManager().releaseListener();
    front_.startDraining();  // clients reach the successor with their next connection
    peers_.stop();
    auto openRequestIds = front_.openRequestIds();
    hotRestart_->transfer({config_.name, engine_.now(), engine_.takeSnapshot(), std::move(openRequestIds)});
    logger_.info("hot restart: service transferred to the successor");
}

void Proxy::exchangeOverrides() {
    engine_.applyOverrides(hotRestart_->exchangeOverrides(engine_.overrides()));
}

void Proxy::pollOtherProcess() {
    const bool sharedNow = hotRestart_->anotherProcessRuns();
    if (sharedNow != sharedNow_) {
        sharedNow_ = sharedNow;
        redistribute();
        logger_.info("hot restart: {}",
                     sharedNow ? "two processes share the limits" : "this process has all of the limits");
    }
    if (sharedNow) exchangeOverrides();
    otherProcessTimer_.expires_after(kOtherProcessInterval);
    otherProcessTimer_.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled) pollOtherProcess();
    });
}

// ---- what health checks and operators ask

health::GatewayStatus Proxy::gatewayStatus() {
    const auto& sessions = front_.sessionManager();
    const double usedCapacity =
        static_cast<double>(sessions.connections()) / static_cast<double>(sessions.capacity());
    return {engine_.nodeCount() > 0, shutdown_.scheduled(), usedCapacity};
}

admin::AdminHandler Proxy::adminHandler() {
    return {
        [this] { return !shutdown_.scheduled(); },
        [this] { return adminMetrics(); },
        [this](const std::string& node, bool drained) { return setAdminDrain(node, drained); },
    };
}

admin::AdminMetrics Proxy::adminMetrics() const {
    admin::AdminMetrics metrics{
        {}, engine_.counters(), engine_.openRequests(), engine_.nodeCount(), engine_.avoidedNodes()};
    for (const auto& requestClass : engine_.settings().classes)
        metrics.classNames.push_back(requestClass.name);
    return metrics;
}

bool Proxy::setAdminDrain(const std::string& node, bool drained) {
    // Orders that another process received come first, so that this one is the newest; then it is passed on.
    if (hotRestart_) exchangeOverrides();
    const bool known = engine_.setAdminDrain(node, drained);
    if (hotRestart_) hotRestart_->exchangeOverrides(engine_.overrides());
    logger_.info("administrative drain: {} {}{}", drained ? "detach" : "attach", node,
                 known ? "" : ", which was never listed");
    return known;
}

void Proxy::reportMetrics() {
    std::vector<MetricGroup> groups{
        describeRequests(engine_.counters(), engine_.openRequests()),
        describeAttempts(engine_.counters()),
        describeHttp(front_.counters(), connectionMetrics(front_.sessionManager())),
    };
    if (rsync_)
        groups.push_back(describeRsync(rsync_->counters(), connectionMetrics(rsync_->sessionManager())));
    groups.push_back(describeNodePool({httpPool_.open(), httpPool_.opened(), httpPool_.reused()}));
    groups.push_back(describeDiscovery(discovery_.counters()));
    groups.push_back(describeTables(
        {engine_.tableEntries(), engine_.nodeCount(), engine_.avoidedNodes(), engine_.adminDrainedNodes()}));
    if (admin_)
        groups.push_back(describeAdmin(admin_->counters(), connectionMetrics(admin_->sessionManager())));
    if (hotRestart_) groups.push_back(describeHotRestart(hotRestart_->counters()));
    groups.push_back(describeFleet(engine_.recovery(), engine_.now()));
    groups.push_back(describeReloads(reload_.counters()));
    groups.push_back(describePeers(peers_.counters()));
    for (const auto& group : groups)
        logger_.info("{}", formatLine(group));
}

// ---- shutdown

void Proxy::startShutdown() {
    shutdown_.schedule(longestDeadline(config_.settings), std::chrono::steady_clock::now());
    requestsBeforeShutdown_ = engine_.counters().received;
    logger_.info("stopping: {} requests open", engine_.openRequests());
    const ShutdownMode mode = beginDraining();
    continueShutdown(shutdown_.start(mode, std::chrono::steady_clock::now()));
}

ShutdownMode Proxy::beginDraining() {
    if (hotRestart_ && hotRestart_->role() == HotRestart::Role::Successor) return ShutdownMode::NeverServed;
    const bool transfers = hotRestart_ && hotRestart_->successorWaits();
    if (transfers)
        transferService();
    else
        engine_.shutdownStarted(engine_.now() + shutdown_.serveFor().count());
    front_.setResponseDeadline(engine_.now() + shutdown_.respondWithin().count());
    return transfers ? ShutdownMode::Transferred : ShutdownMode::WithoutSuccessor;
}

void Proxy::continueShutdown(ShutdownSequence::NextCall next) {
    if (!next) return;
    shutdownTimer_.expires_after(*next);
    shutdownTimer_.async_wait([this](const boost::system::error_code&) {
        continueShutdown(shutdown_.advance(std::chrono::steady_clock::now()));
    });
}

void Proxy::expectNoNewConnections() { front_.expectNoNewConnections(); }

void Proxy::closeListeners() {
    front_.startDraining();
    front_.sessionManager().closeListener();
    if (rsync_) rsync_->sessionManager().closeListener();
}

void Proxy::closeIdleConnections() {
    front_.sessionManager().closeIdleGracefully();
    if (rsync_) rsync_->sessionManager().closeIdleGracefully();
}

void Proxy::stop() {
    engine_.stop();
    if (hotRestart_) hotRestart_->stop();
    otherProcessTimer_.cancel();
    front_.sessionManager().stop();
    if (rsync_) rsync_->sessionManager().stop();
    discovery_.stop();
    peers_.stop();
    httpPool_.clear();
    rsyncPool_.clear();
    signals_.cancel();
    io_.stop();
}

std::size_t Proxy::activeClients() { return front_.sessionManager().connections(); }

std::size_t Proxy::allConnections() {
    const std::size_t rsyncConnections = rsync_ ? rsync_->sessionManager().sessionCount() : 0;
    return front_.sessionManager().sessionCount() + rsyncConnections;
}

std::size_t Proxy::openRequests() { return engine_.openRequests(); }

}  // namespace wingproxy::app
