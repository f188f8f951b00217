// Speaks the simulator's wire on standard input and output (see docs/design.md, "The adapter").
#include <cstdio>
#include <iostream>

#include "instances.h"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    wingproxy::wire::Instances instances;
    std::string reply;
    try {
        while (reply.clear(), instances.serveBatch(std::cin, reply)) {
            std::cout.write(reply.data(), static_cast<std::streamsize>(reply.size()));
            std::cout.flush();
            if (!std::cout) return 1;
        }
    } catch (const std::exception& error) {
        std::cerr << "wingproxy_wirehost: " << error.what() << '\n';
        return 2;
    }
    return 0;
}
