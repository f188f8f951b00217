/// \file
/// Parses the stream of the sender, the side that has the files: the node in a pull, the client in a push.
///
/// In order: the file list; the names of users and groups; the I/O error flag; in two phases, the delta of
/// each file that the generator requested; from a daemon, the transfer's totals.
#pragma once

#include <cstdint>

#include "rsync/checksum_head.h"
#include "rsync/stream_parser.h"
#include "rsync/transfer_request.h"

namespace wingproxy::rsync {

/// Parses a sender's stream.
class SenderStreamParser : public StreamParser {
public:
    /// Whether the stream ends with the totals of the transfer. A daemon sends them, a client does not.
    enum class Totals { Sent, NotSent };

    /// \param options determine which fields an entry of the file list has
    /// \param totals whether the stream ends with totals
    SenderStreamParser(const TransferOptions& options, Totals totals);

    /// \return the number of file list entries so far
    int fileCount() const { return fileCount_; }
    /// \return the bytes of literal data in the deltas so far
    std::uint64_t literalBytes() const { return literalBytes_; }
    /// \return the number of block references in the deltas so far
    std::uint64_t matchedBlocks() const { return matchedBlocks_; }

private:
    /// The lists of ids and names that may follow the file list, in this order.
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
    bool hasMode_ = false;  ///< an entry with a mode was read, so later entries may repeat it
    std::uint64_t literalBytes_ = 0;
    std::uint64_t matchedBlocks_ = 0;
};

}  // namespace wingproxy::rsync
