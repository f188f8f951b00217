/// \file
/// Runs the policies of a simulation: reads the simulator's messages from standard input and writes the
/// actions to standard output (see docs/design.md, "The adapter"). Exit codes: 0 at the end of the input, 1
/// if the output is closed, 2 on malformed input.
#include <cstdio>
#include <iostream>

#include "simulated_hosts.h"

namespace {

constexpr int kExitEndOfInput = 0;
constexpr int kExitOutputClosed = 1;
constexpr int kExitMalformedInput = 2;

int serve(std::istream& in, std::ostream& out) {
    wingproxy::wire::SimulatedHosts hosts;
    std::string response;
    while (hosts.serveBatch(in, response)) {
        out.write(response.data(), static_cast<std::streamsize>(response.size()));
        out.flush();
        if (!out) return kExitOutputClosed;
        response.clear();
    }
    return kExitEndOfInput;
}

}  // namespace

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    try {
        return serve(std::cin, std::cout);
    } catch (const std::exception& error) {
        std::cerr << "wingproxy_wirehost: " << error.what() << '\n';
        return kExitMalformedInput;
    }
}
