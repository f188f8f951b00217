/// \file
/// The policy's settings as an "UP" line of the simulator's wire has them: each field under its path, e.g.
/// "classes.0.aimUs=300000", and lists separated by commas.
#pragma once

#include "wingproxy/policy.h"
#include "wire_line.h"

namespace wingproxy::wire {

/// Reads the settings. A missing field keeps the default of `Settings`.
/// \throws WireError for the first field that is malformed
Settings parseSettings(const WireLine& line);

}  // namespace wingproxy::wire
