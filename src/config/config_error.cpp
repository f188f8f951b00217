#include "config/config_error.h"

#include <utility>

namespace wingproxy::config {

ConfigError::ConfigError(std::string fieldPath, std::string reason)
    : std::runtime_error(fieldPath + ": " + reason),
      fieldPath(std::move(fieldPath)),
      reason(std::move(reason)) {}

}  // namespace wingproxy::config
