#include "rsync/node_handshake.h"

#include "rsync/protocol.h"

namespace wingproxy::rsync {

NodeHandshake::Step NodeHandshake::onLine(std::string_view line) {
    if (line.starts_with(kErrorPrefix)) return Step::Reject;
    if (!greeted_) {
        const auto version = parseGreeting(line);
        if (!version || *version < kProtocolVersion) return Step::Reject;
        greeted_ = true;
        return Step::ReadNextLine;
    }
    if (line == kModuleAccepted) return Step::SendArguments;
    // Any other control line is a password challenge (AUTHREQD) or EXIT; other text is the message of the
    // day.
    return line.starts_with(kControlPrefix) ? Step::Reject : Step::ReadNextLine;
}

}  // namespace wingproxy::rsync
