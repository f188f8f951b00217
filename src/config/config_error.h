/// \file
/// The error of everything that reads a configuration: which field is wrong, and why.
#pragma once

#include <stdexcept>
#include <string>

namespace wingproxy::config {

/// A configuration, an endpoint list or an environment variable cannot be used. `what()` is one line,
/// "FIELD: reason".
struct ConfigError : std::runtime_error {
    /// \param fieldPath the field as in the file, e.g. "limits.sockets", or an environment variable's name;
    ///     where no single field is at fault, the name of the document or file
    /// \param reason what is wrong with it
    ConfigError(std::string fieldPath, std::string reason);

    const std::string fieldPath;
    const std::string reason;
};

}  // namespace wingproxy::config
