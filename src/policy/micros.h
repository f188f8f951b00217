/// \file
/// The sentinel for a time that never occurred.
#pragma once

#include "wingproxy/policy.h"

namespace wingproxy {

/// Earlier than any time that occurs, and far enough from the limits of the type that differences to it do
/// not overflow.
inline constexpr Micros kNever = -1'000'000'000'000'000'000;

}  // namespace wingproxy
