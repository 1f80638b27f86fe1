// The leader's side of the cloud: scale-out, scale-in, and the registry of machines.
#pragma once

#include "coordination/cloud/capacity_backoff.hpp"
#include "coordination/cloud/machine_health_watch.hpp"
#include "coordination/cloud/machine_list_reconciler.hpp"
#include "coordination/cloud/machine_registry.hpp"
#include "coordination/cloud/machine_releaser.hpp"
#include "coordination/cloud/machine_type_reader.hpp"
#include "coordination/cloud/scale_out_requester.hpp"
#include "coordination/cloud/unregistered_machines.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// What other subsystems use of the cloud. Owned by the leader for one term; composes the classes of
// this folder, each of which has one concern.
class CloudManager {
  public:
    // Nothing is known of the cloud until load() and tick(). Both references must outlive it.
    CloudManager(LeaderContext& context, TaskLifecycle& lifecycle);
    // Its parts refer to one another.
    CloudManager(const CloudManager&) = delete;
    CloudManager& operator=(const CloudManager&) = delete;

    // Continues from the stored registry, at the beginning of a leader's term. If it can't be read,
    // nothing is requested or released in this term.
    void load(Ms now);
    // Does what is due. Called in each step of the leader; nothing happens without a lease.
    void tick(Ms now);

    // Requests machines of a group. False if that can't be requested now. `reason` goes to the log.
    bool request_machines(Ms now, Id machine_type, Id zone, bool spot, std::uint32_t count,
                          bool permanent, const std::string& reason);
    // Stops using the machine and gives it back to the cloud. `reason` goes to the log.
    void release_machine(Ms now, Id machine, const char* reason) {
        releaser_.release(now, machine, reason);
    }

    // The registry is known, the group is not backed off, and no request for it is open.
    bool can_request(Id machine_type, Id zone, bool spot, Ms now) const;
    // The cloud has refused a scale-out request in the zone, and is not asked again yet.
    bool refused_lately(Id zone, Ms now) const { return backoff_.blocks_zone(zone, now); }
    // The registry is known: read, or created from the cloud's first list.
    bool known() const { return registry_.known(); }
    // Requests whose outcome is not known yet.
    const std::vector<ScaleOutRequest>& scale_out_requests() const {
        return registry_.scale_out_requests();
    }
    // Permanent machines were requested, or existed at the start: later machines are temporary.
    bool first_scale_out_done() const;

  private:
    void load_machine(Ms now, const RegisteredMachine& registered);

    LeaderContext& context_;
    MachineRegistry registry_;
    CapacityBackoff backoff_;
    UnregisteredMachines unregistered_;
    MachineReleaser releaser_;
    ScaleOutRequester scale_out_;
    MachineListReconciler machine_list_;
    MachineHealthWatch health_watch_;
    MachineTypeReader machine_types_;
};

}  // namespace walkford
