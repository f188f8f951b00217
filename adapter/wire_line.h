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

/// Input that breaks the rules of the wire. `what()` is "line NUMBER (MESSAGE), field FIELD: REASON".
struct WireError : std::runtime_error {
    /// \param messageName the name that the line begins with; empty if it has none
    /// \param field the key of the field that is missing or malformed
    /// \param reason what is wrong with it
    WireError(std::size_t lineNumber, const std::string& messageName, std::string field, std::string reason);

    const std::size_t lineNumber;  ///< from 1
    const std::string field;
    const std::string reason;
};

/// A parsed line. It refers to the text that it was made of, which must outlive it.
///
/// Where a key is repeated its first field counts. The functions that read a field throw WireError if it is
/// malformed, and those without a default also if it is missing.
class WireLine {
public:
    /// One "key=value". Only the first "=" separates, so that values may hold more of them.
    struct Field {
        std::string_view key;
        std::string_view value;
    };

    /// Splits a line at its spaces; a carriage return at its end is dropped.
    /// \param number of the line in the input, from 1, for errors
    /// \throws WireError if the message name is missing or something is no "key=value"
    WireLine(std::string_view text, std::size_t number);

    /// The message name, the first word of the line; never empty.
    std::string_view name() const { return name_; }
    /// All fields, in order.
    const std::vector<Field>& fields() const { return fields_; }

    /// Whether the line has this field, also with an empty value.
    bool has(std::string_view key) const;
    /// The value as it stands in the line, maybe empty.
    std::string_view text(std::string_view key) const;
    /// As above, or `absent` if the field is missing.
    std::string_view text(std::string_view key, std::string_view absent) const;
    /// A decimal integer of 64 bits, maybe negative.
    std::int64_t integer(std::string_view key) const;
    /// As above, or `absent` if the field is missing.
    std::int64_t integer(std::string_view key, std::int64_t absent) const;
    /// A decimal integer of 64 bits that is not negative, e.g. a request id.
    std::uint64_t natural(std::string_view key) const;
    /// A decimal number, or `absent` if the field is missing.
    double number(std::string_view key, double absent) const;
    /// Whether the value is "1" and not "0"; false if the field is missing.
    bool flag(std::string_view key) const;
    /// A text that is one of the names in `values`.
    template <typename T, std::size_t Count>
    T choice(std::string_view key, const config::NamedValues<T, Count>& values) const {
        const auto value = values.find(text(key));
        if (!value) fail(key, "unknown " + std::string(values.kind));
        return *value;
    }

    /// Throws a WireError about a field of this line, which need not exist.
    [[noreturn]] void fail(std::string_view field, std::string reason) const;

private:
    const std::string_view* find(std::string_view key) const;

    std::string_view name_;
    std::vector<Field> fields_;
    std::size_t number_;
};

/// The items of a value that is a list separated by commas: none for an empty value, and no empty item after
/// a comma at the end. They refer to the value's text.
std::vector<std::string_view> splitList(std::string_view list);

}  // namespace wingproxy::wire
