// The simulator's wire: one line in, typed values out, and back. Translation only.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wingproxy/policy.h"

namespace wingproxy::wire {

// A malformed line; the message names the line and the field.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// One line of the wire, split into its name and its name=value pairs.
class Line {
public:
    Line(std::string_view text, std::size_t number);
    std::string_view name() const { return name_; }
    bool has(std::string_view key) const;
    std::string_view text(std::string_view key) const;  // required
    std::string_view text(std::string_view key, std::string_view absent) const;
    std::int64_t integer(std::string_view key) const;  // required
    std::int64_t integer(std::string_view key, std::int64_t absent) const;
    std::uint64_t natural(std::string_view key) const;  // required
    double number(std::string_view key, double absent) const;
    bool flag(std::string_view key) const;  // absent: false
    const std::vector<std::pair<std::string_view, std::string_view>>& pairs() const { return pairs_; }
    [[noreturn]] void bad(std::string_view field, const std::string& why) const;

private:
    const std::string_view* find(std::string_view key) const;
    std::string_view name_;
    std::vector<std::pair<std::string_view, std::string_view>> pairs_;
    std::size_t number_;
};

std::string encodeBase64(std::string_view bytes);  // "-" if empty
bool decodeBase64(std::string_view text, std::string& bytes);

Settings parseSettings(const Line& up);
NodeInfo parseNode(const Line& entry);
Request parseRequest(const Line& line, const Settings& settings);
AttemptOutcome parseEnded(const Line& line);
HealthCheckCompleted parseProbe(const Line& line);
PeerMessageReceived parseMessage(const Line& line);

void format(const Action& action, std::string_view who, std::string& out);  // appends one line

}  // namespace wingproxy::wire
