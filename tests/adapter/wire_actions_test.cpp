// Tests the messages that are written for the policy's actions.
#include "wire_actions.h"

#include <gtest/gtest.h>

using namespace wingproxy;
using namespace wingproxy::wire;

namespace {

std::string lineOf(const Action& action) {
    std::string out;
    appendAction(action, "head/3", out);
    return out;
}

TEST(WireActions, EachActionIsOneLineWithItsHost) {
    EXPECT_EQ(lineOf(ForwardRequest{1, "n", 5}), "DISPATCH who=head/3 corr=1 shelf=n tryForUs=5\n");
    EXPECT_EQ(lineOf(RejectRequest{2, 6}), "TURN_AWAY who=head/3 corr=2 coolDownUs=6\n");
    EXPECT_EQ(lineOf(FailRequest{3}), "ERROR who=head/3 corr=3\n");
    EXPECT_EQ(lineOf(CancelAttempt{4, AttemptIndex(1)}), "ABORT_ATTEMPT who=head/3 corr=4 shot=1\n");
    EXPECT_EQ(lineOf(StartHealthCheck{"n"}), "PROBE who=head/3 shelf=n\n");
    EXPECT_EQ(lineOf(SendPeerMessage{HostIndex(2), "hi 7"}), "NOTIFY who=head/3 to=2 raw=aGkgNw==\n");
    EXPECT_EQ(lineOf(SetTimer{7, 8}), "TIMER who=head/3 offsetUs=7 label=8\n");
    EXPECT_EQ(lineOf(WatchEndpointList{true}), "TAIL who=head/3 on=1\n");
    EXPECT_EQ(lineOf(LogLine{"a b"}), "PRINT who=head/3 text=a b\n");
}

TEST(WireActions, FieldsWithoutAValueAreLeftOut) {
    EXPECT_EQ(lineOf(ForwardRequest{1, "n", 0}), "DISPATCH who=head/3 corr=1 shelf=n\n");
    EXPECT_EQ(lineOf(RejectRequest{2, 0}), "TURN_AWAY who=head/3 corr=2\n");
}

TEST(WireActions, AMessageToAllPeersHasAStar) {
    EXPECT_EQ(lineOf(SendPeerMessage{PeerRecipient::everyPeer(), ""}), "NOTIFY who=head/3 to=* raw=-\n");
}

}  // namespace
