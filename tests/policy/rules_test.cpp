// Module tests: the seven rules, order and shedding, with hand-made events.
#include <gtest/gtest.h>

#include "policy/peer_message.h"
#include "support/policy_support.h"

using namespace wingproxy;
using namespace wingproxy::test;

namespace {

Host ready(Settings s = settings()) {
    Host h(s, kStart);
    h.batch({nodes({node("a", 0), node("b", 1)})});
    return h;
}

std::size_t finals(const std::vector<Action>& actions) {
    return only<RejectRequest>(actions).size() + only<FailRequest>(actions).size();
}

TEST(Rules, SendsAtOnceWhileThereIsRoom) {
    Host h = ready();
    const auto sends = only<ForwardRequest>(h.batch({request(1, 0, 1, h.now)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].node, "a");
}

TEST(Rules, EveryRequestIsAnsweredOnceBeforeItsTimeIsUp) {  // rule 1
    Host h(settings(), kStart);                             // no node at all: nothing can be served
    h.batch();
    h.batch({request(1, 0, 1, h.now), request(2, 2, 1, h.now)});
    const auto actions = h.runTo(h.now + 2 * kSecond);
    EXPECT_EQ(only<ForwardRequest>(actions).size(), 0u);
    EXPECT_LE(finals(actions), 2u);
    Host g(settings(), kStart);
    auto all = g.batch({request(1, 0, 1, g.now)});
    for (auto& a : g.runTo(g.now + 2 * kSecond))
        all.push_back(a);
    EXPECT_EQ(finals(all), 1u);
}

TEST(Rules, ARequestWithMillisecondsToLiveIsAnsweredInItsBatch) {  // rule 1; seen on incident ia3767d
    Host h(settings(), kStart);
    h.batch({nodes({node("a", 0, NodeState::Removed)})});
    auto last = request(1, 2, 1, h.now);
    last.deadlineUs = h.now + 2 * kMs;
    EXPECT_EQ(finals(h.batch({last})), 1u);
}

TEST(Rules, TimeoutAtTheDeadlineIsAnsweredInTheSameBatch) {  // rule 1
    Host h = ready();
    h.batch({request(1, 2, 1, h.now)});
    h.now += 2 * kSecond;
    const auto actions = h.batch({ended(1, 0, "a", Outcome::Timeout, 2 * kSecond)});
    EXPECT_EQ(only<FailRequest>(actions).size(), 1u);  // unsafe and may have run: never a refusal
    EXPECT_EQ(only<RejectRequest>(actions).size(), 0u);
    EXPECT_EQ(finals(h.runTo(h.now + kSecond)), 0u);
}

TEST(Rules, UnsafeIsSentAgainOnlyWhenItNeverRan) {  // rule 2
    Host h = ready();
    h.batch({request(1, 2, 1, h.now), request(2, 2, 1, h.now)});
    h.now += 20 * kMs;
    auto actions = h.batch({ended(1, 0, "a", Outcome::Rejected), ended(2, 0, "a", Outcome::Error)});
    for (auto& a : h.runTo(h.now + kSecond))
        actions.push_back(a);
    const auto sends = only<ForwardRequest>(actions);
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].id, 1u);
    const auto fails = only<FailRequest>(actions);
    ASSERT_EQ(fails.size(), 1u);
    EXPECT_EQ(fails[0].id, 2u);
}

TEST(Rules, KeyedStaysInItsGroupAndItsWindow) {  // rule 2
    Host h = ready();
    auto first = only<ForwardRequest>(h.batch({request(1, 1, 1, h.now, 2, -1)}));
    ASSERT_EQ(first.size(), 1u);
    h.now += 30 * kMs;
    const auto again = only<ForwardRequest>(h.batch({ended(1, 0, first[0].node, Outcome::Reset)}));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].node, first[0].node);
    h.now += 1100 * kMs;  // past the window: neither a send nor a refusal
    const auto late = h.batch({ended(1, 1, first[0].node, Outcome::Reset)});
    EXPECT_EQ(only<ForwardRequest>(late).size(), 0u);
    EXPECT_EQ(only<RejectRequest>(late).size(), 0u);
    EXPECT_EQ(only<FailRequest>(late).size(), 1u);
}

// Its successor is listed a second or two later: without the grace the cell has no node meanwhile.
TEST(Rules, ADrainingNodeServesOnWithinTheGraceWhereItsCellHasNoOther) {  // rule 3
    const auto goes = [](Micros after, std::vector<NodeInfo> more = {},
                         EndpointListKind before = EndpointListKind::Delta,
                         EndpointListKind kind = EndpointListKind::Delta) {
        Host h = ready();
        if (before == EndpointListKind::Unavailable) h.batch({nodes({}, EndpointListKind::Unavailable)});
        more.push_back(node("a", 0, NodeState::Draining));
        h.batch({nodes(more, kind)});
        h.runTo(h.now + after);
        const auto sends = only<ForwardRequest>(h.batch({request(1, 0, 1, h.now)}));
        return sends.empty() ? std::string() : sends[0].node;
    };
    const Micros grace = settings().drainGraceUs;
    EXPECT_EQ(goes(0), "a");
    EXPECT_EQ(goes(grace * 6 / 10), "a");
    EXPECT_EQ(goes(grace * 8 / 10), "");
    EXPECT_EQ(goes(0, {node("c", 0)}), "c");
    // Lists that came late may have been told before: after a lost call, or all anew.
    EXPECT_EQ(goes(0, {}, EndpointListKind::Unavailable), "");
    EXPECT_EQ(goes(0, {}, EndpointListKind::Delta, EndpointListKind::Full), "");
}

// While discovery fails now and then the list must not stay old for long; while it is down it isn't pressed.
TEST(Rules, AFailedCallToDiscoveryIsRepeatedSoonAndThenLater) {
    Settings set = settings();
    set.pollsEndpointList = true;
    set.pollIntervalUs = 10 * kSecond;
    Host h = ready(set);
    const auto askedWithin = [&](Micros span) {
        return only<WatchEndpointList>(h.runTo(h.now + span)).size();
    };
    h.batch({nodes({}, EndpointListKind::Unavailable)});
    EXPECT_EQ(askedWithin(150 * kMs), 1u);
    for (int i = 0; i < 5; ++i)
        h.batch({nodes({}, EndpointListKind::Unavailable)});
    EXPECT_EQ(askedWithin(2 * kSecond), 0u);
    EXPECT_EQ(askedWithin(2 * kSecond), 1u);
    h.batch({nodes({node("a", 0)}, EndpointListKind::Delta),
             nodes({}, EndpointListKind::Unavailable)});  // answered: as at first
    EXPECT_EQ(askedWithin(150 * kMs), 1u);
}

// Discovery answers all fronts in turn: when many start at once, or their calls failed at once, they must not
// come back at once. What it can't answer in time has failed, and is asked again on top of the others.
// Checked: in no tenth of a second do more than a twelfth of 300 fronts call, and each one calls within the
// rule's term.
TEST(Rules, ManyHostsCallDiscoveryOneAfterAnother) {
    constexpr int kHosts = 300;
    std::map<Micros, int> first, again;  // calls by tenth of a second
    for (int i = 0; i < kHosts; ++i) {
        Settings set = settings(i, kHosts);
        set.seed = 0x9e3779b97f4a7c15ull * std::uint64_t(i + 1);
        set.pollsEndpointList = true;
        set.pollIntervalUs = 10 * kSecond;
        Host h(set, kStart);
        h.batch({nodes({}, EndpointListKind::Cached)});
        const auto called = [&](std::map<Micros, int>& when) {
            const Micros since = h.now;
            while (only<WatchEndpointList>(h.runTo(h.now + 10 * kMs)).empty())
                ASSERT_LT(h.now - since, set.pollIntervalUs) << "host " << i;
            ++when[(h.now - kStart) / (100 * kMs)];
        };
        called(first);
        h.runTo(kStart + 12 * kSecond);
        h.batch({nodes({}, EndpointListKind::Unavailable)});
        called(again);
    }
    const auto most = [](const std::map<Micros, int>& when) {
        int calls = 0;
        for (const auto& [tenth, n] : when)
            calls = std::max(calls, n);
        return calls;
    };
    EXPECT_LE(most(first), kHosts / 12);
    EXPECT_LE(most(again), kHosts / 12);
}

TEST(Rules, NothingGoesToADrainingOrGoneNode) {  // rule 3
    Host h = ready();
    h.batch({nodes({node("a", 0, NodeState::Draining)}, EndpointListKind::Delta)});
    h.runTo(h.now + settings().drainGraceUs);
    EXPECT_EQ(only<ForwardRequest>(h.batch({request(1, 0, 1, h.now)})).size(), 0u);
    h.batch({nodes({node("c", 0)}, EndpointListKind::Delta)});  // its successor takes the held request
    const auto sends = only<ForwardRequest>(h.batch({request(2, 0, 1, h.now)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].node, "c");
    h.batch({nodes({node("b", 1)})});  // a full list without c: it has left
    EXPECT_EQ(only<ForwardRequest>(h.batch({request(3, 0, 1, h.now)})).size(), 0u);
}

// Units sent to a node that has just started, in one second of steady demand.
double sentToCold(const Settings& s, Outcome outcome, bool answers) {
    Host h(s, kStart);
    h.batch({nodes({node("a", 0, NodeState::Ready, kStart - kMs)})});
    double units = 0;
    std::map<RequestId, int> attempts;
    std::vector<AnyEvent> due;
    for (RequestId id = 1; id <= 100; ++id) {
        h.now += 10 * kMs;
        due.emplace_back(request(id, 2, 1, h.now));
        const auto actions = h.batch(due);
        due.clear();
        for (const auto& send : only<ForwardRequest>(actions)) {
            units += 2;
            if (!answers) continue;
            due.emplace_back(ended(send.id, attempts[send.id]++, "a", outcome));
        }
    }
    return units;
}

TEST(Rules, AColdNodeGetsNoMoreThanItHasShownToBear) {  // rule 4
    const auto s = settings(0, 3);
    const double free = s.slowStartUnits / s.hostCount + s.maxUnits;
    EXPECT_LE(sentToCold(s, Outcome::Ok, false), free);  // silent: the hosts' part, then nothing
    EXPECT_GE(sentToCold(s, Outcome::Ok, false), 2);
    EXPECT_LE(sentToCold(s, Outcome::Rejected, true), free);  // rejects add to the push: never given back
    EXPECT_GT(sentToCold(s, Outcome::Ok, true), 3 * free);    // it answers: as much again
}

// Requests sent to a cold node that answers none, 40 s after it was sent all that it may be; the rule of this
// customer counts over a longer time. Meanwhile it is off the list, or stays on it.
std::size_t sentAgainToCold(bool offTheList) {
    auto s = settings(0, 1);
    s.slowStartWindowUs = 90 * kSecond;
    s.slowStartDurationUs = 900 * kSecond;
    Host h(s, kStart);
    const auto listed = nodes({node("a", 0, NodeState::Ready, kStart)});
    RequestId id = 0;
    const auto push = [&] {
        std::size_t sent = 0;
        for (int i = 0; i < 40; ++i, h.now += 10 * kMs) {
            if (only<ForwardRequest>(h.batch({request(++id, 2, 1, h.now)})).empty()) continue;
            h.batch({ended(id, 0, "a", Outcome::Cancelled)});  // which says nothing of the node
            ++sent;
        }
        return sent;
    };
    h.batch({listed});
    EXPECT_GT(push(), 0u);
    h.runTo(h.now + 5 * kSecond);
    if (offTheList) h.batch({nodes({})});
    h.runTo(h.now + 40 * kSecond);
    if (offTheList) h.batch({listed});
    return push();
}

TEST(Rules, AColdNodeThatIsListedAgainIsNotForgottenWhileTheRuleCounts) {  // rule 4
    EXPECT_EQ(sentAgainToCold(true), sentAgainToCold(false));
}

// A node just started of which a peer has told a wait, and which has answered nothing here, looks like the
// idlest.
TEST(Rules, ANewObjectDoesNotWaitAtAColdNodeWhileAWarmOneIsFree) {  // Lc69f0a
    Host h(settings(0, 100), kStart);
    h.batch({nodes({node("a", 0), node("b", 1, NodeState::Ready, kStart)})});
    for (RequestId id = 1; id <= 4; ++id) {
        h.now += 100 * kMs;
        const auto sends = only<ForwardRequest>(h.batch({request(id, 0, 1, h.now)}));
        ASSERT_EQ(sends.size(), 1u);
        h.batch({ended(id, 0, "a", Outcome::Ok)});
    }
    auto told = peer::header(1);
    peer::append(told, peer::UsageAggregate{
                           std::uint32_t(peer::hashOf("1")), {16}, {8}, {}});  // a wait of one millisecond
    h.batch({request(5, 0, 1, h.now, 2, 1),
             PeerMessageReceived{1, told}});  // it has been asked for the cell once
    h.runTo(h.now + kSecond);
    for (RequestId id = 10; id < 20; ++id) {
        const auto sends = only<ForwardRequest>(h.batch({request(id, 2, 1, h.now, 2, -1)}));
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_EQ(sends[0].node, "a");
        h.batch({ended(id, 0, "a", Outcome::Ok)});
        h.now += 100 * kMs;
    }
}

// One of a hundred hosts with a hundredth of what a cell is asked; its answers took so long. How many it has
// out.
std::size_t outAt(Micros took) {
    Host h(settings(0, 100), kStart);
    h.batch({nodes({node("a", 0), node("b", 1)})});
    auto told = peer::header(1);
    peer::append(told, peer::UsageAggregate{std::uint32_t(peer::hashOf("0")), {16 * 100}, {}, {}});
    h.batch({request(1, 0, 1, h.now)});
    h.now += took;
    h.batch({ended(1, 0, "a", Outcome::Ok, took), PeerMessageReceived{1, told}});
    h.now += 10 * kMs;
    std::vector<AnyEvent> run;
    for (RequestId id = 2; id <= 6; ++id)
        run.emplace_back(request(id, 0, 1, h.now));
    return only<ForwardRequest>(h.batch(run)).size();
}

TEST(Rules, AHostWithASmallPartHasTwoOutAtACalmNodeAndOneAtABusyOne) {
    EXPECT_EQ(outAt(20 * kMs), 2u);
    EXPECT_EQ(outAt(200 * kMs), 1u);  // beyond 0.3 of the shortest aim
}

TEST(Rules, NewObjectsAreAnsweredWhereEveryNodeIsCold) {
    Host h(settings(), kStart);
    h.batch({nodes({node("a", 0, NodeState::Ready, kStart), node("b", 1, NodeState::Ready, kStart)})});
    std::set<std::string> used;
    for (RequestId id = 1; id <= 3; ++id)
        for (const auto& s : only<ForwardRequest>(h.batch({request(id, 2, 1, h.now, 2, -1)})))
            used.insert(s.node);
    EXPECT_EQ(used.size(), 2u);
}

TEST(Rules, OrderedKeysTakeTurnsAndRest) {  // rule 6
    Host h = ready();
    auto one = request(1, 3, 1, h.now), two = request(2, 3, 1, h.now);
    one.key = two.key = "same";
    auto sends = only<ForwardRequest>(h.batch({one, two}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].id, 1u);
    h.now += 20 * kMs;
    sends = only<ForwardRequest>(h.batch({ended(1, 0, "a", Outcome::Ok)}));
    ASSERT_EQ(sends.size(), 1u);
    EXPECT_EQ(sends[0].id, 2u);
    auto three = request(3, 3, 1, h.now);
    three.key = "same";
    h.batch({three, RequestCancelled{2}});  // 2 ended, its attempt still out
    EXPECT_EQ(only<ForwardRequest>(h.runTo(h.now + 50 * kMs)).size(), 0u);
    h.batch({ended(2, 0, "a", Outcome::Timeout)});
    EXPECT_EQ(only<ForwardRequest>(h.runTo(h.now + 200 * kMs)).size(), 0u);  // the key rests for 300 ms
    EXPECT_EQ(only<ForwardRequest>(h.runTo(h.now + 150 * kMs)).size(), 1u);
}

TEST(Rules, FurtherAttemptsKeepTheirBudget) {  // rule 7
    auto s = settings();
    s.retryAllowance = 1;
    s.retryRatio = 0.1;
    s.retryWindowUs = 5 * kSecond;
    Host h = ready(s);
    std::size_t further = 0;
    for (RequestId id = 1; id <= 5; ++id) {
        auto sent = only<ForwardRequest>(h.batch({request(id, 0, 1, h.now)}));
        h.now += 5 * kMs;
        if (!sent.empty())
            further += only<ForwardRequest>(h.batch({ended(id, 0, "a", Outcome::Reset)})).size();
        further += only<ForwardRequest>(h.runTo(h.now + 30 * kMs)).size();
    }
    EXPECT_EQ(further, 1u);
}

TEST(Health,
     FullIsNotAnsweredByAttemptsAtOnce) {  // seen on ia64c34: 2.7 attempts a request, queues never empty
    Host h = ready();
    h.batch({request(1, 0, 1, h.now)});
    h.now += 5 * kMs;
    const auto once = only<ForwardRequest>(h.batch({ended(1, 0, "a", Outcome::Rejected, 5 * kMs)})).size();
    EXPECT_LE(once, 1u);  // a suspect's one trickle
    h.now += 5 * kMs;
    EXPECT_EQ(only<ForwardRequest>(h.batch({ended(1, 1, "a", Outcome::Rejected, 5 * kMs)})).size(), 0u);
    EXPECT_EQ(only<ForwardRequest>(h.runTo(h.now + 200 * kMs)).size(), 0u);
}

// Requests that a head sends at once after an attempt that nothing came back from.
std::size_t sentAfterSilence(bool overtaken) {  // seen on ie75a29
    Host h = ready();
    h.batch({request(1, 0, 1, h.now)});
    h.now += 100 * kMs;
    h.batch({request(2, 0, 1, h.now)});
    h.now += 30 * kMs;
    if (overtaken) h.batch({ended(2, 0, "a", Outcome::Ok, 30 * kMs)});
    h.now += 200 * kMs;
    auto late = ended(1, 0, "a", Outcome::Timeout, 330 * kMs);
    late.requestClosed = true;
    h.batch({late});
    return only<ForwardRequest>(h.batch({request(3, 0, 1, h.now), request(4, 0, 1, h.now)})).size();
}

TEST(Health, ALostAnswerIsToldFromANodeThatChokes) {
    EXPECT_EQ(sentAfterSilence(true), 2u);   // the node answered what was sent later: the answer was lost
    EXPECT_EQ(sentAfterSilence(false), 1u);  // it answered nothing since: one trickle
}

TEST(Order, HeldRequestsLeaveEarliestDueFirst) {
    auto s = settings();
    s.classes[0].latencyObjectiveUs = 400 * kMs;
    s.classes[2].latencyObjectiveUs = 300 * kMs;
    Host h = ready(s);
    std::vector<AnyEvent> events;
    for (RequestId id = 1; id <= 3; ++id)
        events.emplace_back(request(id, 0, 1, h.now));
    ASSERT_EQ(only<ForwardRequest>(h.batch(events)).size(), 3u);  // the first bound
    h.batch({request(10, 0, 1, h.now), request(11, 2, 1, h.now)});
    h.now += 20 * kMs;
    const auto sends = only<ForwardRequest>(h.batch({ended(1, 0, "a", Outcome::Ok)}));
    ASSERT_FALSE(sends.empty());
    EXPECT_EQ(sends[0].id, 11u);
}

TEST(Order, TheLeastWorthIsShedAndAnsweredAtOnceWithAdvice) {
    Host h = ready();
    std::vector<AnyEvent> events;
    for (RequestId id = 1; id <= 200; ++id)
        events.emplace_back(request(id, 0, id % 2 ? 1 : 0, h.now));
    const auto actions = h.batch(events);
    const auto refused = only<RejectRequest>(actions);
    ASSERT_GT(refused.size(), 0u);
    for (const auto& r : refused)
        EXPECT_GT(r.retryAfterUs, 0);
    EXPECT_LE(only<ForwardRequest>(actions).size(), 16u);
}

TEST(Events, AboutWhatIsOverAreIgnored) {
    Host h = ready();
    h.batch({request(1, 0, 1, h.now)});
    h.batch({ended(1, 0, "a", Outcome::Ok)});
    EXPECT_EQ(h.batch({ended(1, 0, "a", Outcome::Ok), ended(9, 0, "a", Outcome::Reset), RequestCancelled{1}})
                  .size(),
              0u);
}

TEST(Events, TheSameEventsGiveTheSameActions) {
    const auto run = [] {
        Host h = ready();
        std::string trace;
        for (RequestId id = 1; id <= 60; ++id) {
            h.now += 3 * kMs;
            for (const auto& s : only<ForwardRequest>(h.batch({request(id * 7919, 0, 1, h.now, 2, -1)})))
                trace += std::to_string(s.id) + s.node + ";";
        }
        return trace;
    };
    EXPECT_EQ(run(), run());
    EXPECT_FALSE(run().empty());
}

}  // namespace

// Spoilt answers come from nodes that are well: one alone must not leave the node to a request in 300 ms.
TEST(Health, ALoneResetIsNoChoking) {
    for (const int resets : {1, 2}) {
        Host host(settings(), kStart);
        host.batch({nodes({node("a", 0)})});
        for (RequestId id = 1; id <= 2; ++id)
            host.batch({request(id, 2, 1, host.now)});
        for (RequestId id = 1; id <= RequestId(resets); ++id)
            host.batch({ended(id, 0, "a", Outcome::Reset)});
        const auto sent =
            only<ForwardRequest>(host.batch({request(11, 0, 1, host.now), request(12, 0, 1, host.now)}));
        EXPECT_EQ(sent.size(), resets == 1 ? 2u : 1u);
    }
}

// A connection that fell silent must not hold a place at its node, and its request's time, until the
// deadline.
TEST(Health, AnAttemptThatTheNodeOvertookByFarIsTriedAgainAndOthersAreNot) {
    auto s = settings();
    s.mayCancel = true;
    for (const int cls : {0, 2}) {  // safe; never to be repeated
        Host host(s, kStart);
        host.batch({nodes({node("a", 0)})});
        ASSERT_EQ(only<ForwardRequest>(host.batch({request(1, cls, 1, host.now)})).size(), 1u);
        std::vector<Action> all;
        for (RequestId id = 2; id <= 14; ++id) {  // each is answered after 20 ms
            host.batch({request(id, 0, 1, host.now)});
            for (auto& a : host.runTo(host.now + 20 * kMs))
                all.push_back(a);
            for (auto& a : host.batch({ended(id, 0, "a", Outcome::Ok)}))
                all.push_back(a);
            if (id <= 6) {
                EXPECT_TRUE(only<CancelAttempt>(all).empty());
            }  // by 100 ms: it may be a slow one
        }
        const auto cancels = only<CancelAttempt>(all);
        ASSERT_EQ(cancels.empty(), cls == 2);
        for (const auto& c : cancels)
            EXPECT_EQ(c.id, 1u);
        if (cls == 2) continue;
        const auto again = only<ForwardRequest>(host.batch({ended(1, 0, "a", Outcome::Cancelled)}));
        ASSERT_EQ(again.size(), 1u);
        EXPECT_EQ(again[0].id, 1u);
    }
}

// A front that stops keeps connections free: what only waits gives way, what a node has stays.
TEST(Order, CrowdedTheLeastWorthyThatWaitsLeavesAndNothingThatIsOut) {
    Host h = ready();
    for (RequestId id = 1; id <= 5; ++id) {
        auto r = request(id, 0, 1, h.now, 6);
        if (id <= 3) r.volume = "another";  // takes the three places of the first bound
        ASSERT_EQ(only<ForwardRequest>(h.batch({r})).size(), id <= 3 ? 1u : 0u);
    }
    const auto first = only<RejectRequest>(h.batch({CapacityNeeded{1}}));
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].id, 5u);  // 4 lies inside its volume's reserve
    EXPECT_GT(first[0].retryAfterUs, 0);
    EXPECT_EQ(finals(h.batch({CapacityNeeded{9}})), 1u);
    EXPECT_EQ(finals(h.batch({CapacityNeeded{1}})), 0u);
}

// While a release leaves a cell without a node, nothing is crowded there: its level fell to nothing all the
// same, and the new node stood idle for seconds while its cell's work was refused as spare.
TEST(Shares, ACellThatWasWithoutANodeServesAllItsWorkOnceItHasOne) {
    Host h = ready();
    RequestId id = 0;
    h.batch({nodes({node("a", 0, NodeState::Removed)}, EndpointListKind::Delta)});
    for (int i = 0; i < 30; ++i) {
        h.batch({request(++id, 0, 1, h.now, 6)});
        h.runTo(h.now + 100 * kMs);
    }
    h.batch({nodes({node("c", 0)}, EndpointListKind::Delta)});
    for (int i = 0; i < 20; ++i) {  // each is answered before the next one comes
        ASSERT_EQ(only<ForwardRequest>(h.batch({request(++id, 0, 1, h.now, 6)})).size(), 1u) << i;
        h.runTo(h.now + 20 * kMs);
        h.batch({ended(id, 0, "c", Outcome::Ok)});
    }
}

// Deployments differ in their aims: with short ones a lost attempt was found after 150 ms, beyond its aim.
TEST(Health, ALostAttemptIsTriedAgainWithinItsAim) {
    auto s = settings();
    s.mayCancel = true;
    const Micros aim = 80 * kMs;
    for (auto& c : s.classes)
        c.latencyObjectiveUs = aim;
    Host host(s, kStart);
    host.batch({nodes({node("a", 0)})});
    host.batch({request(1, 0, 1, host.now)});
    std::vector<Action> all;
    for (RequestId id = 2; host.now < kStart + aim * 3 / 4; ++id) {  // each is answered after 5 ms
        host.batch({request(id, 0, 1, host.now)});
        for (auto& a : host.runTo(host.now + 5 * kMs))
            all.push_back(a);
        host.batch({ended(id, 0, "a", Outcome::Ok, 5 * kMs)});
    }
    const auto cancels = only<CancelAttempt>(all);
    ASSERT_FALSE(cancels.empty());
    EXPECT_EQ(cancels[0].id, 1u);
}

// With nothing sent later there is no answer that overtakes: a probe that came back says that the answer was
// lost.
TEST(Health, ANodeThatGotNothingLaterIsProbedOnceAndItsAnswerCountsAsALaterOne) {
    for (const auto outcome : {Outcome::Ok, Outcome::Timeout}) {
        auto s = settings();
        s.mayCancel = s.mayCheckHealth = true;
        Host host(s, kStart);
        host.batch({nodes({node("a", 0)})});
        host.batch({request(1, 0, 1, host.now)});
        const auto actions = host.runTo(host.now + 1500 * kMs);
        EXPECT_EQ(only<StartHealthCheck>(actions).size(), 1u);
        EXPECT_TRUE(only<CancelAttempt>(actions).empty());  // it may be slow
        host.batch({HealthCheckCompleted{"a", outcome, 2 * kMs, {}}});
        EXPECT_EQ(only<CancelAttempt>(host.runTo(host.now + 50 * kMs)).empty(), outcome != Outcome::Ok);
    }
}

// A node that fails at once looks quick: new objects went there, and may be tried again in its cell only.
TEST(Health, NewObjectsAvoidANodeThatFails) {
    Host host = ready();
    RequestId id = 0;
    for (int i = 0; i < 8; ++i, host.now += 50 * kMs)
        for (const int cell : {0, 1}) {
            host.batch({request(++id, 2, 1, host.now, 2, cell)});
            host.batch({cell == 0 ? ended(id, 0, "a", Outcome::Error, kMs) : ended(id, 0, "b", Outcome::Ok)});
        }
    for (int i = 0; i < 6; ++i) {
        const auto sent = only<ForwardRequest>(host.batch({request(++id, 1, 1, host.now, 2, -1)}));
        ASSERT_EQ(sent.size(), 1u);
        EXPECT_EQ(sent[0].node, "b");
        host.batch({ended(id, 0, "b", Outcome::Ok)});
    }
}
