// The platform's front: HTTP/1.1 clients, one request at a time on a connection.
#pragma once

#include <memory>
#include <string>
#include <unordered_set>

#include "http/node_client.h"
#include "net/session.h"

namespace wingproxy::http {

class Front {
public:
    struct Counters {
        std::uint64_t requests = 0, malformed = 0, tooLarge = 0, unsupported = 0;
        std::uint64_t silent = 0, slow = 0, unread = 0, repeated = 0, noMemory = 0, crowded = 0,
                      pipelined = 0;
        std::uint64_t ok = 0, refused = 0, failed = 0;
    };
    Front(net::Engine& engine, net::NodePool& pool, const config::Endpoint& listen, std::size_t mostClients,
          std::size_t ring = net::kMostRing, int inherited = -1);
    void startDraining() { draining_ = true; }                   // answers end their connections from now on
    void setResponseDeadline(Micros when) { answerBy_ = when; }  // whatever a client allows
    // From now on clients have only the connections that are open: some are kept free for other requests.
    void expectNoNewConnections() { lastClients_ = true; }
    // Req-Ids that are open, and those that are open in another process until then.
    std::vector<std::string> openRequestIds() const { return {ids_.begin(), ids_.end()}; }
    void setRequestsOpenElsewhere(const std::vector<std::string>& ids, Micros until);
    net::SessionManager& sessionManager() { return sessionManager_; }
    const Counters& counters() const { return counters_; }

private:
    class Client;
    struct Pending;
    void keepSomeFree();
    net::Engine& engine_;
    net::NodePool& pool_;
    bool draining_ = false, lastClients_ = false;
    std::size_t waiting_ = 0;  // connections whose request has no answer yet
    Micros answerBy_ = INT64_MAX;
    Counters counters_;
    std::unordered_set<std::string> ids_;  // Req-Ids that are open, at a node perhaps
    std::unordered_set<std::string> elsewhere_;
    Micros elsewhereUntil_ = 0;
    net::SessionManager sessionManager_;
};

}  // namespace wingproxy::http
