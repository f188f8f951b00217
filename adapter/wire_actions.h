/// \file
/// Writes the policy's actions as messages of the simulator's wire.
#pragma once

#include <string>
#include <string_view>

#include "wingproxy/policy.h"

namespace wingproxy::wire {

/// Appends the line of an action, with a line break.
/// \param host the simulator's name of the host whose policy returned the action
void appendAction(const Action& action, std::string_view host, std::string& out);

}  // namespace wingproxy::wire
