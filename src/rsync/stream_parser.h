/// \file
/// The base of the incremental parsers for a transfer's streams. A stream is validated field by field while
/// it is forwarded; only the field that is being read is buffered.
///
/// A parser does no I/O. It tells when a transfer is complete, and detects a violation of the protocol before
/// the offending bytes are forwarded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wingproxy::rsync {

/// The state of a stream.
enum class StreamStatus {
    InProgress,  ///< more bytes are expected
    Complete,    ///< the stream has ended; any further byte is an error
    Broken       ///< the bytes violate the protocol; see the parser's error()
};

/// How a stream violated the protocol.
enum class StreamErrorCode {
    None,
    BytesAfterEnd,        ///< value: the number of bytes after the end in that feed()
    HardLink,             ///< an entry of the file list has hard-link data; value: its flags
    NameTooLong,          ///< value: the length of the name
    NegativeFileSize,     ///< value: the size
    ModeMissing,          ///< the first entry repeats the mode of a previous one; value: its flags
    UnsupportedFileType,  ///< neither a regular file nor a directory; value: the file type bits of its mode
    UnknownFile,          ///< the index is not in the file list; value: the index
    ChecksumHeadOutOfRange,  ///< a field of a checksum head is out of range; value: its number of blocks
    UnknownBlock,            ///< a delta refers to a block that the receiver does not hold; value: its index
    FilterRuleTooLong,       ///< value: the length of the rule
    UnknownFrameTag          ///< a frame has a tag that version 28 does not define; value: the tag
};

/// An error and the value from the stream that caused it.
struct StreamError {
    StreamErrorCode code = StreamErrorCode::None;
    std::int64_t value = 0;  ///< its meaning depends on the code
};

/// \return the error for a log line, "REASON: VALUE"
std::string describe(const StreamError& error);

/// Parses a stream as a chain of steps: each step requests a field, or skips bytes, and sets the next step.
class StreamParser {
public:
    StreamParser() = default;
    virtual ~StreamParser() = default;
    StreamParser(StreamParser&&) = delete;  // the next step refers to this object

    /// Parses the next bytes of the stream, which may be split across calls anywhere.
    /// \return the status after these bytes; once Broken, further bytes are ignored
    StreamStatus feed(std::string_view bytes);
    /// The status after the bytes fed so far.
    StreamStatus status() const { return status_; }
    /// The code is None unless the status is Broken.
    const StreamError& error() const { return error_; }

protected:
    /// Runs when a field is complete or bytes were skipped, and sets the step after it.
    using Step = std::function<void()>;
    /// A step that gets the integer that was read.
    using IntegerStep = std::function<void(std::int64_t)>;

    /// Buffers a field of `size` bytes, at least 1, then runs `next`, which reads it with field(),
    /// byteField() or intField().
    void readField(std::size_t size, Step next);
    /// Reads an integer of 4 bytes, or of 8 bytes after the marker, and passes it to `next`.
    void readWideInt(IntegerStep next);
    /// Skips `size` bytes, then runs `next`; runs it immediately if `size` is 0.
    void skip(std::uint64_t size, Step next);
    /// Marks the end of the stream: any further byte is an error.
    void complete() { status_ = StreamStatus::Complete; }
    /// Reports a violation of the protocol: no further step runs.
    /// \param value the value in the stream that caused it; its meaning depends on the code
    void fail(StreamErrorCode code, std::int64_t value);

    /// \return the field that was read; valid until the next readField()
    std::string_view field() const { return field_; }
    /// \return the field that was read, of one byte
    std::uint8_t byteField() const { return static_cast<std::uint8_t>(field_[0]); }
    /// \return the field that was read, of 4 bytes
    std::int32_t intField() const;

private:
    /// Removes bytes to skip from the front of `bytes`. \return whether all of them were skipped
    bool consumeSkipped(std::string_view& bytes);
    /// Moves bytes of the field from the front of `bytes`. \return whether the field is complete
    bool consumeField(std::string_view& bytes);

    std::string field_;
    std::size_t fieldSize_ = 0;
    std::uint64_t skipLeft_ = 0;
    Step next_;
    StreamStatus status_ = StreamStatus::InProgress;
    StreamError error_;
};

}  // namespace wingproxy::rsync
