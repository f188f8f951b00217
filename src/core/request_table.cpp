#include "core/request_table.h"

namespace wingproxy::core {

InFlightRequest* RequestTable::add(const Request& request) {
    const auto [it, isNew] = requests_.try_emplace(request.id);
    if (!isNew) return nullptr;
    InFlightRequest& added = it->second;
    added.deadlineUs = request.deadlineUs;
    added.units = request.units;
    added.cell = request.cell;
    added.classIndex = request.classIndex;
    added.bodyIncomplete = request.bodyIncomplete;
    added.bodyStreamed = request.bodyIncomplete;
    ++unanswered_;
    return &added;
}

InFlightRequest* RequestTable::find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

AttemptLookup RequestTable::findAttempt(RequestId id, AttemptIndex attempt) {
    InFlightRequest* request = find(id);
    if (request == nullptr) return {};
    const auto it = request->attempts.find(attempt);
    if (it == request->attempts.end()) return {};
    return {request, &it->second};
}

void RequestTable::markAnswered(InFlightRequest& request) {
    request.answered = true;
    --unanswered_;
}

}  // namespace wingproxy::core
