/// \file
/// The platform's HTTP/1.1 listener: accepts client connections, which serve one request at a time.
#pragma once

#include <string>
#include <vector>

#include "http/front_context.h"
#include "http/health_check.h"
#include "net/session.h"

namespace wingproxy::http {

/// Owns the listener's session manager and the state that its connections share.
class Front {
public:
    /// The counters of this front, for the metrics report.
    using Counters = FrontCounters;

    /// \param engine, pool have to outlive the front
    /// \param maxClients budget of client connections
    /// \param ringBytes size of a connection's receive buffer and of its send buffer
    /// \param inheritedListener file descriptor of a listener from another process, or -1 to open one
    Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen, std::size_t maxClients,
          std::size_t ringBytes = net::kMaxRingBytes, int inheritedListener = -1);

    /// Makes every later response close its connection.
    void startDraining() { context_.startDraining(); }
    /// Limits the deadline of each request that is submitted from now on, or whose streamed body completes
    /// from now on, to this time, even where the client's own is later.
    /// \param deadline on the engine's clock, in microseconds
    void setResponseDeadline(Micros deadline) { context_.setResponseDeadline(deadline); }
    /// See `FrontContext::setLastUnfinishedArrival`.
    void setLastUnfinishedArrival(Micros time, bool hasSuccessor) {
        context_.setLastUnfinishedArrival(time, hasSuccessor);
    }
    /// Called when clients can no longer open connections: waiting requests are shed to keep some of the open
    /// connections free.
    void expectNoNewConnections() { context_.expectNoNewConnections(); }

    /// The Req-Ids of open requests, in no particular order.
    std::vector<std::string> openRequestIds() const { return context_.requestIds().list(); }
    /// Rejects requests with these Req-Ids until `until`: another process still serves them.
    /// \param until on the engine's clock, in microseconds
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
