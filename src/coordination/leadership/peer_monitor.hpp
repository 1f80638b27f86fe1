// Tracks one other controller: its newest heartbeat, and the time up to which this controller's
// replica certainly covers every response that the peer's processes gave to users.
#pragma once

#include <deque>
#include <map>

#include "coordination/messages/inputs.hpp"

namespace walkford {

// The state of one peer as seen by this controller. PeerHeartbeats owns one for each configured
// peer. It persists across restarts of the peer, whose processes it distinguishes by incarnation.
class PeerMonitor {
  public:
    // Records that the heartbeat with the given sequence number was sent to the peer at `now`.
    void record_sent(Ms now, std::uint64_t sequence);
    // Handles a heartbeat from the peer. `own_incarnation` is the incarnation of this process.
    // Returns false and changes nothing if the heartbeat is out of date.
    bool receive(Ms now, const PeerHeartbeat& heartbeat, const std::string& own_incarnation);

    // Returns the time up to which this controller's replica covers every response that the peer
    // gave to any user. Given are that it covers the responses of all controllers up to
    // `confirmed_at`, and that it includes every change up to `replica_revision`. The returned time
    // never decreases. (docs/design.md has the proof.)
    Ms responses_covered_until(Ms confirmed_at, std::uint64_t replica_revision);

    // The newest heartbeat. All its fields are empty until the first heartbeat has been received.
    const PeerHeartbeat& newest_heartbeat() const { return process_.heartbeat; }
    // Whether a heartbeat was received within the last `span`.
    bool received_within(Ms now, Ms span) const {
        return received_at_ >= 0 && now - received_at_ <= span;
    }
    // When the newest heartbeat was received; -1 if none was.
    Ms received_at() const { return received_at_; }

  private:
    static constexpr std::size_t kMaxSentHeartbeats = 240;
    static constexpr std::size_t kMaxEarlierProcesses = 64;
    static constexpr Ms kMaxEchoAge = 3000;
    static constexpr Ms kProcessSilenceTimeout = 3000;

    // One process of the peer.
    struct Process {
        PeerHeartbeat heartbeat;  // the newest one that it sent
        Ms started_by = -1;       // the process was running by then; -1: unknown
        // The responses that the process gave up to `covered_until` depend on no change later than
        // `covered_revision`.
        Ms covered_until = -1;
        std::uint64_t covered_revision = 0;
    };
    // When this process sent the heartbeat that the given one echoes; -1 if it echoes none that is
    // still recorded.
    Ms echoed_at(const PeerHeartbeat& heartbeat, const std::string& own_incarnation) const;
    bool switch_process(Ms now, const PeerHeartbeat& heartbeat, Ms echoed);

    Process process_;  // the process that sent the newest heartbeat
    std::deque<Process> earlier_processes_;
    Ms received_at_ = -1;
    std::map<std::uint64_t, Ms> sent_at_;  // by sequence number
    Ms responses_covered_until_ = -1;
};

}  // namespace walkford
