// Which partitions this controller is on the wrong side of, judged from its own contacts and from
// what peers report of theirs.
#pragma once

#include <optional>

#include "coordination/context/controller_context.hpp"
#include "coordination/controller/activity_times.hpp"
#include "coordination/controller/peer_heartbeats.hpp"
#include "coordination/leadership/leadership.hpp"

namespace walkford {

// Asked by the Controller in each step; sends nothing. All references must outlive it.
class Reachability {
  public:
    Reachability(const ControllerContext& context, const Leadership& leadership,
                 const PeerHeartbeats& peers, const ActivityTimes& times);

    // Neither the state service nor any other controller is reached: what is known of the others is
    // out of date. Never so without peers.
    bool isolated(Ms now) const;
    // The state service refuses this controller while it serves a peer. An outage that all
    // controllers see takes none of them out of service; this one does.
    bool store_refuses_only_us(Ms now) const;
    // Another controller leads by the state service, but no heartbeat of it has been received for
    // longer than the key of a leader that ended would stand.
    bool leader_silent(Ms now) const;
    // A leader that no worker reaches while workers reach other controllers: cut off from its
    // workers only, it would keep its lease while theirs expire. `elected_at`: empty when not
    // leading. To be called in every step, as it measures how long that has been so.
    bool workers_reach_only_others(Ms now, std::optional<Ms> elected_at);

  private:
    bool workers_reach_a_peer(Ms now) const;

    const ControllerContext& context_;
    const Leadership& leadership_;
    const PeerHeartbeats& peers_;
    const ActivityTimes& times_;
    Ms workers_reach_only_others_since_ = -1;  // -1: they don't
};

}  // namespace walkford
