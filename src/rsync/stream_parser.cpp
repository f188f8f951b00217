#include "rsync/stream_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "rsync/protocol.h"

namespace wingproxy::rsync {
namespace {

std::string_view reason(StreamErrorCode code) {
    switch (code) {
        case StreamErrorCode::None:
            return "no error";
        case StreamErrorCode::BytesAfterEnd:
            return "bytes after the end of the stream";
        case StreamErrorCode::HardLink:
            return "file list entry with hard-link data, flags";
        case StreamErrorCode::NameTooLong:
            return "file name too long";
        case StreamErrorCode::NegativeFileSize:
            return "negative file size";
        case StreamErrorCode::ModeMissing:
            return "first file list entry without a mode, flags";
        case StreamErrorCode::UnsupportedFileType:
            return "neither a regular file nor a directory, file type";
        case StreamErrorCode::UnknownFile:
            return "data for a file that is not on the list";
        case StreamErrorCode::ChecksumHeadOutOfRange:
            return "block checksum head out of range, blocks";
        case StreamErrorCode::UnknownBlock:
            return "reference to a block that the receiver does not hold";
        case StreamErrorCode::FilterRuleTooLong:
            return "filter rule too long";
        case StreamErrorCode::UnknownFrameTag:
            return "unknown frame tag";
    }
    return "";
}

}  // namespace

std::string describe(const StreamError& error) {
    return fmt::format("{}: {}", reason(error.code), error.value);
}

StreamStatus StreamParser::feed(std::string_view bytes) {
    while (status_ == StreamStatus::InProgress && !bytes.empty()) {
        const bool stepReady = skipLeft_ > 0 ? consumeSkipped(bytes) : consumeField(bytes);
        if (!stepReady) break;
        const auto next = std::exchange(next_, nullptr);
        next();
    }
    if (status_ == StreamStatus::Complete && !bytes.empty())
        fail(StreamErrorCode::BytesAfterEnd, static_cast<std::int64_t>(bytes.size()));
    return status_;
}

bool StreamParser::consumeSkipped(std::string_view& bytes) {
    const auto count = std::min<std::uint64_t>(skipLeft_, bytes.size());
    skipLeft_ -= count;
    bytes.remove_prefix(count);
    return skipLeft_ == 0;
}

bool StreamParser::consumeField(std::string_view& bytes) {
    const auto count = std::min(fieldSize_ - field_.size(), bytes.size());
    field_.append(bytes.substr(0, count));
    bytes.remove_prefix(count);
    return field_.size() == fieldSize_;
}

void StreamParser::readField(std::size_t size, Step next) {
    field_.clear();
    fieldSize_ = size;
    next_ = std::move(next);
}

void StreamParser::readWideInt(IntegerStep next) {
    readField(kIntSize, [this, next = std::move(next)] {
        if (intField() != kWideIntMarker) return next(intField());
        readField(kWideIntSize, [this, next] { next(readInt64(field_)); });
    });
}

void StreamParser::skip(std::uint64_t size, Step next) {
    if (size == 0) return next();
    skipLeft_ = size;
    next_ = std::move(next);
}

void StreamParser::fail(StreamErrorCode code, std::int64_t value) {
    status_ = StreamStatus::Broken;
    error_ = {code, value};
}

std::int32_t StreamParser::intField() const { return readInt32(field_); }

}  // namespace wingproxy::rsync
