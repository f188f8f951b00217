// The one final answer of a request: who gets it, what is counted, and when the request is forgotten.
#include "core/final_answers.h"

#include <doctest/doctest.h>

#include "core/reducer_fixture.h"

using namespace wingproxy;
using namespace wingproxy::test;
using namespace wingproxy::core;

namespace {

constexpr RequestId kId = 7;

/// A request of class 0 with its deadline timer, and no attempt.
struct OneRequest {
    explicit OneRequest(ClassIndex classIndex = ClassIndex(0)) {
        Request request;
        request.id = kId;
        request.classIndex = classIndex;
        request.deadlineUs = kStart + kSecond;
        inFlight = requests.add(request);
        context.timers.schedule(Timer::requestDeadline(kId, request.deadlineUs));
    }
    [[nodiscard]] const ResponseCounts& countsOfClass(std::size_t position) const {
        return context.counters.byClass.at(position);
    }
    [[nodiscard]] bool isForgotten() { return requests.find(kId) == nullptr && context.timers.size() == 0; }

    ReducerContext context{settings(), AttemptLimits{}, kStart};
    RequestTable requests;
    FinalAnswers answers{context, requests};
    InFlightRequest* inFlight = nullptr;
};

}  // namespace

TEST_CASE("final answers: a rejection names the time to wait, is counted by class, and ends the request") {
    OneRequest one;
    one.answers.reject({kId, 250 * kMs});
    const auto rejections = effectsOf<SendRejection>(one.context.effects);
    REQUIRE(rejections.size() == 1);
    CHECK(rejections[0].id == kId);
    CHECK(rejections[0].retryAfterUs == 250 * kMs);
    CHECK(one.countsOfClass(0).rejected == 1);
    CHECK(one.isForgotten());
}

TEST_CASE("final answers: a request gets no second answer") {
    OneRequest one;
    one.inFlight->attempts.emplace(AttemptIndex(0), InFlightAttempt{});  // which keeps it in the table
    one.answers.fail(kId);
    one.answers.fail(kId);
    one.answers.reject({kId, 0});
    one.answers.answerFromAttempt(*one.inFlight, finished(kId, AttemptIndex(0), Outcome::Ok));
    CHECK(one.context.effects.size() == 1);
    CHECK(effectsOf<SendFailure>(one.context.effects).size() == 1);
    CHECK(one.countsOfClass(0).failed == 1);
    CHECK(one.countsOfClass(0).delivered == 0);
}

TEST_CASE("final answers: the first success is delivered, any other outcome leaves the request open") {
    OneRequest one;
    one.answers.answerFromAttempt(*one.inFlight, finished(kId, AttemptIndex(0), Outcome::Error));
    CHECK(one.context.effects.empty());
    CHECK(!one.inFlight->answered);
    one.answers.answerFromAttempt(*one.inFlight, finished(kId, AttemptIndex(1), Outcome::Ok));
    const auto delivered = effectsOf<DeliverResponse>(one.context.effects);
    REQUIRE(delivered.size() == 1);
    CHECK(delivered[0].attempt == AttemptIndex(1));
    CHECK(one.countsOfClass(0).delivered == 1);
}

TEST_CASE("final answers: an answered request is kept until its last attempt has ended") {
    OneRequest one;
    one.inFlight->attempts.emplace(AttemptIndex(0), InFlightAttempt{});
    one.answers.fail(kId);
    CHECK(!one.isForgotten());
    one.inFlight->attempts.clear();
    one.answers.eraseIfFinished(kId);
    CHECK(one.isForgotten());
}

TEST_CASE("final answers: a request of an unknown class is counted in the last entry") {
    OneRequest one{ClassIndex()};
    one.answers.fail(kId);
    CHECK(one.context.counters.byClass.back().failed == 1);
    CHECK(one.countsOfClass(0).failed == 0);
}
