/// \file
/// Diagnostics for a violation: the path of its request through the fleet, with all times on one clock.
#pragma once

#include "soak/soak_fleet.h"

namespace wingproxy::soak {

/// What clients and nodes observed of a violation's request, and the lines that the processes of all fronts
/// logged about it. To these come the lines on slow starts, for a violation of slow start, or else the lines
/// on shutdowns.
std::vector<std::string> traceOf(const Violation& violation, Fleet& fleet);

}  // namespace wingproxy::soak
