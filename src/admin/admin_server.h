// Where operators call: HTTP/1.1, one call to a connection.
#pragma once

#include <cstdint>
#include <memory>

#include "admin/admin_request.h"
#include "net/session.h"

namespace wingproxy::admin {

// So many connections at once, in descriptors of their own. Where more come, the oldest that asked nothing
// yet makes room, so that callers that hang keep no other from being heard.
constexpr std::size_t kMostCallers = 24;

class AdminServer {
public:
    struct Counters {
        std::uint64_t yes = 0, no = 0, malformed = 0, hung = 0;  // hung: closed without a whole call
    };
    AdminServer(boost::asio::io_context& io, const config::Endpoint& at, AdminHandler handler);
    net::SessionManager& sessionManager() { return sessionManager_; }
    const Counters& counters() const { return counters_; }

private:
    class Caller;
    AdminHandler handler_;
    Counters counters_;
    net::SessionManager sessionManager_;
};

}  // namespace wingproxy::admin
