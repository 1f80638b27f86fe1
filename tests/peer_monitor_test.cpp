// Up to when a peer's words are covered by our replica of the store.
#include "coordination/leadership/peer_monitor.hpp"

#include <gtest/gtest.h>

namespace walkford {
namespace {

// Up to when all that a peer told is in our view (design.md, "Until when a leader may answer"); our
// own incarnation is "me", and message number n to it goes out at 1000 n.
struct PeerMonitorTest : testing::Test {
    PeerMonitor peer;
    std::uint64_t number = 0;
    void SetUp() override {
        for (std::uint64_t n = 1; n <= 20; ++n) {
            peer.record_sent(static_cast<Ms>(1000 * n), n);
        }
    }
    bool tells(Ms now, const std::string& incarnation, Ms up, std::uint64_t echo,
               std::uint64_t revision, const std::string& to = "me") {
        PeerHeartbeat f;
        f.incarnation = incarnation;
        f.sequence = ++number;
        f.echo = echo;
        f.echo_incarnation = to;
        f.up_ms = up;
        f.revision = revision;
        return peer.receive(now, f, "me");
    }
};

TEST_F(PeerMonitorTest, CoversOnlyWhatTheReplicaHoldsAndNeverFallsBack) {
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);  // never heard: our own reading alone
    tells(5200, "a", 5000, 5, 101);
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);  // it may have told of change 101
    EXPECT_EQ(peer.responses_covered_until(500, 101), 5000);
    tells(6200, "a", 6000, 6, 102);
    EXPECT_EQ(peer.responses_covered_until(500, 101), 5000);
    EXPECT_EQ(peer.responses_covered_until(9000, 103), 9000);
}

TEST_F(PeerMonitorTest, IgnoresAnEchoOfAnotherIncarnationOfOurs) {
    tells(5200, "a", 5000, 5, 0, "me before");
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
}

TEST_F(PeerMonitorTest, DoesNotCoverAnEarlierIncarnation) {
    tells(5200, "a", 5000, 5, 101);
    tells(7000, "b", 500, 6, 0);  // it began between 6500 and 7000
    EXPECT_EQ(peer.responses_covered_until(5900, 100), 5900);
    tells(8000, "b", 1500, 7, 0);
    EXPECT_EQ(peer.responses_covered_until(6400, 100), 6400);
    // Read up to its start: now it counts.
    EXPECT_EQ(peer.responses_covered_until(6600, 100), 7000);
    // ... and what an earlier one had vouched for is not taken back by its end.
    tells(9000, "c", 100, 8, 0);
    EXPECT_EQ(peer.responses_covered_until(6600, 100), 7000);
}

TEST_F(PeerMonitorTest, DropsALateMessageOfAnEarlierIncarnation) {
    tells(5200, "a", 5000, 3, 100);
    tells(7000, "b", 500, 6, 0);
    EXPECT_FALSE(tells(7100, "a", 5500, 5, 100));  // written at 5.6 s, held up
    EXPECT_TRUE(tells(8000, "b", 1500, 7, 0));
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
}

// The first that is heard of a process may be a message held up until long after its end. The
// living one is heard again once it echoes what was sent after that.
TEST_F(PeerMonitorTest, AcceptsAnIncarnationTakenForEndedOnceItEchoesUs) {
    EXPECT_TRUE(tells(5200, "b", 5000, 5, 100));
    EXPECT_TRUE(tells(6100, "a", 1000, 0, 50, "")) << "of an earlier process, never heard before";
    EXPECT_FALSE(tells(9000, "b", 8800, 5, 100)) << "an old echo proves nothing";
    EXPECT_TRUE(tells(9100, "b", 8900, 9, 100));
    EXPECT_EQ(peer.last().incarnation, "b");
    EXPECT_FALSE(tells(9200, "a", 1200, 0, 50, ""));
    EXPECT_EQ(peer.responses_covered_until(500, 100), 9000);
}

// Late messages at both ends: neither echoes the other any more, and the living ones go on.
TEST_F(PeerMonitorTest, AcceptsAnIncarnationThatGoesOnWhileTheOtherIsSilent) {
    EXPECT_TRUE(tells(5200, "b", 5000, 5, 100));
    EXPECT_TRUE(tells(6100, "a", 1000, 0, 50, ""));
    EXPECT_FALSE(tells(7100, "b", 6900, 3, 101, "me before"));
    EXPECT_TRUE(tells(9200, "b", 9000, 3, 101, "me before"));
    EXPECT_EQ(peer.last().incarnation, "b");
    EXPECT_EQ(peer.responses_covered_until(500, 100), 5000) << "vouched for by echoes alone";
}

}  // namespace
}  // namespace walkford
