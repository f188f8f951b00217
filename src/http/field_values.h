/// \file
/// Parses header field values of requests and node responses. Stateless.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace wingproxy::http {

/// Converts any string view type to the standard's, such as Boost's, which is a type of its own.
template <typename View>
std::string_view toStringView(const View& text) {
    return {text.data(), text.size()};
}

/// Removes leading and trailing spaces and tabs.
std::string_view trimWhitespace(std::string_view text);

/// Parses `text` as a finite decimal number; nothing if any part of it is not one.
template <typename Number>
std::optional<Number> parseNumber(std::string_view text) {
    Number value{};
    const auto* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    if (text.empty() || error != std::errc() || end != last) return std::nullopt;
    if constexpr (std::is_floating_point_v<Number>)
        if (!std::isfinite(value)) return std::nullopt;
    return value;
}

/// Whether `text` is an identifier of 16 hexadecimal digits.
bool isHex16(std::string_view text);

/// Finds the value of the first parameter `name` in a list "name=value<separator>name=value".
std::optional<std::string_view> findParameter(std::string_view list, char separator, std::string_view name);

}  // namespace wingproxy::http
