// The state that the subsystems of a leader share from its election to its deposition: the cluster
// state, the leader's authority, and callbacks into the controller that runs it.
#pragma once

#include <functional>
#include <memory>

#include "coordination/context/controller_context.hpp"

namespace walkford {

// The delay before a failed write is retried.
inline constexpr Ms kWriteRetryDelay = 250;

// Owned by the Leader, whose subsystems hold references to it. It exists for one leader term and is
// destroyed when the leader is deposed.
struct LeaderContext {
    // Begins a leader term with an empty cluster state.
    LeaderContext(ControllerContext& owner, std::uint64_t token, Ms now);

    ControllerContext& controller;
    ClusterState cluster;
    std::uint64_t fencing_token = 0;
    Ms elected_at = 0;
    // Whether the leader lease is certainly valid, so that tasks may be started, machines requested
    // and records written.
    bool holds_lease = false;
    // The replica of the store is known to contain every change made up to this time; -1: unknown.
    Ms replica_confirmed_until = -1;
    // Until this time heartbeats may be answered with status 200, which renews the worker's lease.
    Ms heartbeat_answer_deadline = 0;
    bool placement_requested = true;  // run a placement round at the next tick
    // Evaluate scale-out at the next tick, for example because the cloud had no capacity for one
    // machine type and another can be requested instead.
    bool scale_out_requested = false;
    // The numbers of candidates that the last placement round and the last trial packing examined.
    // Tests put a limit on them to bound the work of one tick independently of any clock.
    struct CandidateCounts {
        std::size_t placement_candidates = 0;
        std::size_t packing_candidates = 0;
    };
    CandidateCounts candidate_counts;
    // Ends this leader's term at the given time. The text is the reason and is logged. The leader
    // is destroyed after the current input has been handled.
    std::function<void(Ms, const char*)> depose;
    // Requests a linearizable read of the store. Once it completes, the replica contains every
    // write that other controllers made before the request.
    std::function<void(Ms)> refresh_replica;
    // Whether a heartbeat of the peer with the given index was received within `span` before `now`.
    std::function<bool(Ms now, std::size_t peer, Ms span)> peer_heard_within;
    // Destroyed together with the leader. Response handlers hold weak references to it, and do
    // nothing once the leader is gone.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    // Must be called with a response that reports a conflict. If the comparison of the leader key
    // failed, another controller leads: deposes this leader and returns true.
    bool depose_if_superseded(Ms now, const StoreResponse& response) const;

    // Whether another controller runs a LeaseRelay for the machine's zone, and so may renew the
    // lease of the worker on that machine.
    bool relayed(const Machine& machine) const;

    // Wraps a response handler so that it is not called once this leader is gone.
    template <typename Handler>
    auto while_leading(Handler handler) const {
        return [leader = std::weak_ptr<bool>(alive), handler = std::move(handler)](
                   Ms now, const auto& response) {
            if (!leader.expired()) {
                handler(now, response);
            }
        };
    }
};

}  // namespace walkford
