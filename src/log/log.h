// One small logger: a level, one line a call, to standard error. Never called once per request.
#pragma once

#include <fmt/format.h>

#include <cstdio>
#include <string_view>

namespace wingproxy::log {

enum class Level { Debug, Info, Warn, Error };

class Logger {
public:
    explicit Logger(Level least = Level::Info, std::FILE* to = stderr) : least_(least), to_(to) {}
    template <typename... Args>
    void debug(fmt::format_string<Args...> f, Args&&... a) {
        line(Level::Debug, f, a...);
    }
    template <typename... Args>
    void info(fmt::format_string<Args...> f, Args&&... a) {
        line(Level::Info, f, a...);
    }
    template <typename... Args>
    void warn(fmt::format_string<Args...> f, Args&&... a) {
        line(Level::Warn, f, a...);
    }
    template <typename... Args>
    void error(fmt::format_string<Args...> f, Args&&... a) {
        line(Level::Error, f, a...);
    }

private:
    template <typename Format, typename... Args>
    void line(Level level, const Format& f, Args&... a) {
        if (level >= least_) write(level, fmt::vformat(f, fmt::make_format_args(a...)));
    }
    void write(Level level, std::string_view text);
    Level least_;
    std::FILE* to_;
};

Level levelFrom(std::string_view name);  // "debug", "info", "warn", "error"; anything else is info

}  // namespace wingproxy::log
