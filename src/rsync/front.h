/// \file
/// The rsync front: serves clients as an rsync daemon of protocol version 28 and submits their transfers to
/// the engine. Owns the listener with its sessions, the configuration of the modules, and the counters.
#pragma once

#include <cstddef>

#include "net/session.h"
#include "rsync/front_context.h"

namespace wingproxy::rsync {

/// Listens for rsync clients.
class Front {
public:
    /// The counters of this front, for the metrics report.
    using Counters = FrontCounters;

    /// Binds the listener, which starts to accept immediately.
    /// \param engine admits, routes and retries the transfers; must outlive the front
    /// \param pool connects to the nodes' daemons; must outlive the front
    /// \param maxClients limit of concurrent client connections
    /// \param ringSize bytes of the ring buffer of each direction of a connection
    Front(net::Engine& engine, net::NodePool& pool, const config::RsyncFront& config, std::size_t maxClients,
          std::size_t ringSize = net::kMaxRingBytes);

    /// The listener and its connections, for shutdown and metrics. Valid as long as the front.
    net::SessionManager& sessionManager() { return sessionManager_; }
    /// Sets the time by which transfers that are requested from now on have ended. Set during a shutdown.
    /// \param deadline on the engine's clock, in microseconds
    void setResponseDeadline(Micros deadline) { context_.responseDeadline = deadline; }
    /// Totals since the start.
    const Counters& counters() const { return context_.counters; }

private:
    FrontContext context_;
    net::SessionManager sessionManager_;  // declared last: its sessions refer to the context
};

}  // namespace wingproxy::rsync
