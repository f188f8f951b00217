/// \file
/// The program's log: lines with a level on standard error, which the platform collects.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string_view>
#include <utility>

namespace wingproxy::log {

/// How serious a message is, from the least to the most.
enum class Level { Debug, Info, Warn, Error };

/// Writes the messages of one level and above; each is one line, "LEVEL: message".
///
/// Each line is flushed, so a message for each request would cost a system call each: not for those.
/// Format strings are checked when the caller is compiled.
class Logger {
public:
    /// \param threshold the lowest level that is written
    /// \param stream must outlive the logger
    explicit Logger(Level threshold = Level::Info, std::FILE* stream = stderr)
        : threshold_(threshold), stream_(stream) {}

    /// Writes one message if `level` reaches the threshold; otherwise the arguments are not formatted.
    template <typename... Args>
    void log(Level level, fmt::format_string<Args...> format, Args&&... args) {
        if (isEnabled(level)) writeLine(level, fmt::vformat(format, fmt::make_format_args(args...)));
    }
    /// Whether messages of this level are written.
    [[nodiscard]] bool isEnabled(Level level) const { return level >= threshold_; }
    /// For those who look for a fault: too much for everyday operation.
    template <typename... Args>
    void debug(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Debug, format, std::forward<Args>(args)...);
    }
    /// What an operator may want to know afterwards, e.g. a start, a reload or a shutdown.
    template <typename... Args>
    void info(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Info, format, std::forward<Args>(args)...);
    }
    /// Something failed and the program works around it.
    template <typename... Args>
    void warn(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Warn, format, std::forward<Args>(args)...);
    }
    /// What was to be done is not done, and an operator has to act.
    template <typename... Args>
    void error(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Error, format, std::forward<Args>(args)...);
    }

private:
    void writeLine(Level level, std::string_view message);

    Level threshold_;
    std::FILE* stream_;
};

/// The level of this name: "debug", "info", "warn" or "error"; Info for any other text, as a mistyped level
/// must not keep the program from starting.
Level parseLevel(std::string_view name);

}  // namespace wingproxy::log
