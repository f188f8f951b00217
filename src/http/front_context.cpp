#include "http/front_context.h"

#include "http/client_limits.h"

namespace wingproxy::http {

void FrontContext::keepConnectionsFree(std::size_t openConnections) {
    const auto reserved = reservedConnections(openConnections);
    if (!noNewConnections_ || waitingRequests_ + reserved <= openConnections) return;
    ++counters_.crowded;
    engine_.capacityNeeded(1);
}

}  // namespace wingproxy::http
