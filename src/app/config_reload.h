/// \file
/// Reads the configuration file again, on SIGHUP.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "config/config.h"
#include "log/log.h"

namespace wingproxy::app {

/// Checks the new file completely before any of it is used; a wrong one changes nothing. Requests in flight
/// are not affected. Each reload is one log line.
class ConfigReload {
public:
    /// Counted since the start of the process.
    struct Counters {
        std::uint64_t applied = 0;   ///< files that were taken over
        std::uint64_t rejected = 0;  ///< files that could not be read, decoded or applied
    };
    /// Takes over the fields that a running program can change; an exception of it counts as a rejected file.
    using ApplyConfig = std::function<void(const config::Config& fresh)>;

    /// \param path of the configuration file
    /// \param atStart the configuration with which the process started; fields of a new file that differ from
    ///        it and need a restart are named in the log. It and the logger outlive this object.
    /// \param apply called once for each file that decodes
    ConfigReload(std::string path, const config::Config& atStart, ApplyConfig apply, log::Logger& logger);

    /// Reads the file and applies it, or logs why it is wrong. Does not throw.
    void reload();

    /// Reloads by their result. Valid as long as this object.
    [[nodiscard]] const Counters& counters() const { return counters_; }

private:
    std::string path_;
    const config::Config& atStart_;
    ApplyConfig apply_;
    log::Logger& logger_;
    Counters counters_;
};

}  // namespace wingproxy::app
