// The final answer of a request: which effect it emits, what is counted, and when the request is removed.
#include "core/final_answers.h"

#include <doctest/doctest.h>

#include "core/reducer_fixture.h"

using namespace wingproxy;
using namespace wingproxy::test;
using namespace wingproxy::core;

namespace {

constexpr RequestId kId = 7;

/// A request of class 0 with its deadline timer, and no attempt.
struct AnswersFixture {
    explicit AnswersFixture(ClassIndex classIndex = ClassIndex(0)) {
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
    [[nodiscard]] bool isRemoved() { return requests.find(kId) == nullptr && context.timers.size() == 0; }

    ReducerContext context{settings(), AttemptLimits{}, kStart};
    RequestTable requests;
    FinalAnswers answers{context, requests};
    InFlightRequest* inFlight = nullptr;
};

}  // namespace

TEST_CASE("final answers: a rejection carries retryAfterUs, is counted by class, and removes the request") {
    AnswersFixture fixture;
    fixture.answers.reject({kId, 250 * kMs});
    const auto rejections = effectsOf<SendRejection>(fixture.context.effects);
    REQUIRE(rejections.size() == 1);
    CHECK(rejections[0].id == kId);
    CHECK(rejections[0].retryAfterUs == 250 * kMs);
    CHECK(fixture.countsOfClass(0).rejected == 1);
    CHECK(fixture.isRemoved());
}

TEST_CASE("final answers: a request gets no second answer") {
    AnswersFixture fixture;
    fixture.inFlight->attempts.emplace(AttemptIndex(0), InFlightAttempt{});  // keeps the request in the table
    fixture.answers.fail(kId);
    fixture.answers.fail(kId);
    fixture.answers.reject({kId, 0});
    fixture.answers.answerFromAttempt(*fixture.inFlight, finished(kId, AttemptIndex(0), Outcome::Ok));
    CHECK(fixture.context.effects.size() == 1);
    CHECK(effectsOf<SendFailure>(fixture.context.effects).size() == 1);
    CHECK(fixture.countsOfClass(0).failed == 1);
    CHECK(fixture.countsOfClass(0).delivered == 0);
}

TEST_CASE("final answers: the first success is delivered, any other outcome leaves the request open") {
    AnswersFixture fixture;
    fixture.answers.answerFromAttempt(*fixture.inFlight, finished(kId, AttemptIndex(0), Outcome::Error));
    CHECK(fixture.context.effects.empty());
    CHECK(!fixture.inFlight->answered);
    fixture.answers.answerFromAttempt(*fixture.inFlight, finished(kId, AttemptIndex(1), Outcome::Ok));
    const auto delivered = effectsOf<DeliverResponse>(fixture.context.effects);
    REQUIRE(delivered.size() == 1);
    CHECK(delivered[0].attempt == AttemptIndex(1));
    CHECK(fixture.countsOfClass(0).delivered == 1);
}

TEST_CASE("final answers: an answered request stays in the table until its last attempt has ended") {
    AnswersFixture fixture;
    fixture.inFlight->attempts.emplace(AttemptIndex(0), InFlightAttempt{});
    fixture.answers.fail(kId);
    CHECK(!fixture.isRemoved());
    fixture.inFlight->attempts.clear();
    fixture.answers.eraseIfFinished(kId);
    CHECK(fixture.isRemoved());
}

TEST_CASE("final answers: a request of an unknown class is counted in the last entry") {
    AnswersFixture fixture{ClassIndex()};
    fixture.answers.fail(kId);
    CHECK(fixture.context.counters.byClass.back().failed == 1);
    CHECK(fixture.countsOfClass(0).failed == 0);
}
