/// \file
/// The lines that a node's daemon sends before a transfer's stream, and what each of them means for the
/// attempt. No socket: lines in, steps out.
///
/// Nothing ran at the node as long as the arguments were not sent, so a rejection in the handshake can be
/// retried.
#pragma once

#include <string_view>

namespace wingproxy::rsync {

/// The gateway's side, as a client, of the handshake with a node.
class NodeHandshake {
public:
    /// What the attempt does after a line.
    enum class Step {
        ReadNextLine,   ///< the greeting, or a line of the message of the day
        SendArguments,  ///< the node accepted the module; the handshake is over
        Reject          ///< an error, an older protocol, a demand for a password, or a goodbye
    };

    /// Handles the node's next line, without its end of line. Not to be called after SendArguments or Reject.
    Step onLine(std::string_view line);

private:
    bool greeted_ = false;
};

}  // namespace wingproxy::rsync
