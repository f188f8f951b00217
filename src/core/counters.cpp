#include "core/counters.h"

namespace wingproxy::core {

Answers Counters::all() const {
    Answers sum;
    for (const auto& answers : byClass) {
        sum.delivered += answers.delivered;
        sum.refused += answers.refused;
        sum.failed += answers.failed;
    }
    return sum;
}

}  // namespace wingproxy::core
