/// \file
/// Translates the simulator's messages to the policy's events. The names that the wire uses occur only here
/// and in the other wire_* files.
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

/// The kind of a message. All but the first two are events of a policy.
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

/// The kind of the message with this name; none if the name is unknown to this version.
std::optional<MessageKind> messageKind(std::string_view name);

/// The nodes of the endpoint lists that the simulator sent. Messages refer to a list by its number, so that
/// it is sent only once for all hosts that get it.
class EndpointListTable {
public:
    /// The nodes of one list.
    /// \param line the message to name in an error
    /// \throws WireError if the number is out of range
    std::vector<NodeInfo>& at(std::int64_t listNumber, const WireLine& line);
    /// As above, for reading.
    const std::vector<NodeInfo>& at(std::int64_t listNumber, const WireLine& line) const;

private:
    std::size_t indexOf(std::int64_t listNumber, const WireLine& line) const;

    static constexpr std::size_t kListCount = 16;  // the simulator numbers its lists from 0 to 15

    std::array<std::vector<NodeInfo>, kListCount> lists_;
};

/// Reads one entry of an endpoint list.
/// \throws WireError if the line is not an entry, lacks the node or the state, or has a malformed field
NodeInfo parseNode(const WireLine& line);

/// Reads the event of a message.
/// \param kind the line's message kind; not HostStarted or HostStopped, which are not events
/// \param settings of the host; a request's class and plan become indices into them, none if unknown
/// \throws WireError if a field is missing or malformed
Event parseEvent(MessageKind kind, const WireLine& line, const Settings& settings,
                 const EndpointListTable& endpointLists);

}  // namespace wingproxy::wire
