/// \file
/// Reads the policy's settings from an "UP" line of the simulator's wire: each field under its path, e.g.
/// "classes.0.aimUs=300000", and comma-separated lists.
#pragma once

#include "wingproxy/policy.h"
#include "wire_line.h"

namespace wingproxy::wire {

/// Reads the settings. A missing field keeps the default of `Settings`.
/// \throws WireError for the first field that is malformed
Settings parseSettings(const WireLine& line);

}  // namespace wingproxy::wire
