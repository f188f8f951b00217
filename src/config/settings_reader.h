/// \file
/// Reads the policy's settings from "settings" of the JSON configuration. Private to this folder.
#pragma once

#include "config/json_object.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

/// Reads all settings except the seed, which is not part of this object.
/// \throws ConfigError if a required field is missing or a field is invalid
Settings readSettings(const JsonObject& object);

}  // namespace wingproxy::config
