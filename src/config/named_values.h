/// \file
/// Constant tables that map the names of a file or wire format to the values of an enumeration.
/// Header-only, so that every module may use it.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace wingproxy::config {

/// An enumeration value and its name in the format.
template <typename T>
struct NamedValue {
    std::string_view name;
    T value;
};

/// All names of the format for one enumeration.
template <typename T, std::size_t Count>
struct NamedValues {
    std::string_view kind;  ///< what the names stand for, in the error "unknown KIND"
    std::array<NamedValue<T>, Count> entries;

    /// The value with this name; empty if the format has no such name.
    constexpr std::optional<T> find(std::string_view name) const {
        for (const auto& entry : entries)
            if (entry.name == name) return entry.value;
        return std::nullopt;
    }
};

}  // namespace wingproxy::config
