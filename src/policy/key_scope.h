/// \file
/// Where nodes recognise a repeated idempotency key.
#pragma once

#include "wingproxy/policy.h"

namespace wingproxy {

/// Whether a key that one node got is recognised by the other: both lie in the same scope.
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
