/// \file
/// What all client connections of one front share: its counters, its shutdown state and its open requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

#include "http/open_request_ids.h"
#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::http {

/// Counted since the start. The names are those of the counters in the log.
struct FrontCounters {
    std::uint64_t requests = 0;     ///< complete heads, without the readiness path
    std::uint64_t malformed = 0;    ///< rejected with 400 or 405
    std::uint64_t tooLarge = 0;     ///< rejected with 413 or 431
    std::uint64_t unsupported = 0;  ///< rejected with 501
    std::uint64_t silent = 0;       ///< idle connections that were closed
    std::uint64_t slow = 0;         ///< requests that were received too slowly: 408
    std::uint64_t unread = 0;       ///< connections whose client did not read its response
    std::uint64_t repeated = 0;     ///< Req-Ids of open requests: 409
    std::uint64_t noMemory = 0;     ///< bodies beyond the memory budget: 503
    std::uint64_t crowded = 0;      ///< times that a waiting request was shed for a free connection
    std::uint64_t pipelined = 0;    ///< connections with a request behind one that had no response yet
    std::uint64_t ok = 0;           ///< responses with 200
    std::uint64_t rejected = 0;     ///< responses with 503
    std::uint64_t failed = 0;       ///< every other response, and those that were aborted
};

/// Shared by the connections of a front, which owns it. It outlives them.
class FrontContext {
public:
    /// \param engine, pool have to outlive the context
    FrontContext(net::Engine& engine, net::NodePool& pool) : engine_(engine), pool_(pool) {}

    /// Where requests are submitted.
    net::Engine& engine() { return engine_; }
    /// The connections to nodes, which all attempts share.
    net::NodePool& pool() { return pool_; }
    /// The counters, to be raised by the connections.
    FrontCounters& counters() { return counters_; }
    /// The counters, to be reported.
    const FrontCounters& counters() const { return counters_; }
    /// The ids of open requests, to be kept up to date by the requests.
    OpenRequestIds& requestIds() { return requestIds_; }
    /// The ids of open requests.
    const OpenRequestIds& requestIds() const { return requestIds_; }

    /// From now on every response closes its connection.
    void startDraining() { draining_ = true; }
    /// Whether every response closes its connection.
    bool isDraining() const { return draining_; }

    /// No response is later than this, whatever a client allows; set when the program stops.
    /// \param deadline on the engine's clock, in microseconds
    void setResponseDeadline(Micros deadline) { responseDeadline_ = deadline; }
    /// The latest time of any response, on the engine's clock; a time that never comes if none is set.
    Micros responseDeadline() const { return responseDeadline_; }
    /// Whether the program stops, and with it every connection at that deadline.
    bool hasResponseDeadline() const { return responseDeadline_ != kNoDeadline; }

    /// From now on clients have only the connections that are open: some are kept free for other requests.
    void expectNoNewConnections() { noNewConnections_ = true; }

    /// A request waits for its response from now on.
    void onRequestWaiting() { ++waitingRequests_; }
    /// Its response has begun, or its client is gone.
    void onRequestNoLongerWaiting() { --waitingRequests_; }

    /// Sheds a waiting request if too few connections are free and no new ones can be opened.
    void keepConnectionsFree(std::size_t openConnections);

private:
    static constexpr Micros kNoDeadline = std::numeric_limits<Micros>::max();

    net::Engine& engine_;
    net::NodePool& pool_;
    FrontCounters counters_;
    OpenRequestIds requestIds_;
    bool draining_ = false;
    bool noNewConnections_ = false;
    std::size_t waitingRequests_ = 0;  // one a connection at the most
    Micros responseDeadline_ = kNoDeadline;
};

}  // namespace wingproxy::http
