/// \file
/// The running gateway: creates its parts, connects them, and runs them until SIGTERM.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admin/admin_server.h"
#include "app/config_reload.h"
#include "app/hot_restart_coordinator.h"
#include "app/resource_budget.h"
#include "app/shutdown_sequence.h"
#include "app/signal_handler.h"
#include "config/config.h"
#include "config/operator_config.h"
#include "health/check_listeners.h"
#include "hot_restart/hot_restart.h"
#include "http/front.h"
#include "log/log.h"
#include "net/discovery_client.h"
#include "net/node_pool.h"
#include "net/peer_transport.h"
#include "rsync/front.h"

namespace wingproxy::app {

/// Owns the event loop and every part that runs on it. Single-threaded.
///
/// If the platform passes a listening socket (`PROXY_FD`) and sets a shared folder (`TMPDIR`), two processes
/// of this gateway may run at once; the service then passes between them by hot restart. Until it does, a
/// successor answers only admin requests and health checks.
class Proxy : private ShutdownTarget {
public:
    /// Opens the listeners, and starts to serve unless another process does.
    /// \param configPath file that is read again on SIGHUP
    /// \param logger outlives the proxy
    /// \throws std::exception if an address cannot be used
    Proxy(std::string configPath, const config::Config& config, const config::OperatorConfig& operatorConfig,
          log::Logger& logger);

    /// Returns once the process has shut down, after SIGTERM or SIGINT.
    void run();

private:
    /// Opens the listener of one kind of health check: `health::makeHttpCheckListener` or
    /// `health::makeAgentCheckListener`.
    using OpenHealthListener = decltype(health::makeHttpCheckListener);

    // Startup.
    void installEffectHandlers();
    void openRsync(const config::OperatorConfig& operatorConfig);
    void openAdmin();
    std::unique_ptr<net::SessionManager> openHealthListener(std::string_view name,
                                                            const std::optional<config::Endpoint>& address,
                                                            OpenHealthListener* open);
    void logListening(std::string_view name, const config::Endpoint& address);

    // Serving: at once, or when the previous process transfers the service or dies.
    void startHotRestart();
    void serve();
    void takeOver(std::optional<hot_restart::Snapshot> snapshot);
    void startEngine();
    void openListener();

    // Resources.
    /// \param limitsAreShared whether another process of this gateway has half of the descriptors
    [[nodiscard]] ResourceBudget budgetFor(bool limitsAreShared) const;
    void applyResourceBudget();
    void applyMemoryBudget();
    void applyConfig(const config::Config& newConfig);

    // Health checks, admin requests and signals.
    [[nodiscard]] health::GatewayStatus gatewayStatus();
    [[nodiscard]] admin::AdminHandler adminHandler();
    [[nodiscard]] admin::AdminMetrics adminMetrics() const;
    bool setAdminDrain(const std::string& node, bool drained);
    void reportMetrics();

    // Shutdown.
    void startShutdown();
    [[nodiscard]] ShutdownMode beginDraining();
    void continueShutdown(ShutdownSequence::NextCall next);
    void logShutdownPhase(std::chrono::steady_clock::time_point now);
    void expectNoNewConnections() override;
    void closeListeners() override;
    void closeIdleConnections() override;
    void stop() override;
    [[nodiscard]] std::size_t activeClients() override;
    [[nodiscard]] std::size_t allConnections() override;
    [[nodiscard]] std::size_t openRequests() override;

    config::Config config_;  ///< as read at startup
    log::Logger& logger_;
    int configuredDescriptors_;  ///< of the configuration that was applied last
    bool rsyncEnabled_;
    ResourceBudget budget_;

    boost::asio::io_context io_{1};
    net::Engine engine_;
    net::NodePool httpPool_;
    net::NodePool rsyncPool_;
    net::DiscoveryClient discovery_;
    net::PeerTransport peers_;
    http::Front front_;
    std::unique_ptr<rsync::Front> rsync_;                ///< null: not in the operator's file
    std::unique_ptr<net::SessionManager> healthHttp_;    ///< null: not in the operator's file
    std::unique_ptr<net::SessionManager> healthAgent_;   ///< null: not in the operator's file
    std::unique_ptr<HotRestartCoordinator> hotRestart_;  ///< null: hot restart is not possible
    std::unique_ptr<admin::AdminServer> admin_;          ///< null: no admin address
    SignalHandler signals_;
    boost::asio::steady_timer shutdownTimer_;

    ShutdownSequence shutdown_;
    ConfigReload reload_;
    std::uint64_t requestsBeforeShutdown_ = 0;
};

}  // namespace wingproxy::app
