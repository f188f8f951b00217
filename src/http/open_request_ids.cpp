#include "http/open_request_ids.h"

namespace wingproxy::http {

void OpenRequestIds::setOpenElsewhere(const std::vector<std::string>& ids, Micros until) {
    openElsewhere_ = {ids.begin(), ids.end()};
    openElsewhereUntil_ = until;
}

bool OpenRequestIds::isOpen(const std::string& id, Micros now) const {
    return open_.contains(id) || (now < openElsewhereUntil_ && openElsewhere_.contains(id));
}

}  // namespace wingproxy::http
