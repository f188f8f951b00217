/// \file
/// The running gateway: creates its parts, connects them, and runs them until SIGTERM.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "admin/admin_server.h"
#include "app/config_reload.h"
#include "app/metrics_report.h"
#include "app/resource_budget.h"
#include "app/shutdown_sequence.h"
#include "config/config.h"
#include "config/operator_config.h"
#include "health/check_listeners.h"
#include "hot_restart/hot_restart.h"
#include "http/front.h"
#include "log/log.h"
#include "net/discovery.h"
#include "net/node_pool.h"
#include "net/peers.h"
#include "rsync/front.h"

namespace wingproxy::app {

/// Owns the event loop and every part that runs on it. Single-threaded.
///
/// Where the platform holds the listening socket (`PROXY_FD`) and names a folder (`TMPDIR`), two processes of
/// this gateway may run at once; the service then passes between them by hot restart. Until it does, a
/// successor answers admin requests and health checks only.
class Proxy : private ShutdownTarget {
public:
    /// Opens the listeners, and begins to serve unless another process does.
    /// \param configPath read again on SIGHUP
    /// \param logger outlives the proxy
    /// \throws std::exception where an address cannot be used
    Proxy(std::string configPath, const config::Config& config, const config::OperatorConfig& operatorConfig,
          log::Logger& logger);

    /// Returns once the process has shut down, after SIGTERM or SIGINT.
    void run();

private:
    // Start.
    void installEffectHandlers();
    void openRsync(const config::OperatorConfig& operatorConfig);
    void openHealthHttp(const config::OperatorConfig& operatorConfig);
    void openAdmin();
    void openHealthAgent(const config::OperatorConfig& operatorConfig);
    void startHotRestart();
    void awaitSignal();
    void handleSignal(int signal);
    void logListening(std::string_view what, const config::Endpoint& address);

    // Resources.
    [[nodiscard]] ResourceBudget budgetFor(int configuredDescriptors, bool sharedNow) const;
    void redistribute();
    void applyConfig(const config::Config& fresh);

    // Hot restart.
    void serve(std::optional<hot_restart::Snapshot> snapshot);
    void restore(hot_restart::Snapshot snapshot);
    void transferService();
    void exchangeOverrides();
    void pollOtherProcess();

    // What health checks and operators ask.
    [[nodiscard]] health::GatewayStatus gatewayStatus();
    [[nodiscard]] admin::AdminHandler adminHandler();
    [[nodiscard]] admin::AdminMetrics adminMetrics() const;
    bool setAdminDrain(const std::string& node, bool drained);
    void reportMetrics();

    // Shutdown.
    void startShutdown();
    [[nodiscard]] ShutdownMode beginDraining();
    void continueShutdown(ShutdownSequence::NextCall next);
    void expectNoNewConnections() override;
    void closeListeners() override;
    void closeIdleConnections() override;
    void stop() override;
    [[nodiscard]] std::size_t activeClients() override;
    [[nodiscard]] std::size_t allConnections() override;
    [[nodiscard]] std::size_t openRequests() override;

    config::Config config_;  ///< as at the start
    log::Logger& logger_;
    bool hotRestartEnabled_;
    bool sharedNow_ = true;  ///< another process uses the same limits; assumed until the first look
    int configuredDescriptors_;
    bool rsyncEnabled_;
    ResourceBudget budget_;

    boost::asio::io_context io_{1};
    net::Engine engine_;
    net::NodePool httpPool_;
    net::NodePool rsyncPool_;
    net::Discovery discovery_;
    net::Peers peers_;
    http::Front front_;
    std::unique_ptr<rsync::Front> rsync_;                  ///< where the operator's file has it
    std::unique_ptr<net::SessionManager> healthHttp_;      ///< where the operator's file has it
    std::unique_ptr<net::SessionManager> healthAgent_;     ///< where the operator's file has it
    std::unique_ptr<hot_restart::HotRestart> hotRestart_;  ///< where it is enabled
    std::unique_ptr<admin::AdminServer> admin_;            ///< where the configuration has `mgmt`
    boost::asio::signal_set signals_;
    boost::asio::steady_timer shutdownTimer_;
    boost::asio::steady_timer otherProcessTimer_;

    ShutdownSequence shutdown_;
    ConfigReload reload_;
    std::uint64_t requestsBeforeShutdown_ = 0;
};

}  // namespace wingproxy::app
