/// \file
/// The state that a process hands to its successor at a hot restart, apart from the sockets.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::core {

/// The part of a `FrontState` from which a successor process of the same front starts. The order and the
/// types of the fields are those of the snapshot file (src/hot_restart); requests in flight are not in it.
struct StateSnapshot {
    std::vector<NodeInfo> endpoints;  ///< the endpoint list, without admin overrides
    /// The draining nodes, and when this host first read that they drain.
    std::map<std::string, Micros, std::less<>> drainingSince;
    std::vector<std::string> everListed;  ///< the ever-listed ids (see `EndpointTable`), oldest first
    std::string policySnapshot;           ///< as returned by `Policy::takeSnapshot`
};

}  // namespace wingproxy::core
