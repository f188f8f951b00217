/// \file
/// Parsing of header field values, the same for requests and node responses. Stateless.
#pragma once

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>
#include <system_error>
#include <type_traits>

namespace wingproxy::http {

/// A view of `text`, which is any string view type (Boost's is not the standard's).
template <typename View>
std::string_view toStringView(const View& text) {
    return {text.data(), text.size()};
}

/// `text` without leading and trailing spaces and tabs.
std::string_view trimWhitespace(std::string_view text);

/// A finite decimal number that spans the whole of `text`, otherwise nothing.
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

/// The value of the first parameter `name` in a list "name=value<separator>name=value", if it is there.
std::optional<std::string_view> findParameter(std::string_view list, char separator, std::string_view name);

}  // namespace wingproxy::http
