/// \file
/// One line of the simulator's wire: a message name and fields of the form "key=value", separated by spaces.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/named_values.h"

namespace wingproxy::wire {

/// Input that is not the wire. `what()` names the line, its message and the field.
struct WireError : std::runtime_error {
    WireError(std::size_t lineNumber, const std::string& messageName, std::string field, std::string reason);

    const std::size_t lineNumber;  ///< from 1
    const std::string field;
    const std::string reason;
};

/// A parsed line. It refers to the text that it was made of, which must outlive it.
///
/// Functions without a default need the field. All throw WireError if the field is missing or malformed.
/// Where a key is repeated its first field counts.
class WireLine {
public:
    struct Field {
        std::string_view key;
        std::string_view value;
    };

    /// \param number of the line in the input, from 1, for errors
    WireLine(std::string_view text, std::size_t number);

    std::string_view name() const { return name_; }
    /// All fields, in order.
    const std::vector<Field>& fields() const { return fields_; }

    bool has(std::string_view key) const;
    std::string_view text(std::string_view key) const;
    std::string_view text(std::string_view key, std::string_view absent) const;
    std::int64_t integer(std::string_view key) const;
    std::int64_t integer(std::string_view key, std::int64_t absent) const;
    std::uint64_t natural(std::string_view key) const;
    double number(std::string_view key, double absent) const;
    /// "1" or "0"; false if it is missing.
    bool flag(std::string_view key) const;
    /// A text that is one of the names in `values`.
    template <typename T, std::size_t Count>
    T choice(std::string_view key, const config::NamedValues<T, Count>& values) const {
        const auto value = values.find(text(key));
        if (!value) fail(key, "unknown " + std::string(values.kind));
        return *value;
    }

    /// Throws a WireError about a field of this line.
    [[noreturn]] void fail(std::string_view field, std::string reason) const;

private:
    const std::string_view* find(std::string_view key) const;

    std::string_view name_;
    std::vector<Field> fields_;
    std::size_t number_;
};

}  // namespace wingproxy::wire
