/// \file
/// Helpers of the configuration tests: check the error that a change to a valid document causes.
#pragma once

#include <doctest/doctest.h>

#include <cstddef>
#include <string>

#include "config/config_error.h"
#include "support/test_config.h"

namespace wingproxy::test {

/// The message of the ConfigError that `function` throws; empty if it throws none.
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
