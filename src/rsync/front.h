// The rsync front: a daemon of protocol 28 to its clients, whose transfers are requests to the engine.
#pragma once

#include <memory>

#include "config/operator.h"
#include "net/session.h"
#include "rsync/node_client.h"

namespace wingproxy::rsync {

class Front {
public:
    struct Counters {
        std::uint64_t transfers = 0, listings = 0, malformed = 0;
        std::uint64_t completed = 0, refused = 0, failed = 0, disconnected = 0;
    };
    Front(net::Engine& engine, net::NodePool& pool, const config::RsyncFront& config, std::size_t mostClients,
          std::size_t ring = net::kMostRing);
    net::SessionManager& sessionManager() { return sessionManager_; }
    const Counters& counters() const { return counters_; }

private:
    class Peer;
    struct Pending;
    net::Engine& engine_;
    net::NodePool& pool_;
    config::RsyncFront config_;
    Counters counters_;
    net::SessionManager sessionManager_;
};

}  // namespace wingproxy::rsync
