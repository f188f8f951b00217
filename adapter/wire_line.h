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

/// Malformed input. `what()` is "line NUMBER (MESSAGE), field FIELD: REASON".
struct WireError : std::runtime_error {
    /// \param messageName the first word of the line; empty if it has none
    /// \param field the key of the field that is missing or malformed
    /// \param reason what is wrong with that field
    WireError(std::size_t lineNumber, const std::string& messageName, std::string field, std::string reason);

    const std::size_t lineNumber;  ///< from 1
    const std::string field;
    const std::string reason;
};

/// A text in double quotes, for error messages.
std::string quote(std::string_view text);

/// A parsed line. It refers to the text that it was constructed from, which must outlive it.
///
/// If a key is repeated, its first field is used. The functions that read a field throw `WireError` if it is
/// malformed, and those without a default also if it is missing.
class WireLine {
public:
    /// One "key=value". The first "=" is the separator; values may contain further ones.
    struct Field {
        std::string_view key;
        std::string_view value;
    };

    /// Splits a line at its spaces; a trailing carriage return is dropped.
    /// \param number of the line in the input, from 1, for errors
    /// \throws WireError if the message name is missing or a word after it is not of the form "key=value"
    WireLine(std::string_view text, std::size_t number);

    /// The message name, the first word of the line; never empty.
    std::string_view name() const { return name_; }
    /// All fields, in order.
    const std::vector<Field>& fields() const { return fields_; }

    /// Whether the line has this field, even with an empty value.
    bool has(std::string_view key) const;
    /// The unparsed value, which may be empty.
    std::string_view text(std::string_view key) const;
    /// As above, or `defaultValue` if the field is missing.
    std::string_view text(std::string_view key, std::string_view defaultValue) const;
    /// A signed decimal integer of 64 bits.
    std::int64_t integer(std::string_view key) const;
    /// As above, or `defaultValue` if the field is missing.
    std::int64_t integer(std::string_view key, std::int64_t defaultValue) const;
    /// An unsigned decimal integer of 64 bits, e.g. a request id.
    std::uint64_t unsignedInteger(std::string_view key) const;
    /// A decimal number, or `defaultValue` if the field is missing.
    double number(std::string_view key, double defaultValue) const;
    /// True for "1", false for "0" and if the field is missing; any other value is malformed.
    bool flag(std::string_view key) const;
    /// The enumerator that the field names, out of `values`.
    template <typename T, std::size_t Count>
    T choice(std::string_view key, const config::NamedValues<T, Count>& values) const {
        const auto value = values.find(text(key));
        if (!value) fail(key, "unknown " + std::string(values.kind) + " " + quote(text(key)));
        return *value;
    }

    /// Throws a `WireError` about a field of this line, which need not exist.
    [[noreturn]] void fail(std::string_view field, std::string reason) const;

private:
    const std::string_view* find(std::string_view key) const;

    std::string_view name_;
    std::vector<Field> fields_;
    std::size_t number_;
};

/// The items of a comma-separated list: none for an empty text, and no empty item after a trailing comma. The
/// items refer to the text of `list`.
std::vector<std::string_view> splitList(std::string_view list);

}  // namespace wingproxy::wire
