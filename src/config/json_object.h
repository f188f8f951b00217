/// \file
/// Reads JSON objects with errors that name the field. It wraps simdjson's DOM: only the sources of this
/// folder include it, so that no other module depends on simdjson.
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

namespace wingproxy::config {

/// One object of a JSON document and its path from the root. Valid as long as the parser that read the
/// document.
///
/// Functions that return a value need the field: they throw ConfigError if it is missing. Functions with a
/// target leave it as it is if the field is missing. A field that is null counts as missing; one of another
/// type is an error in both.
class JsonObject {
public:
    /// \param path prefix of the fields' names in errors: empty, or ending in "."
    JsonObject(simdjson::dom::object object, std::string path);

    bool has(std::string_view key) const;

    std::string text(std::string_view key) const;
    void text(std::string_view key, std::string& into) const;

    /// A finite number.
    double real(std::string_view key) const;
    /// A finite number up to 9e15 either way; an integral target drops the fraction.
    template <typename T>
    void number(std::string_view key, T& into) const {
        // Doubles hold all integers up to 2^53, about 9e15, and a greater one may not fit in 64 bits.
        constexpr double kLargest = 9e15;
        if (!has(key)) return;
        const double value = real(key);
        if (std::abs(value) > kLargest) fail(key, "out of range");
        into = static_cast<T>(value);
    }
    void flag(std::string_view key, bool& into) const;
    /// A text that is one of the names in `values`.
    template <typename T, std::size_t Count>
    void choice(std::string_view key, T& into, const NamedValues<T, Count>& values) const {
        if (!has(key)) return;
        const auto name = text(key);
        const auto value = values.find(name);
        if (!value) fail(key, fmt::format("unknown value '{}'", name));
        into = *value;
    }

    /// The object of this name.
    JsonObject child(std::string_view key) const;
    /// The elements of a list, of whatever type.
    std::vector<simdjson::dom::element> list(std::string_view key) const;
    std::vector<JsonObject> objects(std::string_view key) const;
    std::vector<std::string> texts(std::string_view key) const;

    /// Throws a ConfigError about a field of this object.
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
/// \param documentName names the document in the error if it is no JSON object
JsonObject parseJsonObject(simdjson::dom::parser& parser, std::string_view json,
                           std::string_view documentName);

}  // namespace wingproxy::config
