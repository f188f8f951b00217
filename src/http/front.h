/// \file
/// The platform's HTTP/1.1 listener: accepts client connections, each with one request at a time.
#pragma once

#include <string>
#include <vector>

#include "http/front_context.h"
#include "http/health_check.h"
#include "net/session.h"

namespace wingproxy::http {

/// Owns the session manager of the listener and what its connections share.
class Front {
public:
    /// The counters of this front, for the metrics report.
    using Counters = FrontCounters;

    /// \param engine, pool have to outlive the front
    /// \param maxClients budget of client connections
    /// \param ringBytes buffer size of each direction of a connection
    /// \param inheritedListener file descriptor of a listener from another process, or -1 to open one
    Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen, std::size_t maxClients,
          std::size_t ringBytes = net::kMaxRingBytes, int inheritedListener = -1);

    /// From now on every response closes its connection.
    void startDraining() { context_.startDraining(); }
    /// No response is later than this, whatever a client allows.
    /// \param deadline on the engine's clock, in microseconds
    void setResponseDeadline(Micros deadline) { context_.setResponseDeadline(deadline); }
    /// From now on clients have only the connections that are open: some are kept free for other requests.
    void expectNoNewConnections() { context_.expectNoNewConnections(); }

    /// The Req-Ids that have no response yet, in no order.
    std::vector<std::string> openRequestIds() const { return context_.requestIds().list(); }
    /// Rejects requests with these Req-Ids until then: another process still serves them.
    void setRequestsOpenElsewhere(const std::vector<std::string>& ids, Micros until);

    /// The listener and its connections, for shutdown and metrics. Lives as long as the front.
    net::SessionManager& sessionManager() { return sessionManager_; }
    /// Totals since the start.
    const Counters& counters() const { return context_.counters(); }

private:
    FrontContext context_;
    net::SessionManager sessionManager_;
};

}  // namespace wingproxy::http
