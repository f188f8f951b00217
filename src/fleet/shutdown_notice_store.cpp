#include "fleet/shutdown_notice_store.h"

namespace wingproxy::fleet {

bool ShutdownNoticeStore::store(HostIndex peer, Incarnation writer, const ShutdownNotice& notice) {
    StoredNotice& stored = notices_[peer];
    const bool isFirst = stored.writer != writer;
    if (!isFirst && !isBefore(stored.notice.sentMs, notice.sentMs)) return false;
    stored = {writer, notice, 0};
    return isFirst;
}

std::optional<EarlierNotice> ShutdownNoticeStore::findEarlier(HostIndex peer, Incarnation current) const {
    const auto it = notices_.find(peer);
    if (it == notices_.end() || it->second.writer == current) return {};
    return EarlierNotice{it->second.writer, it->second.notice};
}

void ShutdownNoticeStore::observeIncarnation(HostIndex peer, Incarnation current) {
    const auto it = notices_.find(peer);
    if (it == notices_.end() || it->second.writer == current) return;
    StoredNotice& stored = it->second;
    if (stored.successor == 0)
        stored.successor = current;
    else if (stored.successor != current)
        notices_.erase(it);
}

}  // namespace wingproxy::fleet
