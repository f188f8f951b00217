#include "rsync/generator_stream_parser.h"

#include <cstdint>

#include "rsync/checksum_head.h"
#include "rsync/protocol.h"

namespace wingproxy::rsync {
namespace {

/// Sent in place of a rule length; ends the filter rules.
constexpr std::int32_t kEndOfRules = 0;
/// Limit of this gateway, in bytes.
constexpr std::int32_t kMaxFilterRuleLength = 64 * 1024;

/// Sent in place of a file index.
constexpr std::int32_t kEndMarker = -1;
/// One at the end of each of the two phases, then one as the goodbye.
constexpr int kEndMarkers = 3;

}  // namespace

GeneratorStreamParser::GeneratorStreamParser(FilterRules filterRules) {
    switch (filterRules) {
        case FilterRules::Sent:
            readFilterRule();
            break;
        case FilterRules::NotSent:
            readFileIndex();
            break;
    }
}

void GeneratorStreamParser::readFilterRule() {
    readField(kIntSize, [this] {
        const auto length = intField();
        if (length == kEndOfRules) return readFileIndex();
        if (length < 0 || length > kMaxFilterRuleLength)
            return fail(StreamErrorCode::FilterRuleTooLong, length);
        skip(static_cast<std::uint64_t>(length), [this] { readFilterRule(); });
    });
}

void GeneratorStreamParser::readFileIndex() {
    readField(kIntSize, [this] {
        const auto index = intField();
        if (index == kEndMarker) {
            ++endMarkers_;
            return endMarkers_ == kEndMarkers ? complete() : readFileIndex();
        }
        if (index < 0) return fail(StreamErrorCode::UnknownFile, index);
        readChecksums();
    });
}

void GeneratorStreamParser::readChecksums() {
    readField(ChecksumHead::kSize, [this] {
        const auto head = parseChecksumHead(field());
        if (!head.hasValidChecksums()) return fail(StreamErrorCode::ChecksumHeadOutOfRange, head.blockCount);
        skip(head.checksumBytes(), [this] { readFileIndex(); });
    });
}

}  // namespace wingproxy::rsync
