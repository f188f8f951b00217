/// \file
/// The policy's actions as messages of the simulator's wire.
#pragma once

#include <string>
#include <string_view>

#include "wingproxy/policy.h"

namespace wingproxy::wire {

/// Appends the action's line, with its line break.
/// \param host the simulator's name of the host whose policy ordered it
void appendAction(const Action& action, std::string_view host, std::string& out);

}  // namespace wingproxy::wire
