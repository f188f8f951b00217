/// \file
/// State shared by all client connections of one front: counters, shutdown state and open requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

#include "http/open_request_ids.h"
#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::http {

/// Totals since the start. The field names are those of the counters in the log.
struct FrontCounters {
    std::uint64_t requests = 0;         ///< complete heads, except for the readiness path
    std::uint64_t malformed = 0;        ///< rejected with 400 or 405
    std::uint64_t tooLarge = 0;         ///< rejected with 413 or 431
    std::uint64_t unsupported = 0;      ///< rejected with 501
    std::uint64_t silent = 0;           ///< idle connections that were closed
    std::uint64_t slow = 0;             ///< requests that arrived too slowly: 408
    std::uint64_t unread = 0;           ///< connections whose client did not read its response
    std::uint64_t repeated = 0;         ///< requests with the Req-Id of an open one: 409
    std::uint64_t noMemory = 0;         ///< request bodies beyond the memory budget: 503
    std::uint64_t leftToSuccessor = 0;  ///< requests that came too late in an upgrade: 503
    std::uint64_t disconnected = 0;     ///< requests that were read after their client had left
    std::uint64_t crowded = 0;    ///< requests to the engine to shed load, as too few connections were free
    std::uint64_t pipelined = 0;  ///< connections that sent a request while another was open
    std::uint64_t ok = 0;         ///< responses with 200
    std::uint64_t rejected = 0;   ///< responses with 503
    std::uint64_t failed = 0;     ///< all other responses, and aborted ones
};

/// Owned by the front; outlives the connections.
class FrontContext {
public:
    /// \param engine, pool have to outlive the context
    FrontContext(net::Engine& engine, net::NodePool& pool) : engine_(engine), pool_(pool) {}

    /// The engine to which requests are submitted.
    net::Engine& engine() { return engine_; }
    /// The pool of node connections that all attempts share.
    net::NodePool& pool() { return pool_; }
    /// The counters, which the connections increment.
    FrontCounters& counters() { return counters_; }
    /// The counters, for reports.
    const FrontCounters& counters() const { return counters_; }
    /// The Req-Ids of open requests, which each request adds and removes itself.
    OpenRequestIds& requestIds() { return requestIds_; }
    /// The Req-Ids of open requests.
    const OpenRequestIds& requestIds() const { return requestIds_; }

    /// Makes every later response close its connection.
    void startDraining() { draining_ = true; }
    /// Whether every response closes its connection.
    bool isDraining() const { return draining_; }

    /// Limits the deadline of each request that is submitted from now on, or whose streamed body completes
    /// from now on, to this time, even where the client's own is later. Set during a shutdown.
    /// \param deadline on the engine's clock, in microseconds
    void setResponseDeadline(Micros deadline) { responseDeadline_ = deadline; }
    /// The time that setResponseDeadline() set, on the engine's clock; the maximum value if none is set.
    Micros responseDeadline() const { return responseDeadline_; }
    /// Whether that time has been set, which means that the program is shutting down.
    bool hasResponseDeadline() const { return responseDeadline_ != kNoDeadline; }

    /// Requests that arrive after this time must have their whole answer before the process ends. Their
    /// responses are not streamed, as nothing limits how long that takes. Set during a shutdown.
    /// \param time on the engine's clock, in microseconds
    /// \param hasSuccessor whether another process serves the clients: such requests are rejected then
    void setLastUnfinishedArrival(Micros time, bool hasSuccessor) {
        lastUnfinishedArrival_ = time;
        hasSuccessor_ = hasSuccessor;
    }
    /// Whether the response to a request that arrived at this time may be streamed.
    bool mayStream(Micros arrivedAt) const { return arrivedAt <= lastUnfinishedArrival_; }
    /// Whether a request that arrived at this time is left to the successor process.
    bool isLeftToSuccessor(Micros arrivedAt) const { return hasSuccessor_ && !mayStream(arrivedAt); }

    /// Called when clients can no longer open connections: waiting requests are shed to keep some of the open
    /// connections free.
    void expectNoNewConnections() { noNewConnections_ = true; }

    /// Called when a request starts to wait for its response.
    void onRequestWaiting() { ++waitingRequests_; }
    /// Called when its response begins, or when its client disconnects.
    void onRequestNoLongerWaiting() { --waitingRequests_; }

    /// Asks the engine to shed a waiting request if too few connections are free and clients can open no new
    /// ones.
    void keepConnectionsFree(std::size_t openConnections);

private:
    static constexpr Micros kNoDeadline = std::numeric_limits<Micros>::max();

    net::Engine& engine_;
    net::NodePool& pool_;
    FrontCounters counters_;
    OpenRequestIds requestIds_;
    bool draining_ = false;
    bool noNewConnections_ = false;
    std::size_t waitingRequests_ = 0;  // at most one on each connection
    Micros responseDeadline_ = kNoDeadline;
    Micros lastUnfinishedArrival_ = kNoDeadline;
    bool hasSuccessor_ = false;
};

}  // namespace wingproxy::http
