/// \file
/// The messages that the simulator sends, translated to the policy's events. The wire's own names occur only
/// here and in the other wire_* files.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "wingproxy/policy.h"
#include "wire_line.h"

namespace wingproxy::wire {

/// What a message is about. All but the first two are events of a policy.
enum class MessageKind {
    HostStarted,
    HostStopped,
    EndpointListReceived,
    RequestReceived,
    AttemptFinished,
    ResponseStarted,
    RequestCancelled,
    TimerFired,
    PeerMessageReceived,
    HealthCheckCompleted,
};

/// The kind of a message; empty for names that this version does not know.
std::optional<MessageKind> messageKind(std::string_view name);

/// The nodes of the endpoint lists that the simulator sent. Messages refer to a list by its number, so that
/// hosts that get the same list share it.
class EndpointListTable {
public:
    /// The nodes of one list.
    /// \param line names the message in the error
    /// \throws WireError if there is no list of this number
    std::vector<NodeInfo>& at(std::int64_t listNumber, const WireLine& line);
    /// As above, for reading.
    const std::vector<NodeInfo>& at(std::int64_t listNumber, const WireLine& line) const;

private:
    std::size_t indexOf(std::int64_t listNumber, const WireLine& line) const;

    static constexpr std::size_t kListCount = 16;  // the wire numbers lists from 0 to 15

    std::array<std::vector<NodeInfo>, kListCount> lists_;
};

/// Reads one entry of an endpoint list.
/// \throws WireError if the line is no entry, names no node or state, or a field is malformed
NodeInfo parseNode(const WireLine& line);

/// Reads the event of a message.
/// \param kind the line's message kind; not HostStarted or HostStopped, which are no events
/// \param settings of the host; a request's class and plan become indices into them, -1 if they are unknown
/// \throws WireError if a field is missing or malformed
Event parseEvent(MessageKind kind, const WireLine& line, const Settings& settings,
                 const EndpointListTable& endpointLists);

}  // namespace wingproxy::wire
