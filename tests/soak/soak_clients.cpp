#include "soak/soak_clients.h"

namespace wingproxy::soak {
namespace {

constexpr milliseconds kThinkTime{60};
constexpr int kLeastPatienceMs = 250;
constexpr int kMorePatienceMs = 500;
constexpr int kCells = 3;

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
        connection_->close();
        connection_.reset();
        observations.clientLeft(request_.id);
        ++result.left;
        waits_ = false;
    } else if (connection_->ended) {
        onEnded(front, observations, result);
    } else if (now > observed_.sentAt + observed_.patience + kLateAnswer + kObserverSlack) {
        observations.violate(fmt::format("front {} has not answered {}, which waits {} ms", front_,
                                         request_.id, observed_.patience.count()));
        connection_->close();
        connection_.reset();
        waits_ = false;
    }
}

void SoakClient::start(const FrontState& front, Observations& observations, SoakResult& result) {
    if (!connection_) {
        if (!front.acceptsNew) return;
        connection_ = connect_();
        isFirstOnConnection_ = true;
    }
    const bool isWrite = draw(4) == 0;
    request_ = {.id = fmt::format("{:016x}", random_()),
                .kind = isWrite ? "alta" : "lectura",
                .volume = fmt::format("{:016x}", draw(4) + 1),
                .body = isWrite ? std::string(std::size_t(draw(300)), 'b') : "",
                .deadlineMs = kLeastPatienceMs + int(draw(kMorePatienceMs)),
                .shard = int(draw(kCells)),
                .units = double(1 + draw(kMaxUnits))};
    observed_ = {front_, request_.units, milliseconds(request_.deadlineMs), Clock::now(), {}, 0};
    leavesAt_.reset();
    if (draw(100) < kLeavesPercent) leavesAt_ = Clock::now() + milliseconds(draw(request_.deadlineMs));
    wasCrossed_ = false;
    ++result.requests;
    send(observations);
}

void SoakClient::send(Observations& observations) {
    observed_.sentAt = Clock::now();
    observations.requestSent(request_.id, observed_);
    connection_->send(request_.text());
    waits_ = true;
}

void SoakClient::receive(const HttpMessage& message, Observations& observations, SoakResult& result) {
    waits_ = false;
    isFirstOnConnection_ = false;
    rest(kThinkTime);
    const int status = std::stoi(message.head.substr(message.head.find(' ') + 1));
    if (status == 200) {
        ++result.answered;
        if (message.body != request_.id)
            observations.violate("an answer is not the one that a node made for " + request_.id);
    } else if (status == 503 || status == 429) {
        ++result.rejected;
    } else {
        ++result.failed;
    }
}

// A request may cross the end of a connection that rested: it was not read, and its client sends it once
// more.
void SoakClient::onEnded(const FrontState& front, Observations& observations, SoakResult& result) {
    connection_.reset();
    waits_ = false;
    const bool died = front.killedAt >= observed_.sentAt;
    const bool mayCross = !isFirstOnConnection_ && !wasCrossed_;
    if (died) return rest(kThinkTime);
    if (!mayCross && !front.crowded)
        return observations.violate(fmt::format("front {} closed a {} connection without an answer to {}{}",
                                                front_, isFirstOnConnection_ ? "new" : "kept", request_.id,
                                                front.terminating ? ", after SIGTERM" : ""));
    ++result.crossed;
    if (!front.acceptsNew) return;
    wasCrossed_ = true;
    connection_ = connect_();
    isFirstOnConnection_ = true;
    send(observations);
}

}  // namespace wingproxy::soak
