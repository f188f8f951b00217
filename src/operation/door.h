// Where operators call: HTTP/1.1, one call to a connection.
#pragma once

#include <cstdint>
#include <memory>

#include "net/session.h"
#include "operation/call.h"

namespace wingproxy::operation {

// So many connections at once, in descriptors of their own. Where more come, the oldest that asked nothing
// yet makes room, so that callers that hang keep no other from being heard.
constexpr std::size_t kMostCallers = 24;

class Calls {
public:
    struct Counters {
        std::uint64_t yes = 0, no = 0, malformed = 0, hung = 0;  // hung: closed without a whole call
    };
    Calls(boost::asio::io_context& io, const config::Endpoint& at, Desk desk);
    net::SessionManager& sessionManager() { return sessionManager_; }
    const Counters& counters() const { return counters_; }

private:
    class Caller;
    Desk desk_;
    Counters counters_;
    net::SessionManager sessionManager_;
};

}  // namespace wingproxy::operation
