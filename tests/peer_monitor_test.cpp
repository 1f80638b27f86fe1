// Tests of the time up to which the replica of the store covers a peer's responses to users.
#include "coordination/leadership/peer_monitor.hpp"

#include <gtest/gtest.h>

namespace walkford {
namespace {

// The fixture has sent the peer heartbeats 1 to 20, heartbeat n at n * 1000 ms. The incarnation of
// this controller is "me". (design.md, "Until when a leader may answer", has the rules.)
struct PeerMonitorTest : testing::Test {
    PeerMonitor peer;
    std::uint64_t last_sequence = 0;
    void SetUp() override {
        for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
            peer.record_sent(static_cast<Ms>(1000 * sequence), sequence);
        }
    }
    bool receive_heartbeat(Ms now, const std::string& incarnation, Ms uptime, std::uint64_t echo,
                           std::uint64_t revision, const std::string& echo_incarnation = "me") {
        PeerHeartbeat heartbeat;
        heartbeat.incarnation = incarnation;
        heartbeat.sequence = ++last_sequence;
        heartbeat.echo = echo;
        heartbeat.echo_incarnation = echo_incarnation;
        heartbeat.uptime_ms = uptime;
        heartbeat.revision = revision;
        return peer.receive(now, heartbeat, "me");
    }
};

TEST_F(PeerMonitorTest, CoversOnlyRevisionsInTheReplicaAndNeverDecreases) {
    // Without a heartbeat only the confirmed time counts.
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
    receive_heartbeat(5200, "a", 5000, 5, 101);
    // The peer's responses may depend on revision 101, which the replica lacks.
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
    EXPECT_EQ(peer.responses_covered_until(500, 101), 5000);
    receive_heartbeat(6200, "a", 6000, 6, 102);
    EXPECT_EQ(peer.responses_covered_until(500, 101), 5000);
    EXPECT_EQ(peer.responses_covered_until(9000, 103), 9000);
}

TEST_F(PeerMonitorTest, IgnoresAnEchoOfAnotherIncarnationOfThisController) {
    receive_heartbeat(5200, "a", 5000, 5, 0, "me before");
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
}

TEST_F(PeerMonitorTest, DoesNotCoverAnEarlierIncarnation) {
    receive_heartbeat(5200, "a", 5000, 5, 101);
    receive_heartbeat(7000, "b", 500, 6, 0);  // started between 6500 and 7000 ms
    EXPECT_EQ(peer.responses_covered_until(5900, 100), 5900);
    receive_heartbeat(8000, "b", 1500, 7, 0);
    EXPECT_EQ(peer.responses_covered_until(6400, 100), 6400);
    // The confirmed time reaches the start of the process, so its echoes count.
    EXPECT_EQ(peer.responses_covered_until(6600, 100), 7000);
    // A further restart does not reduce the coverage that was already reached.
    receive_heartbeat(9000, "c", 100, 8, 0);
    EXPECT_EQ(peer.responses_covered_until(6600, 100), 7000);
}

TEST_F(PeerMonitorTest, DropsADelayedHeartbeatOfAnEarlierIncarnation) {
    receive_heartbeat(5200, "a", 5000, 3, 100);
    receive_heartbeat(7000, "b", 500, 6, 0);
    EXPECT_FALSE(receive_heartbeat(7100, "a", 5500, 5, 100));  // sent at 5.6 s, delayed
    EXPECT_TRUE(receive_heartbeat(8000, "b", 1500, 7, 0));
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
}

// The first heartbeat received from a process may be delayed until long after that process has
// ended. It then replaces the live process, which must be accepted again once it echoes a heartbeat
// that was sent after that.
TEST_F(PeerMonitorTest, AcceptsAReplacedIncarnationOnceItEchoesARecentHeartbeat) {
    EXPECT_TRUE(receive_heartbeat(5200, "b", 5000, 5, 100));
    EXPECT_TRUE(receive_heartbeat(6100, "a", 1000, 0, 50, ""))
        << "the first heartbeat received from an earlier process";
    EXPECT_FALSE(receive_heartbeat(9000, "b", 8800, 5, 100))
        << "an echo of an old heartbeat does not prove that the process is live";
    EXPECT_TRUE(receive_heartbeat(9100, "b", 8900, 9, 100));
    EXPECT_EQ(peer.newest_heartbeat().incarnation, "b");
    EXPECT_FALSE(receive_heartbeat(9200, "a", 1200, 0, 50, ""));
    EXPECT_EQ(peer.responses_covered_until(500, 100), 9000);
}

// If delayed heartbeats of ended processes arrive at both controllers, neither echoes the live
// process of the other any more. Both live processes keep sending and must be accepted again.
TEST_F(PeerMonitorTest, AcceptsAReplacedIncarnationThatKeepsSendingWhileTheOtherIsSilent) {
    EXPECT_TRUE(receive_heartbeat(5200, "b", 5000, 5, 100));
    EXPECT_TRUE(receive_heartbeat(6100, "a", 1000, 0, 50, ""));
    EXPECT_FALSE(receive_heartbeat(7100, "b", 6900, 3, 101, "me before"));
    EXPECT_TRUE(receive_heartbeat(9200, "b", 9000, 3, 101, "me before"));
    EXPECT_EQ(peer.newest_heartbeat().incarnation, "b");
    EXPECT_EQ(peer.responses_covered_until(500, 100), 5000) << "only echoes extend the coverage";
}

}  // namespace
}  // namespace walkford
