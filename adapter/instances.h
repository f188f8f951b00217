/// \file
/// The hosts of a simulation, each with its own policy, and the batches of messages that the simulator
/// exchanges with them. It translates only: no decision is taken here, and hosts share nothing but the
/// input's lists.
#pragma once

#include <cstddef>
#include <functional>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base64.h"  // for the users of this header
#include "wingproxy/policy.h"
#include "wire_events.h"
#include "wire_line.h"

namespace wingproxy::wire {

class Instances {
public:
    /// Reads one batch and appends the response to it: the actions of each host that got a message, in the
    /// order of their first messages, and the line that ends the batch. \return false at the end of the input
    /// \throws WireError on malformed input
    bool serveBatch(std::istream& in, std::string& out);

private:
    /// One host. It has settings and a policy from its start to its end.
    struct Instance {
        std::string name;
        std::optional<Settings> settings;
        std::optional<Policy> policy;
        std::string exception;      ///< text of one that left the policy; it gets no further events
        std::size_t lastBatch = 0;  ///< in which a message was for it
    };

    bool readLine(std::istream& in);
    void readMessages(std::istream& in, const WireLine& header, Micros now);
    void readEndpointList(std::istream& in, const WireLine& header, const WireLine& line);
    void handleMessage(const WireLine& line, Micros now);
    void start(Instance& instance, const WireLine& line, Micros now);
    static void stop(Instance& instance);
    static void catchExceptions(Instance& instance, const std::function<void()>& call);
    static void appendActions(Instance& instance, Micros now, std::string& out);
    Instance& instanceOf(const WireLine& line);

    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<Instance*> inBatch_;  ///< those with a message in this batch
    EndpointListTable endpointLists_;
    std::string line_;  ///< the one that was read last
    std::size_t lineNumber_ = 0;
    std::size_t batchCount_ = 0;
};

}  // namespace wingproxy::wire
