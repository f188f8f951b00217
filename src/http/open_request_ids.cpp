#include "http/open_request_ids.h"

namespace wingproxy::http {

void OpenRequestIds::setOpenElsewhere(const std::vector<std::string>& ids, Micros until) {
    openElsewhere_ = {ids.begin(), ids.end()};
    openElsewhereUntil_ = until;
}

void OpenRequestIds::abandon(const std::string& id, Micros until) {
    open_.erase(id);
    const std::size_t hash = std::hash<std::string>{}(id);
    if (abandonedUntil_.insert_or_assign(hash, until).second) abandoned_.push_back(hash);
    if (abandoned_.size() <= kMaxAbandoned) return;
    abandonedUntil_.erase(abandoned_.front());
    abandoned_.pop_front();
}

bool OpenRequestIds::isOpen(const std::string& id, Micros now) const {
    const auto abandoned = abandonedUntil_.find(std::hash<std::string>{}(id));
    if (abandoned != abandonedUntil_.end() && now < abandoned->second) return true;
    return open_.contains(id) || (now < openElsewhereUntil_ && openElsewhere_.contains(id));
}

}  // namespace wingproxy::http
