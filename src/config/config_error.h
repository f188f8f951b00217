/// \file
/// The error of everything that reads a configuration: which field is wrong, and why.
#pragma once

#include <stdexcept>
#include <string>

namespace wingproxy::config {

/// A configuration, an endpoint list or an environment variable cannot be used. `what()` is one line,
/// "FIELD: reason".
struct ConfigError : std::runtime_error {
    /// \param fieldPath the field as in the file, e.g. "limits.sockets"; an environment variable's name; or
    /// the
    ///                  name of the whole document or file where no field of it is at fault
    /// \param reason what is wrong with it
    ConfigError(std::string fieldPath, std::string reason);

    const std::string fieldPath;
    const std::string reason;
};

}  // namespace wingproxy::config
