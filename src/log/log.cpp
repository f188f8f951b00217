#include "log/log.h"

#include <string>

namespace wingproxy::log {

void Logger::write(Level level, std::string_view text) {
    static constexpr std::string_view kNames[] = {"debug", "info", "warn", "error"};
    std::string line = fmt::format("{}: ", kNames[static_cast<int>(level)]);
    // What came from outside may hold line breaks: one call stays one line.
    for (const char c : text)
        line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), to_);
    std::fflush(to_);
}

Level levelFrom(std::string_view name) {
    if (name == "debug") return Level::Debug;
    if (name == "warn") return Level::Warn;
    if (name == "error") return Level::Error;
    return Level::Info;
}

}  // namespace wingproxy::log
