/// \file
/// Reads the policy's settings from "settings" of the JSON configuration. Only for the sources of this
/// folder.
#pragma once

#include "config/json_object.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

/// Reads all settings but the seed, which stands outside this object.
/// \throws ConfigError if a required field is missing or a field is wrong
Settings readSettings(const JsonObject& object);

}  // namespace wingproxy::config
