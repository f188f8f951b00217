#include "fleet/restart_recovery.h"

#include <algorithm>

namespace wingproxy::fleet {
namespace {

/// The time of the last datagram before any was sent, so that the first one is due at once.
constexpr Micros kLongAgo = -1'000'000'000'000'000;
constexpr Micros kMicrosPerMilli = 1'000;
constexpr int kMaxNoticeHolders = 3;

/// The signed distance from one wire time to another, in milliseconds modulo 2^32.
std::int32_t millisBetween(WireMillis from, WireMillis to) { return static_cast<std::int32_t>(to - from); }

}  // namespace

RestartRecovery::RestartRecovery(const Options& options, Micros startedAt)
    : options_(options),
      startedAt_(startedAt),
      recoveredAt_(options.hostCount > 1 ? startedAt + options.leaseDuration : startedAt),
      lastQueryAt_(kLongAgo),
      lastQueryToAllAt_(kLongAgo),
      lastNoticeAt_(kLongAgo),
      incarnation_(toWireMillis(startedAt) | 1u),  // never 0, which means none
      queriesAll_(options.hostCount <= kSmallFleet),
      cause_(options.hostCount > 1 ? RecoveryCause::LeaseExpired : RecoveryCause::AllPeersReplied) {}

std::vector<HostIndex> RestartRecovery::noticeHolders() const {
    std::vector<HostIndex> found;
    for (int k = 0; k < kMaxNoticeHolders; ++k) {
        const int offset = 1 + options_.hostCount * k / (kMaxNoticeHolders + 1);
        const HostIndex host((options_.hostIndex.value() + offset) % options_.hostCount);
        const bool isNew = std::find(found.begin(), found.end(), host) == found.end();
        if (host != options_.hostIndex && isNew) found.push_back(host);
    }
    return found;
}

bool RestartRecovery::isNoticeHolder(HostIndex host) const {
    const auto all = noticeHolders();
    return std::find(all.begin(), all.end(), host) != all.end();
}

bool RestartRecovery::noticeHoldersKnowIncarnation(Micros now) const {
    if (now - startedAt_ >= kNoticeRetention) return true;
    const auto all = noticeHolders();
    return std::all_of(all.begin(), all.end(), [&](HostIndex host) { return repliedPeers_.contains(host); });
}

bool RestartRecovery::mayLend(Micros now) const {
    if (!isRecovered(now)) return false;
    const bool leaseOutlastsShutdown = lastLeaseEnd_ != 0 && now + options_.leaseDuration > lastLeaseEnd_;
    return !leaseOutlastsShutdown && noticeHoldersKnowIncarnation(now);
}

void RestartRecovery::startShutdown(Micros until, Micros now) {
    lastLeaseEnd_ = std::max(until, now + options_.leaseDuration);
}

void RestartRecovery::recoverAt(Micros at, RecoveryCause cause) {
    if (at >= recoveredAt_) return;
    recoveredAt_ = at;
    cause_ = cause;
}

// -------------------------------------------------------------------------------------------- incarnations

IncarnationStatus RestartRecovery::observeIncarnation(HostIndex from, Incarnation incarnation, Micros now) {
    const IncarnationStatus status = peers_.observe(from, incarnation, now);
    if (status == IncarnationStatus::Stale) {
        ++counters_.stale;
        return status;
    }
    if (status == IncarnationStatus::New) ++counters_.newIncarnations;
    notices_.observeIncarnation(from, incarnation);
    return status;
}

// ------------------------------------------------------------------------------------------------ messages

OutgoingDatagram RestartRecovery::datagramTo(HostIndex host, const RecoveryMessage& message) const {
    return {host, encode({incarnation_, message})};
}

RestartRecovery::DatagramResult RestartRecovery::handleDatagram(HostIndex from, const std::string& bytes,
                                                                Micros now) {
    const auto datagram = decode(bytes);
    const bool isPeer = from != options_.hostIndex && from.isBelow(options_.hostCount);
    if (!datagram || !isPeer) {
        ++counters_.malformed;
        return {IncarnationStatus::Stale, {}};
    }
    const bool isFirstContact = !peers_.isCurrent(from, datagram->sender);
    DatagramResult result{observeIncarnation(from, datagram->sender, now), {}};
    if (result.status == IncarnationStatus::Stale) return result;
    if (std::holds_alternative<RecoveryQuery>(datagram->message)) {
        result.replies.push_back(datagramTo(from, replyTo(from, datagram->sender)));
        // The sender has just started and may have missed this host's query, so it is queried again, once per
        // incarnation.
        if (isFirstContact && needsReplyOf(from, now))
            result.replies.push_back(datagramTo(from, RecoveryQuery{}));
    } else if (const auto* notice = std::get_if<ShutdownNotice>(&datagram->message)) {
        handle(from, datagram->sender, *notice);
    } else {
        handle(from, std::get<RecoveryReply>(datagram->message), now);
    }
    return result;
}

RecoveryReply RestartRecovery::replyTo(HostIndex from, Incarnation sender) const {
    return {sender, notices_.findEarlier(from, sender)};
}

bool RestartRecovery::needsReplyOf(HostIndex peer, Micros now) const {
    if (repliedPeers_.contains(peer)) return false;
    return !isRecovered(now) || !noticeHoldersKnowIncarnation(now);
}

void RestartRecovery::handle(HostIndex from, Incarnation sender, const ShutdownNotice& notice) {
    if (notices_.store(from, sender, notice)) ++counters_.storedNotices;
}

void RestartRecovery::handle(HostIndex from, const RecoveryReply& reply, Micros now) {
    if (reply.recipient != incarnation_) return;
    repliedPeers_.insert(from);
    const auto peerCount = static_cast<std::size_t>(options_.hostCount - 1);
    if (repliedPeers_.size() >= peerCount) recoverAt(now, RecoveryCause::AllPeersReplied);
    const auto earlier = reply.earlierNotice.value_or(EarlierNotice{});
    const auto ageMs = millisBetween(earlier.notice.sentMs, toWireMillis(now));
    const bool isValid =
        earlier.incarnation != 0 && ageMs >= 0 && Micros(ageMs) * kMicrosPerMilli < kNoticeRetention;
    if (isValid) {
        const auto leftMs = millisBetween(toWireMillis(now), earlier.notice.leasesExpiredMs);
        recoverAt(now + std::max(0, leftMs) * kMicrosPerMilli, RecoveryCause::ShutdownNotice);
    } else if (isNoticeHolder(from)) {
        queriesAll_ = true;
    }
}

// ------------------------------------------------------------------------------------------- due datagrams

std::vector<OutgoingDatagram> RestartRecovery::dueDatagrams(Micros now) {
    if (!options_.mayGossip || options_.hostCount < 2) return {};
    return lastLeaseEnd_ != 0 ? dueNotices(now) : dueQueries(now);
}

std::vector<OutgoingDatagram> RestartRecovery::dueNotices(Micros now) {
    if (now - lastNoticeAt_ < kQueryInterval) return {};
    lastNoticeAt_ = now;
    // Leases of an earlier incarnation, which have ended by recoveredAt_, may outlast those of this one. The
    // time is rounded up to whole milliseconds.
    const Micros leasesExpired = std::max(lastLeaseEnd_, recoveredAt_);
    const ShutdownNotice notice{toWireMillis(now), toWireMillis(leasesExpired) + 1};
    std::vector<OutgoingDatagram> due;
    for (const HostIndex host : noticeHolders())
        due.push_back(datagramTo(host, notice));
    return due;
}

/// All peers are queried as long as `queriesAllPeers` holds. The notice holders are also queried after the
/// recovery, until they know of this incarnation, so that no later one relies on a notice from before it.
std::vector<OutgoingDatagram> RestartRecovery::dueQueries(Micros now) {
    const bool toAll = queriesAllPeers(now) && now - lastQueryToAllAt_ >= kQueryInterval;
    const bool toHolders = now - lastQueryAt_ >= kQueryInterval && !noticeHoldersKnowIncarnation(now);
    if (!toAll && !toHolders) return {};
    if (toAll) lastQueryToAllAt_ = now;
    lastQueryAt_ = now;
    const auto holders = noticeHolders();
    std::vector<OutgoingDatagram> due;
    for (HostIndex host(0); host.isBelow(options_.hostCount); host = host.next()) {
        const bool isNoticeHolder = std::find(holders.begin(), holders.end(), host) != holders.end();
        const bool isAsked = (toAll || isNoticeHolder) && host != options_.hostIndex;
        if (isAsked && !repliedPeers_.contains(host)) due.push_back(datagramTo(host, RecoveryQuery{}));
    }
    return due;
}

bool RestartRecovery::queriesAllPeers(Micros now) const {
    if (isRecovered(now) || cause_ == RecoveryCause::ShutdownNotice) return false;
    return queriesAll_ || now - startedAt_ >= kNoticeHoldersOnlyPeriod;
}

}  // namespace wingproxy::fleet
