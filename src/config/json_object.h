/// \file
/// Reads fields of JSON objects, with errors that name the field. Wraps simdjson's DOM: only the sources of
/// this folder include this file, so that no other module depends on simdjson.
#pragma once

#include <fmt/format.h>
#include <simdjson.h>

#include <cmath>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"
#include "config/named_values.h"
#include "wingproxy/policy.h"

namespace wingproxy::config {

/// One object of a JSON document and its path from the root. Valid until the parser that read the document is
/// destroyed or reads another one.
///
/// Functions that return a value read required fields: they throw ConfigError if the field is missing.
/// Functions with a target `into` read optional fields: they leave the target unchanged if the field is
/// missing. A field that is null counts as missing; a field of another type is an error in both.
class JsonObject {
public:
    /// \param path prefix of the fields' names in errors: empty, or ending in "."
    JsonObject(simdjson::dom::object object, std::string path);

    /// Whether the field exists and is not null, whatever its type.
    bool has(std::string_view key) const;

    /// A required string; it may be empty.
    std::string text(std::string_view key) const;
    /// An optional string.
    void text(std::string_view key, std::string& into) const;

    /// A required finite number.
    double real(std::string_view key) const;
    /// An optional number of magnitude 9e15 at most; an integral target drops the fraction.
    template <typename T>
    void number(std::string_view key, T& into) const {
        // Doubles represent all integers up to 2^53, about 9e15; a greater number may not fit in 64 bits.
        constexpr double kMaxMagnitude = 9e15;
        if (!has(key)) return;
        const double value = real(key);
        if (std::abs(value) > kMaxMagnitude) fail(key, fmt::format("{} is out of range", value));
        into = static_cast<T>(value);
    }
    /// An optional duration or time, in milliseconds in the file and in microseconds in the target.
    void milliseconds(std::string_view key, Micros& into) const;
    /// An optional boolean; numbers and strings are errors.
    void flag(std::string_view key, bool& into) const;
    /// An optional string that is one of the names in `values`.
    template <typename T, std::size_t Count>
    void choice(std::string_view key, T& into, const NamedValues<T, Count>& values) const {
        if (!has(key)) return;
        const auto name = text(key);
        const auto value = values.find(name);
        if (!value) fail(key, fmt::format("unknown value '{}'", name));
        into = *value;
    }

    /// A required object. Its errors name the fields by their paths from the root.
    JsonObject child(std::string_view key) const;
    /// The elements of a required array, of any type.
    std::vector<simdjson::dom::element> list(std::string_view key) const;
    /// A required array of objects; an element of another type is an error that names its index.
    std::vector<JsonObject> objects(std::string_view key) const;
    /// A required array of strings; an element of another type is an error that names its index.
    std::vector<std::string> texts(std::string_view key) const;

    /// Throws a ConfigError about a field of this object, which need not exist.
    [[noreturn]] void fail(std::string_view key, std::string_view reason) const;
    /// The field's path from the root, e.g. "settings.classes.0.effect".
    std::string pathOf(std::string_view key) const;

private:
    simdjson::dom::element required(std::string_view key) const;

    simdjson::dom::object object_;
    std::string path_;
};

/// Parses a document whose root is an object.
/// \param parser owns the document's memory and must outlive the result
/// \param documentName names the document in the error
/// \throws ConfigError if the document is not a JSON object
JsonObject parseJsonObject(simdjson::dom::parser& parser, std::string_view json,
                           std::string_view documentName);

}  // namespace wingproxy::config
