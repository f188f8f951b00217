/// \file
/// A stream for a test's logger, whose lines the test reads.
#pragma once

#include <doctest/doctest.h>

#include <cstdio>
#include <memory>
#include <string>

namespace wingproxy::test {

/// Owns a temporary file without a name.
class CapturedLog {
public:
    CapturedLog() { REQUIRE(file_); }

    /// Valid as long as this object.
    [[nodiscard]] std::FILE* stream() const { return file_.get(); }

    /// Everything that was written so far.
    [[nodiscard]] std::string text() const {
        std::rewind(file_.get());
        std::string text;
        for (int c = std::fgetc(file_.get()); c != EOF; c = std::fgetc(file_.get()))
            text += static_cast<char>(c);
        return text;
    }

private:
    using File = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;
    File file_{std::tmpfile(), &std::fclose};
};

}  // namespace wingproxy::test
