/// \file
/// Follows the stream of the side that has the files: the node in a pull, the client in a push.
///
/// In order: the file list; the names of users and groups; the I/O error flag; for each file that the other
/// side asked for, its delta, in two phases; from a daemon, the transfer's totals.
#pragma once

#include <cstdint>

#include "rsync/checksum_head.h"
#include "rsync/stream_parser.h"
#include "rsync/transfer_request.h"

namespace wingproxy::rsync {

/// Parser of a sender's stream.
class SenderStreamParser : public StreamParser {
public:
    /// Whether the sender closes its stream with the totals of the transfer. A daemon does, a client does
    /// not.
    enum class Totals { Sent, NotSent };

    /// \param options decide which fields an entry of the file list has
    /// \param totals what the stream ends with
    SenderStreamParser(const TransferOptions& options, Totals totals);

    /// \return the entries of the file list so far
    int fileCount() const { return fileCount_; }
    /// \return the bytes of file contents that the deltas carried so far
    std::uint64_t literalBytes() const { return literalBytes_; }
    /// \return the blocks that the deltas referred to so far
    std::uint64_t matchedBlocks() const { return matchedBlocks_; }

private:
    /// The lists of names that may follow the file list, in their order.
    enum class IdList { Users, Groups };

    void readEntry();
    void readNamePrefix(unsigned flags);
    void readNameLength(unsigned flags);
    void skipName(unsigned flags, std::int32_t length);
    void readSizeAndTime(unsigned flags);
    void readMode(unsigned flags);
    void skipOwners(unsigned flags);
    void readIdList(IdList list);
    void finishIdList(IdList list);
    bool hasIdList(IdList list) const;
    void skipIoErrorFlag();
    void readFileIndex();
    void finishPhase();
    void readDeltaHead();
    void readToken(std::int32_t blockCount);
    void readTotals(int remaining);

    TransferOptions options_;
    Totals totals_;
    int fileCount_ = 0;
    int finishedPhases_ = 0;
    bool hasMode_ = false;  ///< an entry with a mode was read, which later entries may refer to
    std::uint64_t literalBytes_ = 0;
    std::uint64_t matchedBlocks_ = 0;
};

}  // namespace wingproxy::rsync
