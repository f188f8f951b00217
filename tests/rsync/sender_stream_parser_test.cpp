#include "rsync/sender_stream_parser.h"

#include <doctest/doctest.h>

#include <string>

#include "stream_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using rsync::SenderStreamParser;
using rsync::StreamErrorCode;
using rsync::StreamStatus;
using Totals = rsync::SenderStreamParser::Totals;

namespace {

/// An entry with a second byte of flags, a long name, the mode of the previous entry, and a size of 64 bits.
const std::string kSameModeEntry = std::string("\xc2\x01", 1) + encodeInt(1) + "b" + encodeWideInt(5, 1);
const std::string kFileList = kFileEntry + kSameModeEntry + kEndOfFileList + kNoIoErrors;
const std::string kTwoBlocks = encodeChecksumHead(2, 700, 2, 0);
/// The delta of file 0: three literal bytes, then block 0 and block 1.
const std::string kDelta =
    encodeInt(0) + kTwoBlocks + encodeInt(3) + "xyz" + encodeInt(-1) + encodeInt(-2) + kEndOfDelta;
const std::string kTotals = encodeInt(1) + encodeInt(2) + encodeWideInt(9, 9);

SenderStreamParser clientStream() { return SenderStreamParser({}, Totals::NotSent); }
SenderStreamParser daemonStream() { return SenderStreamParser({}, Totals::Sent); }

StreamErrorCode errorOf(const std::string& bytes) { return feedBroken(clientStream, bytes).code; }

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

}  // namespace

TEST_CASE("rsync sender stream: a client's stream is complete after the second phase") {
    CHECK(feedAll(clientStream, kFileList + kDelta) == StreamStatus::InProgress);
    CHECK(feedAll(clientStream, kFileList + kDelta + kEndOfBothPhases) == StreamStatus::Complete);
}

TEST_CASE("rsync sender stream: a daemon's stream is complete after its totals") {
    CHECK(feedAll(daemonStream, kFileList + kDelta + kEndOfBothPhases) == StreamStatus::InProgress);
    CHECK(feedAll(daemonStream, kFileList + kDelta + kEndOfBothPhases + kTotals) == StreamStatus::Complete);
}

TEST_CASE("rsync sender stream: files, literal bytes and blocks are counted") {
    SenderStreamParser stream({}, Totals::NotSent);
    stream.feed(kFileList + kDelta);
    CHECK(stream.fileCount() == 2);
    CHECK(stream.literalBytes() == 3);
    CHECK(stream.matchedBlocks() == 2);
}

TEST_CASE("rsync sender stream: entries have owners, whose names follow the file list") {
    const auto ownersSent = [] {
        return SenderStreamParser({.preserveOwner = true, .preserveGroup = true}, Totals::NotSent);
    };
    const std::string user = encodeInt(1000) + "\x02yo";
    const std::string endOfIds = encodeInt(0);
    const std::string list = kFileEntry + encodeInt(1000) + encodeInt(1000) + kEndOfFileList + user +
                             endOfIds + endOfIds + kNoIoErrors;
    CHECK(feedAll(ownersSent, list + kEndOfBothPhases) == StreamStatus::Complete);
}

TEST_CASE("rsync sender stream: with numeric ids there are no lists of names") {
    const auto numericIds = [] {
        return SenderStreamParser({.preserveOwner = true, .preserveGroup = true, .numericIds = true},
                                  Totals::NotSent);
    };
    const std::string list = kFileEntry + encodeInt(1000) + encodeInt(1000) + kEndOfFileList + kNoIoErrors;
    CHECK(feedAll(numericIds, list + kEndOfBothPhases) == StreamStatus::Complete);
}

TEST_CASE("rsync sender stream: bytes after the end are an error") {
    CHECK(errorOf(kFileList + kEndOfBothPhases + "x") == StreamErrorCode::BytesAfterEnd);
}

TEST_CASE("rsync sender stream: only regular files and directories are accepted") {
    const std::string symbolicLink = replaced(kFileEntry, encodeInt(0100644), encodeInt(0120777));
    const std::string directory = replaced(kFileEntry, encodeInt(0100644), encodeInt(0040755));
    const std::string hardLink("\x04\x02", 2);
    CHECK(errorOf(symbolicLink) == StreamErrorCode::UnsupportedFileType);
    CHECK(errorOf(hardLink) == StreamErrorCode::HardLink);
    CHECK(feedAll(clientStream, directory) == StreamStatus::InProgress);
}

TEST_CASE("rsync sender stream: a name that is too long is an error") {
    const std::string longName = std::string("\x42", 1);
    CHECK(errorOf(longName + encodeInt(5000)) == StreamErrorCode::NameTooLong);
    CHECK(errorOf(longName + encodeInt(-1)) == StreamErrorCode::NameTooLong);
    CHECK(feedAll(clientStream, longName + encodeInt(4096)) == StreamStatus::InProgress);
}

TEST_CASE("rsync sender stream: a negative size is an error") {
    CHECK(errorOf(std::string("\x01\x01") + "a" + encodeInt(-1) + encodeInt(0) + encodeInt(-1)) ==
          StreamErrorCode::NegativeFileSize);
}

TEST_CASE("rsync sender stream: a first entry without a mode is an error") {
    const std::string sameMode = std::string("\x82\x01", 2) + "a" + encodeInt(5);
    CHECK(errorOf(sameMode) == StreamErrorCode::ModeMissing);
}

TEST_CASE("rsync sender stream: a delta of a file that is not in the file list is an error") {
    CHECK(errorOf(kFileList + encodeInt(2) + kTwoBlocks) == StreamErrorCode::UnknownFile);
    CHECK(errorOf(kFileList + encodeInt(-2)) == StreamErrorCode::UnknownFile);
}

TEST_CASE("rsync sender stream: a reference to a block that the receiver does not hold is an error") {
    const auto error = feedBroken(clientStream, kFileList + encodeInt(0) + kTwoBlocks + encodeInt(-3));
    CHECK(error.code == StreamErrorCode::UnknownBlock);
    CHECK(error.value == 2);
}

TEST_CASE("rsync sender stream: a checksum head out of range is an error") {
    const std::string fileIndex = kFileList + encodeInt(0);
    for (const auto& head : {encodeChecksumHead(-1, 0, 0, 0), encodeChecksumHead(1, -1, 0, 0),
                             encodeChecksumHead(1, 700, 17, 0), encodeChecksumHead(1, 700, 2, 701)})
        CHECK(errorOf(fileIndex + head) == StreamErrorCode::ChecksumHeadOutOfRange);
}
