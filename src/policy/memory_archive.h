// The module's memory as bytes and back, for a successor process of the same host. What is bound to this
// process's open requests is left out.
#pragma once

#include <string>

#include "policy/state.h"

namespace wingproxy {

std::string saveMemory(const Memory& memory);
// False, and nothing changed, where the bytes are damaged or of a host with other settings. Settings, actions
// and requests of `into` stay.
bool loadMemory(const std::string& bytes, Memory& into);

}  // namespace wingproxy
