/// \file
/// The values of an enumeration by the names that a file or wire format has for them, as a constant table.
/// Header-only, so that every module may use it.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace wingproxy::config {

/// One value of an enumeration and its name in the format.
template <typename T>
struct NamedValue {
    std::string_view name;
    T value;
};

/// All values that the format knows.
template <typename T, std::size_t Count>
struct NamedValues {
    std::string_view kind;  ///< what is named, for errors: "unknown KIND"
    std::array<NamedValue<T>, Count> entries;

    /// The value of this name; empty if the format has no such name.
    constexpr std::optional<T> find(std::string_view name) const {
        for (const auto& entry : entries)
            if (entry.name == name) return entry.value;
        return std::nullopt;
    }
};

}  // namespace wingproxy::config
