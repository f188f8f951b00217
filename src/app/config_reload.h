/// \file
/// Reloads the configuration file on SIGHUP.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "config/config.h"
#include "log/log.h"

namespace wingproxy::app {

/// Validates the new file completely before any of it is applied; an invalid file changes nothing. Requests
/// in flight are not affected. Each reload writes one log line.
class ConfigReload {
public:
    /// Totals since the start of the process.
    struct Counters {
        std::uint64_t applied = 0;   ///< files that were applied
        std::uint64_t rejected = 0;  ///< files that could not be read, decoded or applied
    };
    /// Applies the fields that a running program can change. If it throws, the file counts as rejected.
    using ApplyConfig = std::function<void(const config::Config& newConfig)>;

    /// \param path of the configuration file
    /// \param atStart the configuration with which the process started; the log names the fields of a new
    ///     file that differ from it and need a restart. It and the logger outlive this object.
    /// \param apply called once for each valid file
    ConfigReload(std::string path, const config::Config& atStart, ApplyConfig apply, log::Logger& logger);

    /// Reads and applies the file, or logs why it is rejected. Does not throw.
    void reload();

    /// Valid as long as this object.
    [[nodiscard]] const Counters& counters() const { return counters_; }

private:
    std::string path_;
    const config::Config& atStart_;
    ApplyConfig apply_;
    log::Logger& logger_;
    Counters counters_;
};

}  // namespace wingproxy::app
