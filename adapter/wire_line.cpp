#include "wire_line.h"

#include <algorithm>
#include <utility>

#include "config/parse_number.h"

namespace wingproxy::wire {

using config::parseNumber;

WireError::WireError(std::size_t lineNumber, const std::string& messageName, std::string field,
                     std::string reason)
    : std::runtime_error("line " + std::to_string(lineNumber) + " (" + messageName + "), field " + field +
                         ": " + reason),
      lineNumber(lineNumber),
      field(std::move(field)),
      reason(std::move(reason)) {}

WireLine::WireLine(std::string_view text, std::size_t number) : number_(number) {
    if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
    name_ = text.substr(0, text.find(' '));
    if (name_.empty()) fail("name", "line without a message name");
    while (text.find(' ') != std::string_view::npos) {
        text.remove_prefix(text.find(' ') + 1);
        const auto part = text.substr(0, text.find(' '));
        if (part.empty()) continue;
        const auto equals = part.find('=');
        if (equals == std::string_view::npos || equals == 0) fail(part, "not of the form key=value");
        fields_.push_back({part.substr(0, equals), part.substr(equals + 1)});
    }
}

const std::string_view* WireLine::find(std::string_view key) const {
    for (const auto& field : fields_)
        if (field.key == key) return &field.value;
    return nullptr;
}

void WireLine::fail(std::string_view field, std::string reason) const {
    throw WireError(number_, std::string(name_), std::string(field), std::move(reason));
}

bool WireLine::has(std::string_view key) const { return find(key) != nullptr; }

std::string_view WireLine::text(std::string_view key) const {
    const auto* const value = find(key);
    if (!value) fail(key, "missing");
    return *value;
}

std::string_view WireLine::text(std::string_view key, std::string_view defaultValue) const {
    const auto* const value = find(key);
    return value ? *value : defaultValue;
}

std::int64_t WireLine::integer(std::string_view key) const {
    const auto value = parseNumber<std::int64_t>(text(key));
    if (!value) fail(key, "not an integer: " + quote(text(key)));
    return *value;
}

std::int64_t WireLine::integer(std::string_view key, std::int64_t defaultValue) const {
    return has(key) ? integer(key) : defaultValue;
}

std::uint64_t WireLine::unsignedInteger(std::string_view key) const {
    const auto value = parseNumber<std::uint64_t>(text(key));
    if (!value) fail(key, "not a non-negative integer: " + quote(text(key)));
    return *value;
}

double WireLine::number(std::string_view key, double defaultValue) const {
    if (!has(key)) return defaultValue;
    const auto value = parseNumber<double>(text(key));
    if (!value) fail(key, "not a number: " + quote(text(key)));
    return *value;
}

bool WireLine::flag(std::string_view key) const {
    const auto value = text(key, "0");
    if (value != "0" && value != "1") fail(key, "not 0 or 1: " + quote(value));
    return value == "1";
}

std::string quote(std::string_view text) { return '"' + std::string(text) + '"'; }

std::vector<std::string_view> splitList(std::string_view list) {
    std::vector<std::string_view> items;
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        items.push_back(list.substr(0, comma));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return items;
}

}  // namespace wingproxy::wire
