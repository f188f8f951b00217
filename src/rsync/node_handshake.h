/// \file
/// The client's side of the handshake with a node's daemon, which sends lines before the transfer's stream.
/// Keeps the handshake's state; no I/O.
///
/// A node executes nothing before it receives the arguments, so a rejection in the handshake can be retried.
#pragma once

#include <string_view>

namespace wingproxy::rsync {

/// Decides, for each line that the node sends, what the attempt does next.
class NodeHandshake {
public:
    /// What the attempt does after a line.
    enum class Step {
        ReadNextLine,   ///< the greeting, or a line of the message of the day
        SendArguments,  ///< the node accepted the module, which ends the handshake
        Reject          ///< an error, an older protocol, a password challenge (AUTHREQD), or EXIT
    };

    /// Handles the node's next line, without its end of line. Must not be called after SendArguments or
    /// Reject.
    Step onLine(std::string_view line);

private:
    bool greeted_ = false;
};

}  // namespace wingproxy::rsync
