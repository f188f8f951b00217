// What balancers ask: liveness and readiness over HTTP, and HAProxy's agent check.
#pragma once

#include <functional>
#include <string>

#include "net/session.h"

namespace wingproxy::health {

struct Report {
    bool ready = false;     // it knows of nodes and takes requests
    bool draining = false;  // it is about to stop
    double used = 0;        // part of the budget of clients that is taken
};

// "ready up 80%": a server that was drained is taken back, with this much of its weight.
std::string agentLine(const Report& report);
// The answer to a request's first line: /live, /ready; 404 for other paths, 405 for other methods.
std::string httpAnswer(std::string_view requestLine, const Report& report);

using Ask = std::function<Report()>;
std::unique_ptr<net::SessionManager> agentServer(boost::asio::io_context& io, const config::Endpoint& at,
                                                 Ask ask);
std::unique_ptr<net::SessionManager> httpServer(boost::asio::io_context& io, const config::Endpoint& at,
                                                Ask ask);

}  // namespace wingproxy::health
