#include "app/proxy.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "app/metrics_report.h"
#include "app/metrics_snapshot.h"

namespace wingproxy::app {
namespace {

/// A connection to a node carries no other request for this long after a response, so that a duplicate of the
/// response is not taken for the next one. Duplicates arrive up to 4 ms after the response; this is twice
/// that, and far below any latency objective.
constexpr std::chrono::milliseconds kConnectionCoolDown{8};
/// The folder that the processes of a gateway share; null if the platform sets none.
const char* sharedFolder() { return std::getenv("TMPDIR"); }

bool canHotRestart(const config::Config& config) {
    return config.inheritedListenerFd >= 0 && sharedFolder() != nullptr;
}

/// Two processes of a gateway share its memory limit while both run. Bodies and ring buffers are sized once
/// at startup, so each process uses at most half of the limit at all times.
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
      configuredDescriptors_(config.maxDescriptors),
      rsyncEnabled_(operatorConfig.rsync.has_value()),
      // If hot restart is possible, another process is assumed to run until the coordinator has checked.
      budget_(budgetFor(canHotRestart(config))),
      engine_(io_, withUsableMemory(config), logger),
      httpPool_(io_,
                {budget_.httpNodes, std::chrono::microseconds(config.settings.connectTimeoutUs),
                 std::chrono::microseconds(config.connIdleUs / 2), budget_.ringBytes, kConnectionCoolDown}),
      rsyncPool_(io_, {budget_.rsyncNodes, std::chrono::microseconds(config.settings.connectTimeoutUs),
                       std::chrono::microseconds(0), budget_.ringBytes}),
      discovery_(engine_, config.discovery),
      peers_(engine_, config, false),
      front_(engine_, httpPool_, config.listen, budget_.httpClients, budget_.ringBytes,
             config.inheritedListenerFd),
      signals_(io_, {.shutDown = [this] { startShutdown(); },
                     .reloadConfig = [this] { reload_.reload(); },
                     .reportMetrics = [this] { reportMetrics(); }}),
      shutdownTimer_(io_),
      shutdown_(*this),
      reload_(
          std::move(configPath), config_, [this](const config::Config& newConfig) { applyConfig(newConfig); },
          logger) {
    applyMemoryBudget();
    installEffectHandlers();
    openRsync(operatorConfig);
    healthHttp_ = openHealthListener("health", operatorConfig.health, health::makeHttpCheckListener);
    openAdmin();
    healthAgent_ = openHealthListener("agent", operatorConfig.agent, health::makeAgentCheckListener);
    if (canHotRestart(config_)) startHotRestart();
    if (!hotRestart_ || hotRestart_->isFirstProcess()) serve();
}

void Proxy::run() {
    io_.run();
    reportMetrics();
    logger_.info("stopped: {} requests taken since SIGTERM",
                 engine_.counters().received - requestsBeforeShutdown_);
}

// ---- startup

void Proxy::installEffectHandlers() {
    engine_.setEffectHandlers({
        [this](PeerRecipient to, const std::string& bytes) { peers_.send(to, bytes); },
        [this](bool watching) { discovery_.setWatching(watching); },
        [this](const std::string& id, const config::Endpoint& address) {
            http::startHealthCheck(engine_, httpPool_, id, address);
        },
    });
}

void Proxy::openRsync(const config::OperatorConfig& operatorConfig) {
    if (!operatorConfig.rsync) return;
    rsync_ = std::make_unique<rsync::Front>(engine_, rsyncPool_, *operatorConfig.rsync, budget_.rsyncClients,
                                            budget_.ringBytes);
    logListening("rsync", rsync_->sessionManager().address());
}

void Proxy::openAdmin() {
    if (config_.adminListen.port == 0) return;
    admin_ = std::make_unique<admin::AdminServer>(io_, config_.adminListen, adminHandler());
    logListening("mgmt", admin_->sessionManager().address());
}

std::unique_ptr<net::SessionManager> Proxy::openHealthListener(std::string_view name,
                                                               const std::optional<config::Endpoint>& address,
                                                               OpenHealthListener* open) {
    if (!address) return nullptr;
    auto listener = open(io_, *address, [this] { return gatewayStatus(); });
    logListening(name, listener->address());
    return listener;
}

void Proxy::logListening(std::string_view name, const config::Endpoint& address) {
    logger_.info("started: {} listens on {}:{}", name, address.host, address.port);
}

// ---- serving

void Proxy::startHotRestart() {
    hotRestart_ = std::make_unique<HotRestartCoordinator>(
        HotRestartCoordinator::Parts{engine_, peers_, front_}, sharedFolder(), config_.name,
        HotRestartCoordinator::Handlers{
            .takeOver =
                [this](std::optional<hot_restart::Snapshot> snapshot) { takeOver(std::move(snapshot)); },
            .limitSharingChanged = [this] { applyResourceBudget(); }},
        logger_);
    hotRestart_->start();
}

void Proxy::serve() {
    startEngine();
    openListener();
}

void Proxy::takeOver(std::optional<hot_restart::Snapshot> snapshot) {
    if (!snapshot) {
        serve();
        return;
    }
    const Micros takenAt = snapshot->takenAt;
    const std::size_t requestsElsewhere = snapshot->openRequestIds.size();
    hotRestart_->restore(std::move(*snapshot), longestDeadline(config_.settings));
    startEngine();
    logger_.info("hot restart: taken over after {} us, {} nodes, {} requests in flight in the old process",
                 engine_.now() - takenAt, engine_.nodeCount(), requestsElsewhere);
    openListener();
}

void Proxy::startEngine() {
    if (hotRestart_) hotRestart_->exchangeOverrides();
    peers_.open();
    engine_.start();
}

void Proxy::openListener() {
    if (config_.inheritedListenerFd >= 0) front_.sessionManager().startAccepting();
    logListening(config_.name, front_.sessionManager().address());
}

// ---- resources

ResourceBudget Proxy::budgetFor(bool limitsAreShared) const {
    return divideResources({
        .descriptors =
            availableDescriptors(limitsAreShared ? configuredDescriptors_ / 2 : configuredDescriptors_),
        .memoryMb = usableMemoryMb(config_),
        .rsync = rsyncEnabled_,
    });
}

void Proxy::applyResourceBudget() {
    budget_ = budgetFor(hotRestart_ && hotRestart_->limitsAreShared());
    front_.sessionManager().setCapacity(budget_.httpClients);
    httpPool_.setCapacity(budget_.httpNodes);
    if (rsync_) rsync_->sessionManager().setCapacity(budget_.rsyncClients);
    rsyncPool_.setCapacity(budget_.rsyncNodes);
    applyMemoryBudget();
}

void Proxy::applyMemoryBudget() {
    engine_.bodyBudget().setLimit(budget_.bodyBytes);
    engine_.headBudget().setLimit(budget_.headBytes);
}

void Proxy::applyConfig(const config::Config& newConfig) {
    discovery_.setAddress(newConfig.discovery);
    peers_.setPeers(newConfig);
    configuredDescriptors_ = newConfig.maxDescriptors;
    applyResourceBudget();
}

// ---- health checks, admin requests and signals

health::GatewayStatus Proxy::gatewayStatus() {
    const auto& sessions = front_.sessionManager();
    const double usedCapacity =
        static_cast<double>(sessions.activeConnections()) / static_cast<double>(sessions.capacity());
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
    // Overrides of another process are applied first, so that this one is the newest; then it is published.
    if (hotRestart_) hotRestart_->exchangeOverrides();
    const bool known = engine_.setAdminDrain(node, drained);
    if (hotRestart_) hotRestart_->publishOverrides();
    logger_.info("administrative drain: {} {}{}", drained ? "detach" : "attach", node,
                 known ? "" : ", which was never listed");
    return known;
}

void Proxy::reportMetrics() {
    const MetricsSources sources{engine_,
                                 front_,
                                 rsync_.get(),
                                 httpPool_,
                                 discovery_,
                                 admin_.get(),
                                 hotRestart_ ? &hotRestart_->hotRestart() : nullptr,
                                 reload_,
                                 peers_};
    for (const MetricGroup& group : collectMetrics(sources))
        logger_.info("{}", formatLine(group));
}

// ---- shutdown

void Proxy::startShutdown() {
    if (shutdown_.scheduled()) return;
    shutdown_.schedule(longestDeadline(config_.settings), engine_.earliestSignalTime());
    requestsBeforeShutdown_ = engine_.counters().received;
    logger_.info("stopping: {} requests open", engine_.openRequests());
    const ShutdownMode mode = beginDraining();
    continueShutdown(shutdown_.start(mode, std::chrono::steady_clock::now()));
}

ShutdownMode Proxy::beginDraining() {
    if (hotRestart_ && hotRestart_->waitsAsSuccessor()) return ShutdownMode::NeverServed;
    const bool transfers = hotRestart_ && hotRestart_->hasSuccessor();
    const std::chrono::microseconds elapsed = shutdown_.elapsed(std::chrono::steady_clock::now());
    const Micros signalledAt = engine_.now() - elapsed.count();
    if (transfers)
        hotRestart_->transferService();
    else
        engine_.shutdownStarted(signalledAt + shutdown_.serveFor().count());
    const Micros responseDeadline = signalledAt + shutdown_.respondWithin().count();
    front_.setResponseDeadline(responseDeadline);
    if (rsync_) rsync_->setResponseDeadline(responseDeadline);
    front_.setLastUnfinishedArrival(signalledAt + shutdown_.mayLeaveUnfinishedFor().count(), transfers);
    return transfers ? ShutdownMode::Transferred : ShutdownMode::WithoutSuccessor;
}

void Proxy::continueShutdown(ShutdownSequence::NextCall next) {
    if (!next) return;
    shutdownTimer_.expires_after(*next);
    shutdownTimer_.async_wait([this](const boost::system::error_code&) {
        const ShutdownPhase before = shutdown_.phase();
        const auto now = std::chrono::steady_clock::now();
        const ShutdownSequence::NextCall following = shutdown_.advance(now);
        if (shutdown_.phase() != before) logShutdownPhase(now);
        continueShutdown(following);
    });
}

void Proxy::logShutdownPhase(std::chrono::steady_clock::time_point now) {
    logger_.info("stopping: {} after {} ms, {} requests open, {} connections", describe(shutdown_.phase()),
                 shutdown_.elapsed(now).count(), engine_.openRequests(), allConnections());
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
    front_.sessionManager().stop();
    if (rsync_) rsync_->sessionManager().stop();
    discovery_.stop();
    peers_.stop();
    httpPool_.clear();
    rsyncPool_.clear();
    signals_.stop();
    io_.stop();
}

std::size_t Proxy::activeClients() { return front_.sessionManager().activeConnections(); }

std::size_t Proxy::allConnections() {
    const std::size_t rsyncConnections = rsync_ ? rsync_->sessionManager().sessionCount() : 0;
    return front_.sessionManager().sessionCount() + rsyncConnections;
}

std::size_t Proxy::openRequests() { return engine_.openRequests(); }

}  // namespace wingproxy::app
