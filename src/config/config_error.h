/// \file
/// The error that all configuration readers throw: which field is invalid, and why.
#pragma once

#include <stdexcept>
#include <string>

namespace wingproxy::config {

/// A configuration, an endpoint list or an environment variable is invalid. `what()` is one line,
/// "FIELD: REASON".
struct ConfigError : std::runtime_error {
    /// \param fieldPath the field as in the file, e.g. "limits.sockets", or an environment variable's name;
    ///     the name of the document or file if no single field is invalid
    /// \param reason which rule the value breaks
    ConfigError(std::string fieldPath, std::string reason);

    const std::string fieldPath;
    const std::string reason;
};

}  // namespace wingproxy::config
