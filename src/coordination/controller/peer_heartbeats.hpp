// Heartbeats between controllers: when to send one, what it carries, and what received ones show.
#pragma once

#include <algorithm>
#include <vector>

#include "coordination/context/controller_context.hpp"
#include "coordination/controller/activity_times.hpp"
#include "coordination/leadership/leadership.hpp"
#include "coordination/leadership/peer_monitor.hpp"

namespace walkford {

// Owns one PeerMonitor for each configured peer, in the order of PlatformSettings::peers. All
// references must outlive it.
class PeerHeartbeats {
  public:
    // One monitor for each peer in the settings.
    PeerHeartbeats(ControllerContext& context, Leadership& leadership, const ActivityTimes& times);

    // Sends heartbeats when they are due.
    void tick(Ms now);
    // Makes the next ones due at `at`.
    void schedule(Ms at) { send_at_ = at; }
    // When the next ones are due.
    Ms due() const { return send_at_; }
    // Takes in a heartbeat of the peer with that index. Late and repeated ones, and those of an
    // unknown peer, are ignored. A higher fencing token in it deposes this controller.
    void receive(Ms now, std::size_t peer, const PeerHeartbeat& heartbeat);

    // Is this the only configured controller?
    bool no_peers() const { return monitors_.empty(); }
    // Was a heartbeat of the peer with that index received within `span`?
    bool received_within(Ms now, std::size_t peer, Ms span) const {
        return monitors_.at(peer).received_within(now, span);
    }
    // What is known of each peer.
    const std::vector<PeerMonitor>& monitors() const { return monitors_; }
    // Until when every response that any peer gave a user is covered by our replica; the lowest of
    // PeerMonitor::responses_covered_until.
    Ms responses_covered_until(Ms confirmed_at, std::uint64_t replica_revision);

  private:
    void send_all(Ms now);
    // Between two followers fewer heartbeats suffice, as nothing depends on them while a leader
    // lives.
    bool both_follow(std::size_t peer) const;
    PeerHeartbeat build(Ms now, const PeerMonitor& monitor) const;

    ControllerContext& context_;
    Leadership& leadership_;
    const ActivityTimes& times_;
    std::vector<PeerMonitor> monitors_;
    Ms send_at_ = 0;
    std::uint64_t sequence_ = 0;
};

}  // namespace walkford
