// Reading JSON with messages that name the field. Only for the sources of this folder.
#pragma once

#include <fmt/format.h>
#include <simdjson.h>

#include <cmath>
#include <string>
#include <vector>

#include "config/config.h"

namespace wingproxy::config {

using simdjson::dom::array;
using simdjson::dom::element;
using simdjson::dom::object;

// One object of the JSON, with its path for messages. A missing optional member keeps the default.
class Node {
public:
    Node(object at, std::string path) : at_(at), path_(std::move(path)) {}

    bool has(std::string_view key) const {
        element e;
        return !at_.at_key(key).get(e) && !e.is_null();
    }
    element need(std::string_view key) const {
        element e;
        if (at_.at_key(key).get(e) || e.is_null()) bad(key, "missing");
        return e;
    }
    std::string text(std::string_view key) const {
        std::string_view v;
        if (need(key).get(v)) bad(key, "not a text");
        return std::string(v);
    }
    void text(std::string_view key, std::string& into) const {
        if (has(key)) into = text(key);
    }
    double real(std::string_view key) const {
        double v = 0;
        if (need(key).get(v) || !std::isfinite(v)) bad(key, "not a number");
        return v;
    }
    template <typename T>
    void number(std::string_view key, T& into) const {
        if (!has(key)) return;
        const double v = real(key);
        if (std::abs(v) > 9e15) bad(key, "out of range");
        into = static_cast<T>(v);
    }
    void flag(std::string_view key, bool& into) const {
        if (has(key) && need(key).get(into)) bad(key, "not true or false");
    }
    Node child(std::string_view key) const {
        object o;
        if (need(key).get(o)) bad(key, "not an object");
        return Node(o, path_ + std::string(key) + ".");
    }
    std::vector<element> list(std::string_view key) const {
        array a;
        if (need(key).get(a)) bad(key, "not a list");
        return {a.begin(), a.end()};
    }
    std::vector<Node> objects(std::string_view key) const {
        std::vector<Node> nodes;
        for (const auto& e : list(key)) {
            object o;
            const auto where = fmt::format("{}.{}", key, nodes.size());
            if (e.get(o)) bad(where, "not an object");
            nodes.emplace_back(o, path_ + where + ".");
        }
        return nodes;
    }
    std::vector<std::string> texts(std::string_view key) const {
        std::vector<std::string> out;
        for (const auto& e : list(key)) {
            std::string_view v;
            if (e.get(v)) bad(fmt::format("{}.{}", key, out.size()), "not a text");
            out.emplace_back(v);
        }
        return out;
    }
    [[noreturn]] void bad(std::string_view key, std::string_view why) const {
        throw ConfigError(fmt::format("{}{}: {}", path_, key, why));
    }
    std::string pathOf(std::string_view key) const { return path_ + std::string(key); }

private:
    object at_;
    std::string path_;
};

inline Node rootOf(simdjson::dom::parser& parser, std::string_view json, std::string_view what) {
    object root;
    if (const auto error = parser.parse(json.data(), json.size()).get(root))
        throw ConfigError(fmt::format("{}: {}", what, simdjson::error_message(error)));
    return Node(root, "");
}

template <typename T>
T choice(const Node& at, std::string_view key, T absent,
         std::initializer_list<std::pair<std::string_view, T>> values) {
    if (!at.has(key)) return absent;
    const auto text = at.text(key);
    for (const auto& [name, value] : values)
        if (name == text) return value;
    at.bad(key, fmt::format("unknown value '{}'", text));
}

}  // namespace wingproxy::config
