// Detects network partitions that cut this controller off, from the responses and heartbeats that
// it receives and from what its peers report about theirs.
#pragma once

#include <optional>

#include "coordination/context/controller_context.hpp"
#include "coordination/controller/activity_times.hpp"
#include "coordination/controller/peer_heartbeats.hpp"
#include "coordination/leadership/leadership.hpp"

namespace walkford {

// Queried by the Controller in each step; sends no messages. All references must outlive it.
class Reachability {
  public:
    Reachability(const ControllerContext& context, const Leadership& leadership,
                 const PeerHeartbeats& peers, const ActivityTimes& times);

    // Whether this controller reaches neither the store nor any other controller, so that its
    // knowledge of the others is out of date. Always false without peers.
    bool isolated(Ms now) const;
    // Whether the store refuses this controller while it serves a peer. Such a controller is taken
    // out of service. An outage of the store for all controllers takes none of them out of service.
    bool store_refuses_only_us(Ms now) const;
    // Whether another controller leads according to the store, but no heartbeat from it has been
    // received for longer than the leader key outlives a leader that has stopped.
    bool leader_silent(Ms now) const;
    // Whether no worker reaches this leader while workers reach other controllers. A leader that is
    // cut off only from its workers would keep its own lease while the leases of the workers
    // expire. `elected_at`: nullopt unless leading. Must be called in every step, because it
    // measures how long the condition has held.
    bool workers_reach_only_others(Ms now, std::optional<Ms> elected_at);

  private:
    bool workers_reach_a_peer(Ms now) const;

    const ControllerContext& context_;
    const Leadership& leadership_;
    const PeerHeartbeats& peers_;
    const ActivityTimes& times_;
    Ms workers_reach_only_others_since_ = -1;  // -1: the condition does not hold
};

}  // namespace walkford
