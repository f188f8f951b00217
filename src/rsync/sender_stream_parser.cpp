#include "rsync/sender_stream_parser.h"

#include "rsync/protocol.h"

namespace wingproxy::rsync {
namespace {

/// Flags of a file list entry. kSame...: the field is omitted, as it equals that of the previous entry.
namespace entry_flag {
constexpr unsigned kSameMode = 1U << 1;
constexpr unsigned kExtended = 1U << 2;  ///< a second byte of flags follows
constexpr unsigned kSameUserId = 1U << 3;
constexpr unsigned kSameGroupId = 1U << 4;
constexpr unsigned kPrefixed = 1U << 5;  ///< the length of the prefix shared with the previous name follows
constexpr unsigned kLongName = 1U << 6;  ///< the length of the name takes 4 bytes instead of 1
constexpr unsigned kSameTime = 1U << 7;
constexpr unsigned kHardLink = 1U << 9;
}  // namespace entry_flag

/// Flags of 0 end the file list.
constexpr unsigned kEndOfList = 0;
constexpr unsigned kBitsPerByte = 8;

/// PATH_MAX of Linux, in bytes: no path can be longer.
constexpr std::int32_t kMaxNameLength = 4096;
/// Bytes of a modification time, and of a user or group id.
constexpr std::uint64_t kTimeSize = 4;
constexpr std::uint64_t kIdSize = 4;

/// The file type bits of a mode, as in POSIX's <sys/stat.h>.
constexpr int kFileTypeMask = 0170000;
constexpr int kRegularFile = 0100000;
constexpr int kDirectory = 0040000;

/// Sent in place of a file index at the end of each phase.
constexpr std::int32_t kEndOfPhase = -1;
/// The second phase resends the files whose checksum did not match in the first.
constexpr int kPhases = 2;
/// Sent in place of a token at the end of a delta; the MD4 checksum of the file follows.
constexpr std::int32_t kEndOfDelta = 0;
constexpr std::uint64_t kFileChecksumSize = 16;
/// The totals: bytes read, bytes written, total size of the files.
constexpr int kTotalsCount = 3;

/// A negative token refers to a block: -1 to block 0, -2 to block 1.
constexpr std::int64_t blockOfToken(std::int32_t token) { return -(std::int64_t{token} + 1); }

}  // namespace

SenderStreamParser::SenderStreamParser(const TransferOptions& options, Totals totals)
    : options_(options), totals_(totals) {
    readEntry();
}

void SenderStreamParser::readEntry() {
    readField(1, [this] {
        const unsigned flags = byteField();
        if (flags == kEndOfList) return readIdList(IdList::Users);
        if ((flags & entry_flag::kExtended) == 0) return readNamePrefix(flags);
        readField(1, [this, flags] { readNamePrefix(flags | unsigned{byteField()} << kBitsPerByte); });
    });
}

void SenderStreamParser::readNamePrefix(unsigned flags) {
    if ((flags & entry_flag::kHardLink) != 0) return fail(StreamErrorCode::HardLink, flags);
    skip((flags & entry_flag::kPrefixed) != 0 ? 1 : 0, [this, flags] { readNameLength(flags); });
}

void SenderStreamParser::readNameLength(unsigned flags) {
    if ((flags & entry_flag::kLongName) != 0)
        readField(kIntSize, [this, flags] { skipName(flags, intField()); });
    else
        readField(1, [this, flags] { skipName(flags, byteField()); });
}

void SenderStreamParser::skipName(unsigned flags, std::int32_t length) {
    if (length < 0 || length > kMaxNameLength) return fail(StreamErrorCode::NameTooLong, length);
    skip(static_cast<std::uint64_t>(length), [this, flags] { readSizeAndTime(flags); });
}

void SenderStreamParser::readSizeAndTime(unsigned flags) {
    readWideInt([this, flags](std::int64_t size) {
        if (size < 0) return fail(StreamErrorCode::NegativeFileSize, size);
        skip((flags & entry_flag::kSameTime) != 0 ? 0 : kTimeSize, [this, flags] { readMode(flags); });
    });
}

void SenderStreamParser::readMode(unsigned flags) {
    if ((flags & entry_flag::kSameMode) != 0) {
        if (!hasMode_) return fail(StreamErrorCode::ModeMissing, flags);
        return skipOwners(flags);
    }
    readField(kIntSize, [this, flags] {
        const int fileType = intField() & kFileTypeMask;
        if (fileType != kRegularFile && fileType != kDirectory)
            return fail(StreamErrorCode::UnsupportedFileType, fileType);
        hasMode_ = true;
        skipOwners(flags);
    });
}

void SenderStreamParser::skipOwners(unsigned flags) {
    const bool hasUserId = options_.preserveOwner && (flags & entry_flag::kSameUserId) == 0;
    const bool hasGroupId = options_.preserveGroup && (flags & entry_flag::kSameGroupId) == 0;
    ++fileCount_;
    skip((hasUserId ? kIdSize : 0) + (hasGroupId ? kIdSize : 0), [this] { readEntry(); });
}

bool SenderStreamParser::hasIdList(IdList list) const {
    if (options_.numericIds) return false;
    switch (list) {
        case IdList::Users:
            return options_.preserveOwner;
        case IdList::Groups:
            return options_.preserveGroup;
    }
    return false;
}

void SenderStreamParser::readIdList(IdList list) {
    if (!hasIdList(list)) return finishIdList(list);
    readField(kIntSize, [this, list] {
        constexpr std::int32_t kEndOfIds = 0;
        if (intField() == kEndOfIds) return finishIdList(list);
        readField(1, [this, list] {
            const auto nameLength = byteField();
            skip(nameLength, [this, list] { readIdList(list); });
        });
    });
}

void SenderStreamParser::finishIdList(IdList list) {
    switch (list) {
        case IdList::Users:
            return readIdList(IdList::Groups);
        case IdList::Groups:
            return skipIoErrorFlag();
    }
}

void SenderStreamParser::skipIoErrorFlag() {
    skip(kIntSize, [this] { readFileIndex(); });
}

void SenderStreamParser::readFileIndex() {
    readField(kIntSize, [this] {
        const auto index = intField();
        if (index == kEndOfPhase) return finishPhase();
        if (index < 0 || index >= fileCount_) return fail(StreamErrorCode::UnknownFile, index);
        readDeltaHead();
    });
}

void SenderStreamParser::finishPhase() {
    ++finishedPhases_;
    if (finishedPhases_ < kPhases) return readFileIndex();
    if (totals_ == Totals::Sent) return readTotals(kTotalsCount);
    complete();
}

void SenderStreamParser::readDeltaHead() {
    readField(ChecksumHead::kSize, [this] {
        const auto head = parseChecksumHead(field());
        if (!head.isValid()) return fail(StreamErrorCode::ChecksumHeadOutOfRange, head.blockCount);
        readToken(head.blockCount);
    });
}

void SenderStreamParser::readToken(std::int32_t blockCount) {
    readField(kIntSize, [this, blockCount] {
        const auto token = intField();
        if (token == kEndOfDelta) return skip(kFileChecksumSize, [this] { readFileIndex(); });
        if (token > 0) {
            const auto literalLength = static_cast<std::uint64_t>(token);
            literalBytes_ += literalLength;
            return skip(literalLength, [this, blockCount] { readToken(blockCount); });
        }
        if (blockOfToken(token) >= blockCount)
            return fail(StreamErrorCode::UnknownBlock, blockOfToken(token));
        ++matchedBlocks_;
        readToken(blockCount);
    });
}

void SenderStreamParser::readTotals(int remaining) {
    if (remaining == 0) return complete();
    readWideInt([this, remaining](std::int64_t) { readTotals(remaining - 1); });
}

}  // namespace wingproxy::rsync
