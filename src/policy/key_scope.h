/// \file
/// Which nodes recognise an idempotency key that another node has seen.
#pragma once

#include "wingproxy/policy.h"

namespace wingproxy {

/// Whether both nodes lie in the same scope, so that each recognises the keys that the other has seen.
inline bool isInScope(KeyScope scope, const NodeInfo& one, const NodeInfo& other) {
    switch (scope) {
        case KeyScope::Global:
            return true;
        case KeyScope::Zone:
            return one.zone == other.zone;
        case KeyScope::Cell:
            return one.cell == other.cell;
    }
    return false;
}

}  // namespace wingproxy
