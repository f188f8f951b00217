/// \file
/// The sentinel that stands for a point in time that never was.
#pragma once

#include "wingproxy/policy.h"

namespace wingproxy {

/// Earlier than any point in time, and far enough from the limits of the type that differences do not
/// overflow.
inline constexpr Micros kNever = -1'000'000'000'000'000'000;

}  // namespace wingproxy
