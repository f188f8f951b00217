#include "fleet/restart_recovery.h"

#include <algorithm>
#include <optional>

namespace wingproxy::fleet {
namespace {

// Format, life of the sender, tag, and the tag's fields; numbers of four bytes, the lowest first.
constexpr char kFormat = char(0xB1);
enum Tag : std::uint8_t {
    kHello = 1,
    kWelcome,
    kShutdownNotice,
    kWelcomeAfter
};                                                  // After: with a shutdown notice
constexpr std::size_t kFields[] = {0, 0, 1, 2, 4};  // by tag
constexpr Micros kLongAgo = -1'000'000'000'000'000;

struct Datagram {
    std::uint32_t life = 0;
    Tag tag = kHello;
    std::uint32_t fields[4]{};  // WelcomeAfter: to, life, sentMs, overMs; ShutdownNotice: sentMs, overMs
};

void put(std::string& to, std::uint32_t value) {
    for (int i = 0; i < 4; ++i)
        to += char(value >> (8 * i) & 255);
}

std::string write(const Datagram& d) {
    std::string bytes(1, kFormat);
    put(bytes, d.life);
    bytes += char(d.tag);
    for (std::size_t i = 0; i < kFields[d.tag]; ++i)
        put(bytes, d.fields[i]);
    return bytes;
}

// Exactly one whole datagram, or nothing.
std::optional<Datagram> read(const std::string& bytes) {
    if (bytes.size() < 6 || bytes[0] != kFormat) return {};
    const auto get = [&](std::size_t at) {
        std::uint32_t value = 0;
        for (std::size_t i = 0; i < 4; ++i)
            value |= std::uint32_t(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
        return value;
    };
    Datagram d;
    d.life = get(1);
    const auto tag = static_cast<unsigned char>(bytes[5]);
    if (tag < kHello || tag > kWelcomeAfter || bytes.size() != 6 + 4 * kFields[tag]) return {};
    d.tag = Tag(tag);
    for (std::size_t i = 0; i < kFields[tag]; ++i)
        d.fields[i] = get(6 + 4 * i);
    return d;
}

std::uint32_t msOf(Micros at) { return std::uint32_t(std::uint64_t(at / 1000)); }
bool before(std::uint32_t a, std::uint32_t b) { return std::int32_t(a - b) < 0; }

}  // namespace

RestartRecovery::RestartRecovery(const Options& terms, Micros startedAt)
    : terms_(terms),
      startedAt_(startedAt),
      clearAt_(terms.hosts > 1 ? startedAt + terms.lease : startedAt),
      lastHello_(kLongAgo),
      lastToAll_(kLongAgo),
      lastNotice_(kLongAgo),
      life_(msOf(startedAt) | 1u),  // never 0
      askAll_(terms.hosts <= kSmallFleet),
      by_(terms.hosts > 1 ? RecoveryCause::LeaseExpired : RecoveryCause::AllPeersReplied) {}

bool RestartRecovery::isRecoveryDatagram(const std::string& bytes) {
    return !bytes.empty() && bytes[0] == kFormat;
}

std::vector<int> RestartRecovery::holders() const {
    std::vector<int> all;
    for (int k = 0; k < 3; ++k) {
        const int host = (terms_.host + 1 + terms_.hosts * k / 4) % terms_.hosts;
        if (host != terms_.host && std::find(all.begin(), all.end(), host) == all.end()) all.push_back(host);
    }
    return all;
}

bool RestartRecovery::holdersKnow(Micros now) const {
    if (now - startedAt_ >= kNoticeRetention) return true;
    const auto all = holders();
    return std::all_of(all.begin(), all.end(), [&](int h) { return welcomedBy_.contains(h); });
}

bool RestartRecovery::mayLend(Micros now) const {
    if (!isRecovered(now) || (leavingUntil_ != 0 && now + terms_.lease > leavingUntil_)) return false;
    return holdersKnow(now);
}

void RestartRecovery::clearBy(RecoveryCause by, Micros at) {
    if (at >= clearAt_) return;
    clearAt_ = at;
    by_ = by;
}

RestartRecovery::IncarnationStatus RestartRecovery::observeIncarnation(int from, std::uint32_t life,
                                                                       Micros now) {
    const auto [known, first] = peers_.try_emplace(from, Peer{life, now});
    Peer& peer = known->second;
    if (peer.life != life && before(life, peer.life) && now - peer.at < kStaleIncarnationPeriod) {
        ++counters_.stale;
        return IncarnationStatus::Stale;
    }
    peer.at = now;
    const bool anew = peer.life != life;
    peer.life = life;
    if (const auto f = notices_.find(from); f != notices_.end() && f->second.life != life) {
        if (f->second.next == 0)
            f->second.next = life;
        else if (f->second.next != life)
            notices_.erase(f);  // of a life before the last: it says nothing
    }
    if (!anew) return IncarnationStatus::Known;
    ++counters_.newIncarnations;
    return IncarnationStatus::New;
}

RestartRecovery::DatagramResult RestartRecovery::handleDatagram(int from, const std::string& bytes,
                                                                Micros now) {
    const auto d = read(bytes);
    if (!d || from == terms_.host || from < 0 || from >= terms_.hosts) {
        ++counters_.malformed;
        return {IncarnationStatus::Stale, {}};
    }
    const auto known = peers_.find(from);
    const bool first = known == peers_.end() || known->second.life != d->life;
    DatagramResult heard{observeIncarnation(from, d->life, now), {}};
    if (heard.status == IncarnationStatus::Stale) return heard;
    if (d->tag == kHello) {
        Datagram welcome{life_, kWelcome, {d->life, 0, 0, 0}};
        if (const auto f = notices_.find(from); f != notices_.end() && f->second.life != d->life)
            welcome.tag = kWelcomeAfter, welcome.fields[1] = f->second.life,
            welcome.fields[2] = f->second.sentMs, welcome.fields[3] = f->second.overMs;
        heard.replies.push_back({from, write(welcome)});
        // It has just come up, and may have missed the hello to it. Once for each of its lives.
        if (first && !welcomedBy_.contains(from) && (!isRecovered(now) || !holdersKnow(now)))
            heard.replies.push_back({from, write({life_, kHello, {}})});
    } else if (d->tag == kShutdownNotice) {
        auto& f = notices_[from];
        if (f.life != d->life || before(f.sentMs, d->fields[0])) {
            if (f.life != d->life) ++counters_.storedNotices;
            f = {d->life, d->fields[0], d->fields[1], 0};
        }
    } else if (d->fields[0] == life_) {  // a welcome to this life
        welcomedBy_.insert(from);
        if (int(welcomedBy_.size()) >= terms_.hosts - 1) clearBy(RecoveryCause::AllPeersReplied, now);
        const auto held = holders();
        const bool holder = std::find(held.begin(), held.end(), from) != held.end();
        const auto [to, life, sentMs, overMs] = d->fields;
        const auto age = std::int32_t(msOf(now) - sentMs), left = std::int32_t(overMs - msOf(now));
        if (life != 0 && age >= 0 && Micros(age) * 1000 < kNoticeRetention)
            clearBy(RecoveryCause::ShutdownNotice, now + std::max(0, left) * Micros(1000));
        else if (holder)
            askAll_ = true;  // it knows of none: they are all asked
    }
    return heard;
}

std::vector<OutgoingDatagram> RestartRecovery::dueDatagrams(Micros now) {
    std::vector<OutgoingDatagram> out;
    if (!terms_.talks || terms_.hosts < 2) return out;
    if (leavingUntil_ != 0) {
        if (now - lastNotice_ < kQueryInterval) return out;
        lastNotice_ = now;
        const auto over = std::max(leavingUntil_, clearAt_);
        for (const int h : holders())
            out.push_back({h, write({life_, kShutdownNotice, {msOf(now), msOf(over) + 1}})});
        return out;
    }
    // All, where no holder can help; holders until they know of this life, as no later one may go by an older
    // shutdown notice.
    const bool anyone = !isRecovered(now) && by_ != RecoveryCause::ShutdownNotice &&
                        (askAll_ || now - startedAt_ >= kHoldersOnlyPeriod);
    const bool toAll = anyone && now - lastToAll_ >= kQueryInterval;
    const bool toHolders = !holdersKnow(now) && now - lastHello_ >= kQueryInterval;
    if (!toAll && !toHolders) return out;  // as at nearly every look
    if (toAll) lastToAll_ = now;
    lastHello_ = now;
    const auto held = holders();
    for (int h = 0; h < terms_.hosts; ++h) {
        const bool asked = toAll || std::find(held.begin(), held.end(), h) != held.end();
        if (asked && h != terms_.host && !welcomedBy_.contains(h))
            out.push_back({h, write({life_, kHello, {}})});
    }
    return out;
}

}  // namespace wingproxy::fleet
