// The instance table: which Policy each event of a batch belongs to. Translation only.
#pragma once

#include <array>
#include <functional>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wire.h"

namespace wingproxy::wire {

class Instances {
public:
    // Reads one batch and appends its reply to out; false at the end of input.
    // Throws Malformed on what is not the wire.
    bool serveBatch(std::istream& in, std::string& out);

private:
    struct Instance {
        std::optional<Settings> settings;  // empty: not started, or killed
        std::optional<Policy> policy;
        std::string fault;      // text of an exception out of the module
        std::size_t batch = 0;  // the last one that brought it an event
    };
    bool nextLine(std::istream& in);
    void guarded(Instance& instance, const std::function<void()>& call);
    void deliver(const Line& line, Micros now);
    Instance& instanceOf(const Line& line);
    std::map<std::string, Instance, std::less<>> instances_;
    std::vector<std::pair<const std::string*, Instance*>> touched_;
    std::array<std::vector<NodeInfo>, 16> lists_;
    std::string line_;
    std::size_t lineNumber_ = 0, batch_ = 0;
};

}  // namespace wingproxy::wire
