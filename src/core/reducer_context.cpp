#include "core/reducer_context.h"

#include <utility>

namespace wingproxy::core {

ReducerContext::ReducerContext(const Settings& settings, const AttemptLimits& limits, Micros startedAt)
    : settings(settings), limits(limits), now(startedAt), policy(settings, startedAt) {
    counters.byClass.resize(settings.classes.size() + 1);
}

void ReducerContext::notifyPolicy(const Event& event) {
    policyPending = true;
    policy.on(now, event);
}

void ReducerContext::emit(Effect effect) { effects.push_back(std::move(effect)); }

}  // namespace wingproxy::core
