/// \file
/// Parses the stream of the generator, which runs on the receiving side: the client in a pull, the node in a
/// push.
///
/// In order: from a pulling client, its filter rules; in two phases, for each requested file the checksums of
/// the blocks that the receiving side holds; the goodbye, a last end marker.
#pragma once

#include "rsync/stream_parser.h"

namespace wingproxy::rsync {

/// Parses a generator's stream.
class GeneratorStreamParser : public StreamParser {
public:
    /// Whether the stream starts with a list of filter rules. A pulling client sends one, a daemon does not.
    enum class FilterRules { Sent, NotSent };

    /// \param filterRules whether the stream starts with filter rules
    explicit GeneratorStreamParser(FilterRules filterRules);

private:
    void readFilterRule();
    void readFileIndex();
    void readChecksums();

    int endMarkers_ = 0;
};

}  // namespace wingproxy::rsync
