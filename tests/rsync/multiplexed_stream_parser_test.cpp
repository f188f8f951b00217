#include "rsync/multiplexed_stream_parser.h"

#include <doctest/doctest.h>

#include <string>
#include <string_view>

#include "rsync/generator_stream_parser.h"
#include "stream_support.h"

using namespace wingproxy;
using namespace wingproxy::test;
using rsync::encodeFrame;
using rsync::FrameTag;
using rsync::StreamErrorCode;
using rsync::StreamStatus;

namespace {

const std::string kSeed = encodeInt(77);
const std::string kFileRequest = encodeInt(0) + encodeChecksumHead(2, 700, 2, 0) + std::string(12, 's');

/// Parses a generator's stream in frames.
class FramedStream {
public:
    StreamStatus feed(std::string_view bytes) { return frames_.feed(bytes); }
    const rsync::StreamError& error() const { return frames_.error(); }

private:
    rsync::GeneratorStreamParser inner_{rsync::GeneratorStreamParser::FilterRules::NotSent};
    rsync::MultiplexedStreamParser frames_{inner_};
};

FramedStream framedStream() { return FramedStream(); }

std::string frameWithTag(int tag) { return encodeFrame(static_cast<FrameTag>(tag), "x"); }

}  // namespace

TEST_CASE("rsync frames: a stream may be split across frames, and messages are not part of it") {
    const std::string bytes =
        kSeed + encodeFrame(FrameTag::Data, kFileRequest.substr(0, 9)) +
        encodeFrame(FrameTag::Info, "a message") +
        encodeFrame(FrameTag::Data, kFileRequest.substr(9) + kEndOfBothPhases + kGoodbye);
    CHECK(feedAll(framedStream, bytes) == StreamStatus::Complete);
}

TEST_CASE("rsync frames: a frame may be empty") {
    CHECK(feedAll(framedStream, kSeed + encodeFrame(FrameTag::Data, "")) == StreamStatus::InProgress);
}

TEST_CASE("rsync frames: a tag that version 28 does not define is an error") {
    const auto error = feedBroken(framedStream, kSeed + frameWithTag(9));
    CHECK(error.code == StreamErrorCode::UnknownFrameTag);
    CHECK(error.value == 9);
    CHECK(rsync::describe(error) == "unknown frame tag: 9");
}

TEST_CASE("rsync frames: a header whose tag is below the tag offset is an error") {
    CHECK(feedBroken(framedStream, kSeed + encodeInt(5)).code == StreamErrorCode::UnknownFrameTag);
}

TEST_CASE("rsync frames: an error of the inner parser is reported") {
    const auto error = feedBroken(framedStream, kSeed + encodeFrame(FrameTag::Data, encodeInt(-2)));
    CHECK(error.code == StreamErrorCode::UnknownFile);
}

TEST_CASE("rsync frames: the status stays Broken after an error") {
    FramedStream stream;
    stream.feed(kSeed + frameWithTag(9));
    CHECK(stream.feed(encodeFrame(FrameTag::Data, "")) == StreamStatus::Broken);
}
