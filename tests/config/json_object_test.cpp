// JSON objects: required and optional fields, and the paths in errors.
#include "config/json_object.h"

#include "config_test_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

/// Owns the document that the object refers to.
struct Document {
    explicit Document(std::string_view json) : object(config::parseJsonObject(parser, json, "document")) {}
    simdjson::dom::parser parser;
    config::JsonObject object;
};

}  // namespace

TEST_CASE("JSON object: a text that is not a JSON object is an error that names the document") {
    CHECK(errorOf([] { Document("[]"); }).starts_with("document: "));
    CHECK(errorOf([] { Document("{"); }).starts_with("document: "));
}

TEST_CASE("JSON object: null counts as missing") {
    const Document document(R"({"a":null,"b":0})");
    CHECK(!document.object.has("a"));
    CHECK(document.object.has("b"));
    CHECK(errorOf([&] { (void)document.object.text("a"); }) == "a: missing");
}

TEST_CASE("JSON object: a missing optional field leaves its target unchanged") {
    const Document document("{}");
    int number = 5;
    bool flag = true;
    std::string text = "text";
    document.object.number("a", number);
    document.object.flag("a", flag);
    document.object.text("a", text);
    CHECK(number == 5);
    CHECK(flag);
    CHECK(text == "text");
}

TEST_CASE("JSON object: a field of another type is an error") {
    const Document document(R"({"number":"1","flag":1,"text":1,"object":[],"list":{},"large":1e16})");
    int number = 0;
    bool flag = false;
    CHECK(errorOf([&] { document.object.number("number", number); }) == "number: not a number");
    CHECK(errorOf([&] { document.object.number("large", number); }) == "large: 1e+16 is out of range");
    CHECK(errorOf([&] { document.object.flag("flag", flag); }) == "flag: not true or false");
    CHECK(errorOf([&] { (void)document.object.text("text"); }) == "text: not a string");
    CHECK(errorOf([&] { (void)document.object.child("object"); }) == "object: not an object");
    CHECK(errorOf([&] { (void)document.object.list("list"); }) == "list: not an array");
}

TEST_CASE("JSON object: an error names the path from the root") {
    const Document document(R"({"outer":{"items":[{"name":"a"},{"name":1}],"texts":["a",2]}})");
    const auto outer = document.object.child("outer");
    CHECK(errorOf([&] { (void)outer.objects("items")[1].text("name"); }) ==
          "outer.items.1.name: not a string");
    CHECK(errorOf([&] { (void)outer.texts("texts"); }) == "outer.texts.1: not a string");
}

TEST_CASE("JSON object: milliseconds become microseconds, without a fraction of a millisecond") {
    const Document document(R"({"time":1500.9,"text":"1"})");
    Micros time = 7;
    document.object.milliseconds("missing", time);
    CHECK(time == 7);
    document.object.milliseconds("time", time);
    CHECK(time == 1'500'000);
    CHECK(errorOf([&] { document.object.milliseconds("text", time); }) == "text: not a number");
}

TEST_CASE("JSON object: a choice is one of the format's names") {
    constexpr config::NamedValues<int, 2> kNames{"size", {{{"small", 1}, {"large", 2}}}};
    const Document document(R"({"known":"large","unknown":"huge"})");
    int size = 0;
    document.object.choice("known", size, kNames);
    CHECK(size == 2);
    CHECK(errorOf([&] { document.object.choice("unknown", size, kNames); }) ==
          "unknown: unknown value 'huge'");
}
