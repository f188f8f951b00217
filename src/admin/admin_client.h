// One call to a running front, from outside it. Blocks for as long as a caller waits: not for the loop.
#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "config/config.h"
#include "admin/admin_request.h"

namespace wingproxy::operation {

// Every call is answered within a second, however busy the front; this is a little more.
constexpr std::chrono::milliseconds kAskFor{1'500};

struct Asked {
    std::optional<Reply> reply;  // none: the front could not be reached, or did not answer in time
    std::string why;             // in that case
};
Asked ask(const config::Endpoint& front, const Call& call, std::chrono::milliseconds wait = kAskFor);

// The request line and body of a call: the other direction of readCall.
struct Overridden {
    std::string method, target, body;
};
Overridden say(const Call& call);

}  // namespace wingproxy::operation
