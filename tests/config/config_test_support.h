/// \file
/// Helpers of the configuration's tests: a valid configuration, changes to it, and the error that one causes.
#pragma once

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

#include "config/config.h"

namespace wingproxy::test {

/// A valid configuration.
inline std::string validConfig() {
    return config::readFile(std::string(WINGPROXY_SOURCE) + "/tests/support/config.json");
}

/// `text` with the first `from` in it replaced, which must be there.
inline std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

/// The text of the ConfigError that `function` throws; empty if it throws none.
template <typename Function>
std::string errorOf(Function&& function) {
    try {
        function();
    } catch (const config::ConfigError& error) {
        CHECK(error.what() == error.fieldPath + ": " + error.reason);
        return error.what();
    }
    return "";
}

/// A change to a valid document that makes it invalid, and how the error begins.
struct InvalidChange {
    const char* from;
    const char* to;
    const char* errorStart;
};

/// Checks that each change makes `parse` fail on the document, with one line that begins with `errorStart`.
template <typename Parse, std::size_t Count>
void checkErrors(const std::string& validDocument, const InvalidChange (&changes)[Count], Parse&& parse) {
    for (const auto& change : changes) {
        const auto document = replaced(validDocument, change.from, change.to);
        const auto error = errorOf([&] { parse(document); });
        CHECK_MESSAGE(error.find(change.errorStart) == 0, error);
        CHECK(error.find('\n') == std::string::npos);
    }
}

}  // namespace wingproxy::test
