/// \file
/// The base of the parsers that follow a transfer's streams: a byte stream whose shape is known field by
/// field is checked as it passes, without being kept. Only the field that is being read is buffered.
///
/// A parser does no I/O. It tells the gateway when a transfer is complete, and stops one that breaks the
/// protocol before the offending bytes are forwarded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace wingproxy::rsync {

/// Where a stream stands.
enum class StreamStatus {
    InProgress,  ///< more bytes are to come
    Complete,    ///< the stream came to its end; any further byte breaks it
    Broken       ///< the bytes do not follow the protocol; see the parser's error()
};

/// How a stream broke the protocol.
enum class StreamErrorCode {
    None,
    BytesAfterEnd,        ///< the stream was complete; value: how many bytes followed
    HardLink,             ///< an entry of the file list has hard-link data; value: its flags
    NameTooLong,          ///< value: the length of the name
    NegativeFileSize,     ///< value: the size
    ModeMissing,          ///< the first entry refers to the mode of an entry before it; value: its flags
    UnsupportedFileType,  ///< neither a regular file nor a directory; value: the file type bits of its mode
    UnknownFile,          ///< data for a file that is not on the list; value: its index
    ChecksumHeadOutOfRange,  ///< a head of block checksums has impossible figures; value: the number of
                             ///< blocks
    UnknownBlock,            ///< a delta refers to a block that the receiver does not hold; value: its index
    FilterRuleTooLong,       ///< value: the length of the rule
    UnknownFrameTag          ///< a frame of the multiplexed stream; value: its tag
};

/// An error and the value, read from the stream, that caused it.
struct StreamError {
    StreamErrorCode code = StreamErrorCode::None;
    std::int64_t value = 0;  ///< its meaning depends on the code
};

/// \return the error for a log line, "REASON: VALUE"
std::string describe(const StreamError& error);

/// Parses a stream as a chain of steps: each step asks for a field, or skips bytes, and names the step that
/// follows.
class StreamParser {
public:
    StreamParser() = default;
    virtual ~StreamParser() = default;
    StreamParser(StreamParser&&) = delete;  // steps refer to the parser

    /// Follows the next bytes of the stream; where one call ends and the next begins does not matter.
    /// \return the status after these bytes; once Broken, further bytes are ignored
    StreamStatus feed(std::string_view bytes);
    /// The status after the bytes so far.
    StreamStatus status() const { return status_; }
    /// The code is None unless the status is Broken.
    const StreamError& error() const { return error_; }

protected:
    /// Runs when a field is complete or bytes were skipped, and names the step after it.
    using Step = std::function<void()>;
    /// A step that gets the integer that was read.
    using IntegerStep = std::function<void(std::int64_t)>;

    /// Buffers a field of `size` bytes, at least 1, then runs `next`, which reads it by field(), byteField()
    /// or intField().
    void readField(std::size_t size, Step next);
    /// Reads an integer of 4 bytes, or of 8 bytes after the marker, and passes it to `next`.
    void readWideInt(IntegerStep next);
    /// Passes over `size` bytes, then runs `next`; runs it at once if there are none.
    void skip(std::uint64_t size, Step next);
    /// The stream came to its end: further bytes break it.
    void complete() { status_ = StreamStatus::Complete; }
    /// The bytes break the protocol: no further step runs.
    /// \param value what in the stream caused it; its meaning depends on the code
    void fail(StreamErrorCode code, std::int64_t value);

    /// \return the field that was read; valid until the next step is named
    std::string_view field() const { return field_; }
    /// \return the field that was read, of one byte
    std::uint8_t byteField() const { return static_cast<std::uint8_t>(field_[0]); }
    /// \return the field that was read, of 4 bytes
    std::int32_t intField() const;

private:
    /// Takes bytes to skip off the front of `bytes`. \return whether all of them came
    bool consumeSkipped(std::string_view& bytes);
    /// Takes bytes of the field off the front of `bytes`. \return whether the field is complete
    bool consumeField(std::string_view& bytes);

    std::string field_;
    std::size_t fieldSize_ = 0;
    std::uint64_t skipLeft_ = 0;
    Step next_;
    StreamStatus status_ = StreamStatus::InProgress;
    StreamError error_;
};

}  // namespace wingproxy::rsync
