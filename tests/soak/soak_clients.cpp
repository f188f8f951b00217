#include "soak/soak_clients.h"

namespace wingproxy::soak {
namespace {

constexpr int kLeastPatienceMs = 250;

}  // namespace

void SoakClient::poll(const FrontState& front, Observations& observations, SoakResult& result) {
    const Clock::time_point now = Clock::now();
    if (!waits_) {
        if (connection_ && !connection_->received.empty())
            observations.violate("bytes came that answer no request: " + connection_->received.substr(0, 40));
        if (connection_ && connection_->ended) connection_.reset();
        if (now >= nextAt_) start(front, observations, result);
        return;
    }
    if (const auto message = HttpMessage::in(connection_->received)) {
        connection_->received.erase(0, message->length);
        receive(*message, observations, result);
    } else if (leavesAt_ && now >= *leavesAt_) {
        leave(observations, result);
    } else if (connection_->ended) {
        onEnded(front, observations, result);
    } else if (now > observed_.sentAt + observed_.patience + kLateAnswer + kObserverSlack) {
        onOverdue(observations);
    }
}

void SoakClient::scheduleNext() {
    const double mean = habits_.interval.count();
    const std::chrono::duration<double> drawn(std::exponential_distribution<double>(1 / mean)(random_));
    nextAt_ = std::max(nextAt_ + std::chrono::duration_cast<Clock::duration>(drawn), Clock::now());
}

void SoakClient::start(const FrontState& front, Observations& observations, SoakResult& result) {
    if (!connection_) {
        if (!front.acceptsNew) return;
        connection_ = surroundings_.connect();
        isFirstOnConnection_ = true;
    }
    drawRequest();
    wasCrossed_ = false;
    ++result.requests;
    if (!leavesAt_) surroundings_.onOffered({front_, request_.shard, request_.units, observed_.patience});
    send(observations);
    scheduleNext();
}

void SoakClient::drawRequest() {
    const bool isWrite = draw(4) == 0;
    const auto longest = habits_.longestDeadline.count();
    request_ = {.id = fmt::format("{:016x}", random_()),
                .kind = isWrite ? "alta" : "lectura",
                .volume = fmt::format("{:016x}", draw(4) + 1),
                .body = isWrite ? std::string(std::size_t(draw(300)), 'b') : "",
                .deadlineMs = kLeastPatienceMs + int(draw(longest - kLeastPatienceMs)),
                .shard = int(draw(kSoakCells)),
                .units = double(1 + draw(kMaxUnits))};
    observed_ = {front_, request_.units, milliseconds(request_.deadlineMs), Clock::now(), {}, 0, 0, {}};
    leavesAt_.reset();
    if (draw(100) < kLeavesPercent) leavesAt_ = Clock::now() + milliseconds(draw(request_.deadlineMs));
}

void SoakClient::send(Observations& observations) {
    observed_.sentAt = Clock::now();
    observations.requestSent(request_.id, observed_);
    connection_->send(request_.text());
    waits_ = true;
}

void SoakClient::leave(Observations& observations, SoakResult& result) {
    connection_->close();
    connection_.reset();
    observations.clientLeft(request_.id);
    ++result.left;
    waits_ = false;
}

void SoakClient::onOverdue(Observations& observations) {
    observations.violate(fmt::format("front {} has not answered {}, which waits {} ms", front_, request_.id,
                                     observed_.patience.count()),
                         request_.id);
    connection_->close();
    connection_.reset();
    waits_ = false;
}

void SoakClient::receive(const HttpMessage& message, Observations& observations, SoakResult& result) {
    waits_ = false;
    isFirstOnConnection_ = false;
    const Clock::time_point now = Clock::now();
    const int status = std::stoi(message.head.substr(message.head.find(' ') + 1));
    if (status == 200) {
        ++result.answered;
        if (!leavesAt_ && now <= observed_.sentAt + observed_.patience + observations.lag().now())
            ++result.answeredInTime;
        if (message.body != request_.id)
            observations.violate("an answer is not the one that a node made for " + request_.id, request_.id);
    } else if (status == 503 || status == 429) {
        ++result.rejected;
    } else {
        ++result.failed;
    }
    const std::string advice = message.field("Retry-After");
    if (advice.empty() || !habits_.obeysRetryAfter) return;
    const std::chrono::duration<double> wait(std::stod(advice));
    nextAt_ = std::max(nextAt_, now + std::chrono::duration_cast<Clock::duration>(wait));
}

// A request may cross the end of a connection that rested, or, in a crowd, of a new one that the front shuts
// unread: no node has got it, and its client sends it once more.
void SoakClient::onEnded(const FrontState& front, Observations& observations, SoakResult& result) {
    connection_.reset();
    waits_ = false;
    const bool died = front.killedAt >= observed_.sentAt;
    if (died) return;
    const bool mayBeUnread = isFirstOnConnection_ ? front.crowded : !wasCrossed_;
    const bool wasRead = observations.hasArrived(request_.id);
    if (!mayBeUnread || wasRead)
        return observations.violate(
            fmt::format("front {} closed a {} connection without an answer to {}{}{}", front_,
                        isFirstOnConnection_ ? "new" : "kept", request_.id,
                        wasRead ? ", which a node has got" : "", front.terminating ? ", after SIGTERM" : ""),
            request_.id);
    ++result.crossed;
    if (!front.acceptsNew) return;
    wasCrossed_ = true;
    connection_ = surroundings_.connect();
    isFirstOnConnection_ = true;
    send(observations);
}

}  // namespace wingproxy::soak
