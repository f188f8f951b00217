/// \file
/// What is known of a broken rule: the way of its request through the fleet, with times of one clock.
#pragma once

#include "soak/soak_fleet.h"

namespace wingproxy::soak {

/// What clients and nodes saw of the request of a violation, and what its front's processes logged of it; for
/// slow start, what all processes logged of the nodes. One line each.
std::vector<std::string> traceOf(const Violation& violation, Fleet& fleet);

}  // namespace wingproxy::soak
