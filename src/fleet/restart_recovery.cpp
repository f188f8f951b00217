#include "fleet/restart_recovery.h"

#include <algorithm>

namespace wingproxy::fleet {
namespace {

constexpr Micros kLongAgo = -1'000'000'000'000'000;
constexpr Micros kMicrosPerMilli = 1'000;
constexpr int kMaxHolders = 3;

/// The signed distance from one time of a datagram to another.
std::int32_t millisBetween(WireMillis from, WireMillis to) { return static_cast<std::int32_t>(to - from); }

}  // namespace

RestartRecovery::RestartRecovery(const Options& options, Micros startedAt)
    : options_(options),
      startedAt_(startedAt),
      recoveredAt_(options.hostCount > 1 ? startedAt + options.leaseDuration : startedAt),
      lastQueryAt_(kLongAgo),
      lastQueryToAllAt_(kLongAgo),
      lastNoticeAt_(kLongAgo),
      incarnation_(toWireMillis(startedAt) | 1u),  // never 0, which names none
      queriesAll_(options.hostCount <= kSmallFleet),
      cause_(options.hostCount > 1 ? RecoveryCause::LeaseExpired : RecoveryCause::AllPeersReplied) {}

std::vector<HostIndex> RestartRecovery::holders() const {
    std::vector<HostIndex> found;
    for (int k = 0; k < kMaxHolders; ++k) {
        const int offset = 1 + options_.hostCount * k / (kMaxHolders + 1);
        const HostIndex host((options_.hostIndex.value() + offset) % options_.hostCount);
        const bool isNew = std::find(found.begin(), found.end(), host) == found.end();
        if (host != options_.hostIndex && isNew) found.push_back(host);
    }
    return found;
}

bool RestartRecovery::isHolder(HostIndex host) const {
    const auto all = holders();
    return std::find(all.begin(), all.end(), host) != all.end();
}

bool RestartRecovery::holdersKnowIncarnation(Micros now) const {
    if (now - startedAt_ >= kNoticeRetention) return true;
    const auto all = holders();
    return std::all_of(all.begin(), all.end(), [&](HostIndex host) { return repliedPeers_.contains(host); });
}

bool RestartRecovery::mayLend(Micros now) const {
    if (!isRecovered(now)) return false;
    const bool leaseOutlastsShutdown = servesUntil_ != 0 && now + options_.leaseDuration > servesUntil_;
    return !leaseOutlastsShutdown && holdersKnowIncarnation(now);
}

void RestartRecovery::startShutdown(Micros until, Micros now) {
    servesUntil_ = std::max(until, now + options_.leaseDuration);
}

void RestartRecovery::recoverAt(Micros at, RecoveryCause cause) {
    if (at >= recoveredAt_) return;
    recoveredAt_ = at;
    cause_ = cause;
}

// -------------------------------------------------------------------------------------------- incarnations

RestartRecovery::IncarnationStatus RestartRecovery::observeIncarnation(HostIndex from,
                                                                       Incarnation incarnation, Micros now) {
    Peer& peer = peers_.try_emplace(from, Peer{incarnation, now}).first->second;
    const bool isEarlier = isBefore(incarnation, peer.incarnation);
    if (isEarlier && now - peer.heardAt < kStaleIncarnationPeriod) {
        ++counters_.stale;
        return IncarnationStatus::Stale;
    }
    const bool isNew = peer.incarnation != incarnation;
    peer = {incarnation, now};
    discardOutdatedNotice(from, incarnation);
    if (!isNew) return IncarnationStatus::Known;
    ++counters_.newIncarnations;
    return IncarnationStatus::New;
}

/// A notice is for the incarnation after the one that wrote it. A later one might go by a time that does not
/// cover the leases of the incarnation in between.
void RestartRecovery::discardOutdatedNotice(HostIndex from, Incarnation current) {
    const auto it = notices_.find(from);
    if (it == notices_.end() || it->second.incarnation == current) return;
    StoredNotice& stored = it->second;
    if (stored.successor == 0)
        stored.successor = current;
    else if (stored.successor != current)
        notices_.erase(it);
}

bool RestartRecovery::isKnown(HostIndex from, Incarnation incarnation) const {
    const auto it = peers_.find(from);
    return it != peers_.end() && it->second.incarnation == incarnation;
}

// ------------------------------------------------------------------------------------------------ messages

OutgoingDatagram RestartRecovery::message(HostIndex to, const RecoveryMessage& message) const {
    return {to, encode({incarnation_, message})};
}

RestartRecovery::DatagramResult RestartRecovery::handleDatagram(HostIndex from, const std::string& bytes,
                                                                Micros now) {
    const auto datagram = decode(bytes);
    const bool isPeer = from != options_.hostIndex && from.isBelow(options_.hostCount);
    if (!datagram || !isPeer) {
        ++counters_.malformed;
        return {IncarnationStatus::Stale, {}};
    }
    const bool isFirstContact = !isKnown(from, datagram->sender);
    DatagramResult result{observeIncarnation(from, datagram->sender, now), {}};
    if (result.status == IncarnationStatus::Stale) return result;
    if (const auto* query = std::get_if<RecoveryQuery>(&datagram->message)) {
        result.replies = handle(from, datagram->sender, *query);
        // The sender has just started and may have missed this host's query; it is asked once more for each
        // of its incarnations.
        const bool needsReply =
            !repliedPeers_.contains(from) && (!isRecovered(now) || !holdersKnowIncarnation(now));
        if (isFirstContact && needsReply) result.replies.push_back(message(from, RecoveryQuery{}));
    } else if (const auto* notice = std::get_if<ShutdownNotice>(&datagram->message)) {
        handle(from, datagram->sender, *notice);
    } else {
        handle(from, std::get<RecoveryReply>(datagram->message), now);
    }
    return result;
}

std::vector<OutgoingDatagram> RestartRecovery::handle(HostIndex from, Incarnation sender,
                                                      const RecoveryQuery&) {
    RecoveryReply reply{sender, {}};
    const auto it = notices_.find(from);
    if (it != notices_.end() && it->second.incarnation != sender) {
        const StoredNotice& stored = it->second;
        reply.earlierNotice = EarlierNotice{stored.incarnation, {stored.sentMs, stored.leasesExpiredMs}};
    }
    return {message(from, reply)};
}

void RestartRecovery::handle(HostIndex from, Incarnation sender, const ShutdownNotice& notice) {
    StoredNotice& stored = notices_[from];
    const bool isFirst = stored.incarnation != sender;
    if (!isFirst && !isBefore(stored.sentMs, notice.sentMs)) return;  // out of order or a duplicate
    if (isFirst) ++counters_.storedNotices;
    stored = {sender, notice.sentMs, notice.leasesExpiredMs, 0};
}

void RestartRecovery::handle(HostIndex from, const RecoveryReply& reply, Micros now) {
    if (reply.recipient != incarnation_) return;
    repliedPeers_.insert(from);
    const auto peerCount = static_cast<std::size_t>(options_.hostCount - 1);
    if (repliedPeers_.size() >= peerCount) recoverAt(now, RecoveryCause::AllPeersReplied);
    const auto earlier = reply.earlierNotice.value_or(EarlierNotice{});
    const auto ageMs = millisBetween(earlier.notice.sentMs, toWireMillis(now));
    const bool counts =
        earlier.incarnation != 0 && ageMs >= 0 && Micros(ageMs) * kMicrosPerMilli < kNoticeRetention;
    if (counts) {
        const auto leftMs = millisBetween(toWireMillis(now), earlier.notice.leasesExpiredMs);
        recoverAt(now + std::max(0, leftMs) * kMicrosPerMilli, RecoveryCause::ShutdownNotice);
    } else if (isHolder(from)) {
        queriesAll_ = true;
    }
}

// ------------------------------------------------------------------------------------------- due datagrams

std::vector<OutgoingDatagram> RestartRecovery::dueDatagrams(Micros now) {
    if (!options_.mayGossip || options_.hostCount < 2) return {};
    return servesUntil_ != 0 ? dueNotices(now) : dueQueries(now);
}

std::vector<OutgoingDatagram> RestartRecovery::dueNotices(Micros now) {
    if (now - lastNoticeAt_ < kQueryInterval) return {};
    lastNoticeAt_ = now;
    // Leases of the incarnation before this one may outlast its own. Rounded up to whole milliseconds.
    const Micros leasesExpired = std::max(servesUntil_, recoveredAt_);
    const ShutdownNotice notice{toWireMillis(now), toWireMillis(leasesExpired) + 1};
    std::vector<OutgoingDatagram> due;
    for (const HostIndex host : holders())
        due.push_back(message(host, notice));
    return due;
}

/// Everyone is asked where the notice holders cannot help; the notice holders also after that, until they
/// know of this incarnation, so that no later one goes by a notice from before it.
std::vector<OutgoingDatagram> RestartRecovery::dueQueries(Micros now) {
    const bool toAll = queriesEveryone(now) && now - lastQueryToAllAt_ >= kQueryInterval;
    const bool toHolders = now - lastQueryAt_ >= kQueryInterval && !holdersKnowIncarnation(now);
    if (!toAll && !toHolders) return {};
    if (toAll) lastQueryToAllAt_ = now;
    lastQueryAt_ = now;
    const auto noticeHolders = holders();
    std::vector<OutgoingDatagram> due;
    for (HostIndex host(0); host.isBelow(options_.hostCount); host = host.next()) {
        const bool isNoticeHolder =
            std::find(noticeHolders.begin(), noticeHolders.end(), host) != noticeHolders.end();
        const bool isAsked = (toAll || isNoticeHolder) && host != options_.hostIndex;
        if (isAsked && !repliedPeers_.contains(host)) due.push_back(message(host, RecoveryQuery{}));
    }
    return due;
}

bool RestartRecovery::queriesEveryone(Micros now) const {
    if (isRecovered(now) || cause_ == RecoveryCause::ShutdownNotice) return false;
    return queriesAll_ || now - startedAt_ >= kHoldersOnlyPeriod;
}

}  // namespace wingproxy::fleet
