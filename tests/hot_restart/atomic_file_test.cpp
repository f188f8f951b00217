// Atomic replacement of files: a reader sees the old or the new content, never a part of one.
#include "hot_restart/atomic_file.h"

#include <doctest/doctest.h>

#include <filesystem>

#include "support/temporary_folder.h"

using namespace wingproxy::hot_restart;
using wingproxy::test::TemporaryFolder;

TEST_CASE("atomic file: reading returns the bytes that were written, including NUL and non-ASCII ones") {
    TemporaryFolder folder;
    const std::string bytes("a\0\xff\n", 4);
    CHECK(writeFileAtomically(folder.file("x"), bytes));
    CHECK(readFile(folder.file("x"), 100) == bytes);
}

TEST_CASE("atomic file: a second write replaces the first, and no temporary file stays") {
    TemporaryFolder folder;
    CHECK(writeFileAtomically(folder.file("x"), "a longer text"));
    CHECK(writeFileAtomically(folder.file("x"), "short"));
    CHECK(readFile(folder.file("x"), 100) == "short");
    CHECK(!std::filesystem::exists(folder.file("x.new")));
}

TEST_CASE("atomic file: a failed write leaves the previous content") {
    TemporaryFolder folder;
    CHECK(writeFileAtomically(folder.file("x"), "first"));
    std::filesystem::create_directory(folder.file("x.new"));
    CHECK(!writeFileAtomically(folder.file("x"), "second"));
    CHECK(readFile(folder.file("x"), 100) == "first");
}

TEST_CASE("atomic file: reading a file that does not exist returns nothing") {
    TemporaryFolder folder;
    CHECK(!readFile(folder.file("x"), 100));
}

TEST_CASE("atomic file: reading a file that is longer than allowed returns nothing") {
    TemporaryFolder folder;
    CHECK(writeFileAtomically(folder.file("x"), "12345"));
    CHECK(readFile(folder.file("x"), 5) == "12345");
    CHECK(!readFile(folder.file("x"), 4));
}
