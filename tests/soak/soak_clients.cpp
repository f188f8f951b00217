#include "soak/soak_clients.h"

namespace wingproxy::soak {
namespace {

constexpr int kMinTimeoutMs = 250;

}  // namespace

void SoakClient::poll(const FrontState& front, Observations& observations, SoakResult& result) {
    const Clock::time_point now = Clock::now();
    if (!isWaiting_) {
        if (connection_ && !connection_->received.empty())
            observations.addViolation("received bytes that answer no request: " +
                                      connection_->received.substr(0, 40));
        if (connection_ && connection_->ended) connection_.reset();
        if (now >= nextAt_) start(front, observations, result);
        return;
    }
    if (const auto message = HttpMessage::in(connection_->received)) {
        connection_->received.erase(0, message->length);
        receive(*message, observations, result);
    } else if (disconnectsAt_ && now >= *disconnectsAt_) {
        disconnect(observations, result);
    } else if (connection_->ended) {
        onEnded(front, observations, result);
    } else if (now > observed_.sentAt + observed_.timeout + kLateAnswer + kObserverSlack) {
        onOverdue(observations);
    }
}

void SoakClient::scheduleNext() {
    const double mean = options_.interval.count();
    const std::chrono::duration<double> drawn(std::exponential_distribution<double>(1 / mean)(random_));
    nextAt_ = std::max(nextAt_ + std::chrono::duration_cast<Clock::duration>(drawn), Clock::now());
}

void SoakClient::start(const FrontState& front, Observations& observations, SoakResult& result) {
    if (!connection_) {
        if (!front.acceptsNew) return;
        connection_ = callbacks_.connect();
        isFirstOnConnection_ = true;
    }
    drawRequest();
    wasResent_ = false;
    ++result.requests;
    if (!disconnectsAt_) callbacks_.onOffered({front_, request_.shard, request_.units, observed_.timeout});
    send(observations);
    scheduleNext();
}

void SoakClient::drawRequest() {
    const bool isWrite = draw(4) == 0;
    const auto longest = options_.longestDeadline.count();
    request_ = {.id = fmt::format("{:016x}", random_()),
                .kind = isWrite ? "alta" : "lectura",
                .volume = fmt::format("{:016x}", draw(4) + 1),
                .body = isWrite ? std::string(std::size_t(draw(300)), 'b') : "",
                .deadlineMs = kMinTimeoutMs + int(draw(longest - kMinTimeoutMs)),
                .shard = int(draw(kSoakCells)),
                .units = double(1 + draw(kMaxUnits))};
    observed_ = {front_, request_.units, milliseconds(request_.deadlineMs), Clock::now(), {}, 0, 0, {}};
    disconnectsAt_.reset();
    if (draw(100) < kDisconnectPercent)
        disconnectsAt_ = Clock::now() + milliseconds(draw(request_.deadlineMs));
}

void SoakClient::send(Observations& observations) {
    observed_.sentAt = Clock::now();
    observations.requestSent(request_.id, observed_);
    connection_->send(request_.text());
    isWaiting_ = true;
}

void SoakClient::disconnect(Observations& observations, SoakResult& result) {
    connection_->close();
    connection_.reset();
    observations.clientDisconnected(request_.id);
    ++result.disconnected;
    isWaiting_ = false;
}

void SoakClient::onOverdue(Observations& observations) {
    observations.addViolation(fmt::format("front {} has not answered {}, whose timeout is {} ms", front_,
                                          request_.id, observed_.timeout.count()),
                              request_.id);
    connection_->close();
    connection_.reset();
    isWaiting_ = false;
}

void SoakClient::receive(const HttpMessage& message, Observations& observations, SoakResult& result) {
    isWaiting_ = false;
    isFirstOnConnection_ = false;
    const Clock::time_point now = Clock::now();
    const int status = std::stoi(message.head.substr(message.head.find(' ') + 1));
    if (status == 200) {
        ++result.answered;
        if (!disconnectsAt_ && now <= observed_.sentAt + observed_.timeout + observations.lag().upperBound())
            ++result.answeredInTime;
        if (message.body != request_.id)
            observations.addViolation("the answer is not the one that a node sent for " + request_.id,
                                      request_.id);
    } else if (status == 503 || status == 429) {
        ++result.rejected;
    } else {
        ++result.failed;
    }
    const std::string advice = message.field("Retry-After");
    if (advice.empty() || !options_.honoursRetryAfter) return;
    const std::chrono::duration<double> wait(std::stod(advice));
    nextAt_ = std::max(nextAt_, now + std::chrono::duration_cast<Clock::duration>(wait));
}

// The front may close an idle connection just as a request is sent on it, or, when its descriptors are
// exhausted, close a new connection unread. No node may have received that request, and the client sends it
// again.
void SoakClient::onEnded(const FrontState& front, Observations& observations, SoakResult& result) {
    connection_.reset();
    isWaiting_ = false;
    const bool died = front.killedAt >= observed_.sentAt;
    if (died) return;
    const bool mayBeUnread = isFirstOnConnection_ ? front.descriptorsExhausted : !wasResent_;
    const bool wasRead = observations.hasArrived(request_.id);
    if (!mayBeUnread || wasRead)
        return observations.addViolation(
            fmt::format("front {} closed a {} connection without an answer to {}{}{}", front_,
                        isFirstOnConnection_ ? "new" : "kept-alive", request_.id,
                        wasRead ? ", which a node received" : "", front.terminating ? ", after SIGTERM" : ""),
            request_.id);
    ++result.resent;
    if (!front.acceptsNew) return;
    wasResent_ = true;
    connection_ = callbacks_.connect();
    isFirstOnConnection_ = true;
    send(observations);
}

}  // namespace wingproxy::soak
