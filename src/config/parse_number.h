/// \file
/// Parses text that consists of one number. Header-only, so that every module may use it.
#pragma once

#include <charconv>
#include <concepts>
#include <optional>
#include <string_view>
#include <system_error>

namespace wingproxy::config {

/// The number that `text` consists of; empty if `text` is empty, has anything before or after the number, or
/// is out of T's range.
template <typename T>
std::optional<T> parseNumber(std::string_view text) {
    T value{};
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value);
    if (error != std::errc() || end != last) return std::nullopt;
    return value;
}

/// Like `parseNumber`, for an integer in hexadecimal digits without a prefix.
template <std::integral T>
std::optional<T> parseHexadecimal(std::string_view text) {
    constexpr int kBase = 16;
    T value{};
    const char* const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, value, kBase);
    if (error != std::errc() || end != last) return std::nullopt;
    return value;
}

}  // namespace wingproxy::config
