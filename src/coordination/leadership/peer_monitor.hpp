// What is known of one other controller: its last heartbeat, and until when everything that its
// processes answered to users is certainly covered by our replica.
#pragma once

#include <deque>
#include <map>

#include "coordination/messages/inputs.hpp"

namespace walkford {

// One peer as seen from this controller. Owned by PeerHeartbeats, one for each configured peer; it
// follows the peer through restarts, telling its processes apart by their incarnation.
class PeerMonitor {
  public:
    // Records that the heartbeat with that sequence number was sent to the peer at `now`.
    void record_sent(Ms now, std::uint64_t sequence);
    // Takes in a heartbeat of the peer. `own_incarnation`: that of this process. False, and nothing
    // changes, if the heartbeat is older than what is known.
    bool receive(Ms now, const PeerHeartbeat& heartbeat, const std::string& own_incarnation);

    // Until when every response that the peer gave to any user is covered by our replica, given
    // that those of all controllers are up to `confirmed_at`, and that the replica includes every
    // change up to `replica_revision`. Never goes back. (docs/design.md has the proof.)
    Ms responses_covered_until(Ms confirmed_at, std::uint64_t replica_revision);

    // The newest heartbeat; all its fields are empty before the first one.
    const PeerHeartbeat& last() const { return process_.last; }
    // Was a heartbeat received within the last `span`?
    bool received_within(Ms now, Ms span) const {
        return received_at_ >= 0 && now - received_at_ <= span;
    }
    // When the newest heartbeat was received; -1: none was.
    Ms received_at() const { return received_at_; }

  private:
    static constexpr std::size_t kMaxSentRecords = 240;
    static constexpr std::size_t kMaxEarlierProcesses = 64;
    static constexpr Ms kFreshEcho = 3000;
    static constexpr Ms kProcessSilent = 3000;

    // One process of that controller.
    struct Process {
        PeerHeartbeat last;
        Ms started_by = -1;  // it was running by then
        // What it answered by `covered_until` rests on no change later than `covered_revision`.
        Ms covered_until = -1;
        std::uint64_t covered_revision = 0;
    };
    // When we sent what the heartbeat echoes; -1: it echoes nothing that this process sent.
    Ms echoed_at(const PeerHeartbeat& heartbeat, const std::string& own_incarnation) const;
    bool change_process(Ms now, const PeerHeartbeat& heartbeat, Ms echoed);

    Process process_;  // the one whose heartbeat was received last
    std::deque<Process> earlier_processes_;
    Ms received_at_ = -1;
    std::map<std::uint64_t, Ms> sent_at_;  // by sequence number
    Ms responses_covered_until_ = -1;
};

}  // namespace walkford
