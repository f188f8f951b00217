#include "rsync/generator_stream_parser.h"

#include <doctest/doctest.h>

#include <string>

#include "stream_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using rsync::GeneratorStreamParser;
using rsync::StreamErrorCode;
using rsync::StreamStatus;

namespace {

/// Requests file 0, of which the receiving side holds two blocks with strong checksums of 2 bytes.
const std::string kFileRequest = encodeInt(0) + encodeChecksumHead(2, 700, 2, 0) + std::string(12, 's');

GeneratorStreamParser daemonStream() {
    return GeneratorStreamParser(GeneratorStreamParser::FilterRules::NotSent);
}
GeneratorStreamParser clientStream() {
    return GeneratorStreamParser(GeneratorStreamParser::FilterRules::Sent);
}

}  // namespace

TEST_CASE("rsync generator stream: complete after two phases and the goodbye") {
    CHECK(feedAll(daemonStream, kFileRequest + kEndOfPhase) == StreamStatus::InProgress);
    CHECK(feedAll(daemonStream, kFileRequest + kEndOfBothPhases) == StreamStatus::InProgress);
    CHECK(feedAll(daemonStream, kFileRequest + kEndOfBothPhases + kGoodbye) == StreamStatus::Complete);
}

TEST_CASE("rsync generator stream: a pulling client's stream starts with its filter rules") {
    const std::string rules = encodeInt(3) + "- x" + encodeInt(0);
    CHECK(feedAll(clientStream, rules + kEndOfBothPhases + kGoodbye) == StreamStatus::Complete);
}

TEST_CASE("rsync generator stream: a filter rule that is too long is an error") {
    CHECK(feedBroken(clientStream, encodeInt(-5)).code == StreamErrorCode::FilterRuleTooLong);
    CHECK(feedBroken(clientStream, encodeInt(64 * 1024 + 1)).code == StreamErrorCode::FilterRuleTooLong);
}

TEST_CASE("rsync generator stream: a file index below -1 is an error") {
    const auto error = feedBroken(daemonStream, encodeInt(-2));
    CHECK(error.code == StreamErrorCode::UnknownFile);
    CHECK(error.value == -2);
}

TEST_CASE("rsync generator stream: a checksum head out of range is an error") {
    for (const auto& head : {encodeChecksumHead(-1, 0, 0, 0), encodeChecksumHead(1, 700, 17, 0),
                             encodeChecksumHead((1 << 26) + 1, 700, 2, 0)})
        CHECK(feedBroken(daemonStream, encodeInt(0) + head).code == StreamErrorCode::ChecksumHeadOutOfRange);
}

TEST_CASE("rsync generator stream: bytes after the end are an error") {
    CHECK(feedBroken(daemonStream, kEndOfBothPhases + kGoodbye + "x").code == StreamErrorCode::BytesAfterEnd);
}
