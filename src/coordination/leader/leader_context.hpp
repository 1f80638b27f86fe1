// What the modules of a leader share during its term.
#pragma once

#include <algorithm>
#include <functional>
#include <memory>

#include "coordination/context/controller_context.hpp"

namespace walkford {

// What the parts of the leader share.
struct LeaderContext {
    ControllerContext& controller;
    ClusterState cluster;
    std::uint64_t fencing_token = 0;
    Ms elected_at = 0;
    bool holds_lease = false;          // our lease is surely ours: start, rent and write
    Ms view_confirmed_until = -1;      // the view holds everything that had happened by then
    Ms heartbeat_answer_deadline = 0;  // until then heartbeats may be answered 200
    bool place_now = true;
    bool scale_out_now = false;  // the cloud ran out of one kind: the next is asked for at once
    // What the last round of placing and the last trial packing looked at: their measure where no
    // clock is to decide.
    struct Work {
        std::size_t placing = 0;
        std::size_t packing = 0;
    };
    Work work;
    std::function<void(Ms, const char*)> depose;
    std::function<void(Ms)> refresh;  // asks for a proven view
    // Was the peer with that index heard within the span?
    std::function<bool(Ms now, std::size_t peer, Ms span)> peer_heard;
    // Calls that outlive the term find this gone.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    // A conditional write was refused because another leads: the term ends.
    bool deposed_by(Ms at, const StoreResponse& reply) const {
        bool other_leads = std::find(reply.failed.begin(), reply.failed.end(), keys::kLeader) !=
                           reply.failed.end();
        if (other_leads) {
            depose(at, "a write found another leader");
        }
        return other_leads;
    }

    // Another controller may renew the machine's lease.
    bool relayed(const Machine& machine) const {
        return machine.zone != kNone &&
               controller.replica.relayed(controller.names.zones.name(machine.zone));
    }

    LeaderContext(ControllerContext& c, std::uint64_t t, Ms now)
        : controller(c),
          cluster(c.names, c.platform_settings.teams),
          fencing_token(t),
          elected_at(now) {}
};

}  // namespace walkford
