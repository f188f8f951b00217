/// \file
/// A stream for a test's logger, whose output the test can read.
#pragma once

#include <doctest/doctest.h>

#include <cstdio>
#include <memory>
#include <string>

namespace wingproxy::test {

/// Writes to an unnamed temporary file, which it owns.
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
