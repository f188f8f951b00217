#include "rsync/multiplexed_stream_parser.h"

#include <algorithm>
#include <cstdint>

namespace wingproxy::rsync {
namespace {

std::string_view takePrefix(std::string_view& bytes, std::size_t size) {
    const auto prefix = bytes.substr(0, size);
    bytes.remove_prefix(prefix.size());
    return prefix;
}

bool isKnownTag(int tag) {
    return tag >= static_cast<int>(FrameTag::Data) && tag <= static_cast<int>(FrameTag::DaemonLog);
}

}  // namespace

StreamStatus MultiplexedStreamParser::feed(std::string_view bytes) {
    if (error_.code != StreamErrorCode::None) return StreamStatus::Broken;
    while (!bytes.empty()) {
        if (seedLeft_ > 0)
            skipSeed(bytes);
        else if ((payloadLeft_ > 0 ? readPayload(bytes) : readHeader(bytes)) == StreamStatus::Broken)
            return StreamStatus::Broken;
    }
    return inner_.status();
}

StreamStatus MultiplexedStreamParser::fail(const StreamError& error) {
    error_ = error;
    return StreamStatus::Broken;
}

void MultiplexedStreamParser::skipSeed(std::string_view& bytes) {
    seedLeft_ -= takePrefix(bytes, seedLeft_).size();
}

StreamStatus MultiplexedStreamParser::readHeader(std::string_view& bytes) {
    header_.append(takePrefix(bytes, kFrameHeaderSize - header_.size()));
    if (header_.size() < kFrameHeaderSize) return StreamStatus::InProgress;
    const auto header = static_cast<std::uint32_t>(readInt32(header_));
    header_.clear();
    const int tag = static_cast<int>(header >> kFrameTagShift) - kFrameTagOffset;
    if (!isKnownTag(tag)) return fail({StreamErrorCode::UnknownFrameTag, tag});
    payloadLeft_ = header & kFrameLengthMask;
    payloadIsData_ = tag == static_cast<int>(FrameTag::Data);
    return StreamStatus::InProgress;
}

StreamStatus MultiplexedStreamParser::readPayload(std::string_view& bytes) {
    const auto payload = takePrefix(bytes, payloadLeft_);
    payloadLeft_ -= payload.size();
    if (payloadIsData_ && inner_.feed(payload) == StreamStatus::Broken) return fail(inner_.error());
    return StreamStatus::InProgress;
}

}  // namespace wingproxy::rsync
