/// \file
/// The state that an rsync front shares with its sessions and pending transfers: the configuration and the
/// counters. Owned by the front, which outlives both.
#pragma once

#include <cstdint>
#include <limits>

#include "config/operator_config.h"
#include "net/engine.h"
#include "net/node_pool.h"

namespace wingproxy::rsync {

/// Counters of an rsync front since its start.
struct FrontCounters {
    std::uint64_t transfers = 0;     ///< submitted to the engine
    std::uint64_t listings = 0;      ///< module lists sent
    std::uint64_t malformed = 0;     ///< handshakes that ended with an error, before a transfer
    std::uint64_t completed = 0;     ///< transfers whose complete stream was written to the client
    std::uint64_t rejected = 0;      ///< transfers rejected with a retry-after time
    std::uint64_t failed = 0;        ///< transfers that ended with an error message or an aborted stream
    std::uint64_t disconnected = 0;  ///< transfers whose client disconnected before the end
};

/// The state that all sessions of a front share.
struct FrontContext {
    net::Engine& engine;
    net::NodePool& pool;
    const config::RsyncFront config;
    FrontCounters counters = {};
    /// Transfers that are requested from now on end at this time at the latest, on the engine's clock.
    Micros responseDeadline = std::numeric_limits<Micros>::max();
};

}  // namespace wingproxy::rsync
