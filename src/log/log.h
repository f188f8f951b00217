/// \file
/// Leveled logging to standard error, which the platform collects.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string_view>
#include <utility>

namespace wingproxy::log {

/// Severity of a message, in ascending order.
enum class Level { Debug, Info, Warn, Error };

/// Writes messages at or above a threshold, each as one line, "LEVEL: message".
///
/// Each line is flushed, which costs a system call, so messages per request belong to Debug only. Format
/// strings are checked at compile time.
class Logger {
public:
    /// \param threshold the lowest level that is written
    /// \param stream must outlive the logger
    explicit Logger(Level threshold = Level::Info, std::FILE* stream = stderr)
        : threshold_(threshold), stream_(stream) {}

    /// Writes a message if `level` is enabled; otherwise the arguments are not formatted.
    template <typename... Args>
    void log(Level level, fmt::format_string<Args...> format, Args&&... args) {
        if (isEnabled(level)) writeLine(level, fmt::vformat(format, fmt::make_format_args(args...)));
    }
    /// Whether messages of this level are written.
    [[nodiscard]] bool isEnabled(Level level) const { return level >= threshold_; }
    /// Details for debugging; too verbose for normal operation.
    template <typename... Args>
    void debug(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Debug, format, std::forward<Args>(args)...);
    }
    /// Normal events that an operator may want to look up later, e.g. a start, a reload or a shutdown.
    template <typename... Args>
    void info(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Info, format, std::forward<Args>(args)...);
    }
    /// A failure that the program works around.
    template <typename... Args>
    void warn(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Warn, format, std::forward<Args>(args)...);
    }
    /// A failure that requires action by an operator: an operation was not carried out.
    template <typename... Args>
    void error(fmt::format_string<Args...> format, Args&&... args) {
        log(Level::Error, format, std::forward<Args>(args)...);
    }

private:
    void writeLine(Level level, std::string_view message);

    Level threshold_;
    std::FILE* stream_;
};

/// Parses a level's name: "debug", "info", "warn" or "error". Returns Info for any other text, so that a
/// mistyped level does not keep the program from starting.
Level parseLevel(std::string_view name);

}  // namespace wingproxy::log
