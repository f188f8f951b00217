#include "core/counters.h"

namespace wingproxy::core {

ResponseCounts Counters::total() const {
    ResponseCounts sum;
    for (const auto& answers : byClass) {
        sum.delivered += answers.delivered;
        sum.rejected += answers.rejected;
        sum.failed += answers.failed;
    }
    return sum;
}

}  // namespace wingproxy::core
