#include "log/log.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string>

namespace wingproxy::log {
namespace {

struct LevelName {
    Level level;
    std::string_view name;
};
constexpr std::array<LevelName, 4> kLevelNames{
    {{Level::Debug, "debug"}, {Level::Info, "info"}, {Level::Warn, "warn"}, {Level::Error, "error"}}};

std::string_view nameOf(Level level) {
    return std::find_if(kLevelNames.begin(), kLevelNames.end(),
                        [level](const LevelName& entry) { return entry.level == level; })
        ->name;
}

bool isControlCharacter(char c) { return static_cast<unsigned char>(c) < 0x20; }

}  // namespace

void Logger::writeLine(Level level, std::string_view message) {
    std::string line = fmt::format("{}: ", nameOf(level));
    // Text from clients and nodes may contain line breaks, after which it would look like another message.
    std::replace_copy_if(message.begin(), message.end(), std::back_inserter(line), isControlCharacter, ' ');
    line += '\n';
    std::fwrite(line.data(), 1, line.size(), stream_);
    std::fflush(stream_);
}

Level parseLevel(std::string_view name) {
    const auto* const found = std::find_if(kLevelNames.begin(), kLevelNames.end(),
                                           [name](const LevelName& entry) { return entry.name == name; });
    return found == kLevelNames.end() ? Level::Info : found->level;
}

}  // namespace wingproxy::log
