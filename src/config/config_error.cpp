#include "config/config_error.h"

#include <string_view>
#include <utility>

namespace wingproxy::config {
namespace {

constexpr std::string_view kSeparator = ": ";

}  // namespace

ConfigError::ConfigError(std::string fieldPath, std::string reason)
    : std::runtime_error(fieldPath + std::string(kSeparator) + reason),
      fieldPath(std::move(fieldPath)),
      reason(std::move(reason)) {}

ConfigError::ConfigError(const std::string& message)
    : ConfigError(message.substr(0, message.find(kSeparator)),
                  message.substr(message.find(kSeparator) + kSeparator.size())) {}

}  // namespace wingproxy::config
