/// \file
/// The hosts of a simulation, each with its own policy, and the batches of messages that the simulator
/// exchanges with them. This is translation only: no decisions are taken here, and hosts share nothing but
/// the endpoint lists of the input.
#pragma once

#include <cstddef>
#include <functional>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wingproxy/policy.h"
#include "wire_events.h"
#include "wire_line.h"

namespace wingproxy::wire {

/// All hosts that the input names, on one thread. A host is created by its first message and is kept until
/// this object is destroyed, even while it is stopped.
class SimulatedHosts {
public:
    /// Reads one batch and appends the response to `out`: the actions of each host that got a message, in the
    /// order of their first messages, and the line that ends the batch.
    ///
    /// After a policy has thrown, one EXCEPTION line per batch replaces the actions of its host, until the
    /// host is started again.
    ///
    /// \return false at the end of the input
    /// \throws WireError on malformed input; this object must not be used after that
    bool serveBatch(std::istream& in, std::string& out);

private:
    /// One host. It has settings and a policy from its start until it is stopped.
    struct Host {
        std::string name;
        std::optional<Settings> settings;
        std::optional<Policy> policy;
        std::string exception;      ///< text of an exception of the policy, which then gets no further events
        std::size_t lastBatch = 0;  ///< number of the last batch with a message for it
    };

    bool readLine(std::istream& in);
    void readMessages(std::istream& in, const WireLine& header, Micros now);
    void readEndpointList(std::istream& in, const WireLine& header, const WireLine& line);
    void handleMessage(const WireLine& line, Micros now);
    void start(Host& host, const WireLine& line, Micros now);
    static void stop(Host& host);
    static void catchExceptions(Host& host, const std::function<void()>& call);
    static void appendActions(Host& host, Micros now, std::string& out);
    Host& hostOf(const WireLine& line);

    std::map<std::string, Host, std::less<>> hosts_;
    std::vector<Host*> hostsInBatch_;  ///< hosts with a message in this batch
    EndpointListTable endpointLists_;
    std::string line_;  ///< the line that was read last
    std::size_t lineNumber_ = 0;
    std::size_t batchCount_ = 0;
};

}  // namespace wingproxy::wire
