// What the subsystems of a leader share from its election to its deposition: the cluster state, the
// leader's authority, and the callbacks into the controller that runs it.
#pragma once

#include <functional>
#include <memory>

#include "coordination/context/controller_context.hpp"

namespace walkford {

// How long a write that failed waits before it is tried again.
inline constexpr Ms kWriteRetryDelay = 250;

// Owned by the Leader; every subsystem of the leader holds a reference. It lives for one leader
// term and is destroyed when the leader is deposed.
struct LeaderContext {
    // Begins a leader term with an empty cluster state.
    LeaderContext(ControllerContext& owner, std::uint64_t token, Ms now);

    ControllerContext& controller;
    ClusterState cluster;
    std::uint64_t fencing_token = 0;
    Ms elected_at = 0;
    // The leader lease is certainly valid: tasks may be started, machines requested, records
    // written.
    bool holds_lease = false;
    // The replica of the store is known to contain every change made until then.
    Ms view_confirmed_until = -1;
    // Until then heartbeats may be answered with 200, which renews the worker's lease.
    Ms heartbeat_answer_deadline = 0;
    bool place_now = true;  // run a placement round at the next tick
    // The cloud had no capacity for one machine type: another is requested at the next tick.
    bool scale_out_now = false;
    // How many candidates the last placement round and the last trial packing examined. Tests limit
    // it, as a bound on the work of one tick that depends on no clock.
    struct Work {
        std::size_t placing = 0;
        std::size_t packing = 0;
    };
    Work work;
    // Ends this leader's term at the given time; the text says why and is logged. The leader is
    // destroyed after the current input has been handled.
    std::function<void(Ms, const char*)> depose;
    // Requests a linearizable read, after which the replica holds what others have written.
    std::function<void(Ms)> refresh;
    // Whether the peer with that index has sent a heartbeat within the span before `now`.
    std::function<bool(Ms now, std::size_t peer, Ms span)> peer_heard;
    // Expires with the leader: a reply handler that outlives it must do nothing.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    // To be called with a reply that reports a conflict. If the comparison of the leader key is
    // among those that failed, another controller leads: deposes this leader and returns true.
    bool deposed_by(Ms now, const StoreResponse& reply) const;

    // Another controller relays for the machine's zone, and may renew the machine's lease.
    bool relayed(const Machine& machine) const;

    // Wraps a handler of replies so that it is not called once this leader is gone.
    template <typename Handler>
    auto while_leading(Handler handler) const {
        return [leader = std::weak_ptr<bool>(alive), handler = std::move(handler)](
                   Ms now, const auto& reply) {
            if (!leader.expired()) {
                handler(now, reply);
            }
        };
    }
};

}  // namespace walkford
