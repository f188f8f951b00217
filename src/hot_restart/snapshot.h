// What one process of a front tells the next, as bytes. No I/O and no clock.
#pragma once

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "net/engine.h"

namespace wingproxy::hot_restart {

struct Snapshot {
    std::string front;   // its name
    Micros takenAt = 0;  // Unix microseconds
    net::EngineSnapshot engine;
    std::vector<std::string> openRequestIds;  // Req-Ids that the old process has not answered yet
};
// A snapshot is read within milliseconds; one that is older was left behind by another pair of processes.
constexpr Micros kFresh = 10'000'000;
// Far above what a process within any memory limit of the pages keeps; more is no snapshot.
constexpr std::size_t kMostBytes = 32 * 1024 * 1024;

std::string encode(const Snapshot& snapshot);
struct Refused {
    std::string why;
};
// Magic, version, length and CRC are checked before anything is read: the whole or nothing.
std::variant<Snapshot, Refused> decode(std::string_view bytes, std::string_view front, Micros now);

std::string encodeOverrides(const core::AdminOverrides& overrides);
std::variant<core::AdminOverrides, Refused> decodeOverrides(std::string_view bytes);
core::AdminOverrides merge(
    core::AdminOverrides a,
    const core::AdminOverrides& b);  // of each node the newer one; the same in any order

}  // namespace wingproxy::hot_restart
