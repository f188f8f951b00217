// The platform's front: HTTP/1.1 clients, one request at a time on a connection.
#pragma once

#include <list>
#include <memory>

#include "http/node_client.h"
#include "net/listener.h"

namespace wingproxy::http {

class Session;

class Front {
public:
    struct Counters {
        std::uint64_t connections = 0, requests = 0, malformed = 0, tooLarge = 0, unsupported = 0;
        std::uint64_t status2xx = 0, statusRefused = 0, status5xx = 0, closedIdle = 0;
    };
    Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen, std::size_t mostClients);
    ~Front();
    void drain();                                            // answers end their connections from now on
    void closeListener();                                    // takes what waits, then closes what is idle
    void stop();
    std::size_t connections() const { return sessions_.size(); }
    config::Endpoint at() const { return listener_.at(); }
    const Counters& counters() const { return counters_; }

private:
    friend class Session;
    bool closeOldestIdle();
    net::Engine& engine_;
    net::NodePool& pool_;
    std::size_t mostClients_;
    bool draining_ = false, listening_ = true;
    Counters counters_;
    std::list<std::shared_ptr<Session>> sessions_;           // the longest idle ones first
    net::Listener listener_;
};

}  // namespace wingproxy::http
