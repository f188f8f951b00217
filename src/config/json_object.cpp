#include "config/json_object.h"

#include <utility>

namespace wingproxy::config {

using simdjson::dom::element;

JsonObject::JsonObject(simdjson::dom::object object, std::string path)
    : object_(object), path_(std::move(path)) {}

bool JsonObject::has(std::string_view key) const {
    element value;
    return !object_.at_key(key).get(value) && !value.is_null();
}

element JsonObject::required(std::string_view key) const {
    element value;
    if (object_.at_key(key).get(value) || value.is_null()) fail(key, "missing");
    return value;
}

std::string JsonObject::text(std::string_view key) const {
    std::string_view value;
    if (required(key).get(value)) fail(key, "not a string");
    return std::string(value);
}

void JsonObject::text(std::string_view key, std::string& into) const {
    if (has(key)) into = text(key);
}

double JsonObject::real(std::string_view key) const {
    double value = 0;
    if (required(key).get(value) || !std::isfinite(value)) fail(key, "not a number");
    return value;
}

void JsonObject::milliseconds(std::string_view key, Micros& into) const {
    constexpr Micros kMicrosPerMilli = 1000;
    if (!has(key)) return;
    Micros value = 0;
    number(key, value);
    into = value * kMicrosPerMilli;
}

void JsonObject::flag(std::string_view key, bool& into) const {
    if (has(key) && required(key).get(into)) fail(key, "not true or false");
}

JsonObject JsonObject::child(std::string_view key) const {
    simdjson::dom::object object;
    if (required(key).get(object)) fail(key, "not an object");
    return {object, pathOf(key) + "."};
}

std::vector<element> JsonObject::list(std::string_view key) const {
    simdjson::dom::array array;
    if (required(key).get(array)) fail(key, "not an array");
    return {array.begin(), array.end()};
}

std::vector<JsonObject> JsonObject::objects(std::string_view key) const {
    std::vector<JsonObject> objects;
    for (const auto& item : list(key)) {
        simdjson::dom::object object;
        const auto itemKey = fmt::format("{}.{}", key, objects.size());
        if (item.get(object)) fail(itemKey, "not an object");
        objects.emplace_back(object, pathOf(itemKey) + ".");
    }
    return objects;
}

std::vector<std::string> JsonObject::texts(std::string_view key) const {
    std::vector<std::string> texts;
    for (const auto& item : list(key)) {
        std::string_view value;
        if (item.get(value)) fail(fmt::format("{}.{}", key, texts.size()), "not a string");
        texts.emplace_back(value);
    }
    return texts;
}

void JsonObject::fail(std::string_view key, std::string_view reason) const {
    throw ConfigError(pathOf(key), std::string(reason));
}

std::string JsonObject::pathOf(std::string_view key) const { return path_ + std::string(key); }

JsonObject parseJsonObject(simdjson::dom::parser& parser, std::string_view json,
                           std::string_view documentName) {
    simdjson::dom::object root;
    if (const auto error = parser.parse(json.data(), json.size()).get(root))
        throw ConfigError(std::string(documentName), simdjson::error_message(error));
    return {root, ""};
}

}  // namespace wingproxy::config
