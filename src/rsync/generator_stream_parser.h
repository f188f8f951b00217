/// \file
/// Follows the stream of the side that wants the files: the client in a pull, the node in a push.
///
/// In order: from a pulling client, its filter rules; for each file that it wants, the checksums of the
/// blocks that it holds, in two phases; the final goodbye.
#pragma once

#include "rsync/stream_parser.h"

namespace wingproxy::rsync {

/// Parser of a generator's stream.
class GeneratorStreamParser : public StreamParser {
public:
    /// Whether the stream starts with a list of filter rules. That of a pulling client does, that of a daemon
    /// does not.
    enum class FilterRules { Sent, NotSent };

    /// \param filterRules what the stream starts with
    explicit GeneratorStreamParser(FilterRules filterRules);

private:
    void readFilterRule();
    void readFileIndex();
    void readChecksums();

    int endMarkers_ = 0;
};

}  // namespace wingproxy::rsync
