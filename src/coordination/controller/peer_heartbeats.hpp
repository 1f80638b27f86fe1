// Heartbeats between controllers: schedules and builds the sent ones and evaluates the received
// ones.
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
    // Creates one monitor for each peer in the settings.
    PeerHeartbeats(ControllerContext& context, Leadership& leadership, const ActivityTimes& times);

    // Sends heartbeats if they are due.
    void tick(Ms now);
    // Schedules the next heartbeats for the time `at`.
    void schedule(Ms at) { send_at_ = at; }
    // When the next heartbeats are due.
    Ms due() const { return send_at_; }
    // Handles a heartbeat from the peer with this index. Late and duplicate heartbeats and those of
    // an unknown peer are ignored. A heartbeat with a higher fencing token deposes this controller.
    void receive(Ms now, std::size_t peer, const PeerHeartbeat& heartbeat);

    // Whether this is the only configured controller.
    bool no_peers() const { return monitors_.empty(); }
    // Whether a heartbeat from the peer with this index was received within the last `span`.
    bool received_within(Ms now, std::size_t peer, Ms span) const {
        return monitors_.at(peer).received_within(now, span);
    }
    // The monitors of all peers, by index.
    const std::vector<PeerMonitor>& monitors() const { return monitors_; }
    // The time up to which this controller's replica covers every response that any peer has given
    // to a user: the minimum of PeerMonitor::responses_covered_until over all peers.
    Ms responses_covered_until(Ms confirmed_at, std::uint64_t replica_revision);

  private:
    void send_all(Ms now);
    // Whether this controller and the peer both follow a known leader. Two followers exchange fewer
    // heartbeats, because nothing depends on these while the leader is alive.
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
