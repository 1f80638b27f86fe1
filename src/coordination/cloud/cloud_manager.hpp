// Manages the leader's machines in the cloud: scale-out, scale-in and the machine registry.
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

// The interface through which other subsystems request and release machines. Owned by the leader
// for one term; composes the classes of this directory.
class CloudManager {
  public:
    // Knows no machines until load() and tick() are called. Both references must outlive it.
    CloudManager(LeaderContext& context, TaskLifecycle& lifecycle);
    // Not copyable, because its members hold references to one another.
    CloudManager(const CloudManager&) = delete;
    CloudManager& operator=(const CloudManager&) = delete;

    // Restores the machines and the open scale-out requests from the stored registry, at the start
    // of a leader's term. If the registry can't be read, no machine is requested or released in
    // this term.
    void load(Ms now);
    // Runs the periodic work: writes the registry, reads the cloud's lists, retries requests and
    // checks machine health. Called in each step of the leader; does nothing without the lease.
    void tick(Ms now);

    // Requests machines of a group. Returns false if the group can't be requested now or the
    // registry has no space left. `reason` is logged.
    bool request_machines(Ms now, Id machine_type, Id zone, bool spot, std::uint32_t count,
                          bool permanent, const std::string& reason);
    // Stops using the machine and returns it to the cloud. `reason` is logged.
    void release_machine(Ms now, Id machine, const char* reason) {
        releaser_.release(now, machine, reason);
    }

    // Whether the registry is initialized, the group is not backed off, and no request for the
    // group is open.
    bool can_request(Id machine_type, Id zone, bool spot, Ms now) const;
    // Whether the cloud refused a scale-out request in the zone and its backoff is still running.
    bool zone_backed_off(Id zone, Ms now) const { return backoff_.blocks_zone(zone, now); }
    // Whether the registry has been loaded, or created from the cloud's first list.
    bool registry_initialized() const { return registry_.initialized(); }
    // Scale-out requests whose outcome is not known yet.
    const std::vector<ScaleOutRequest>& scale_out_requests() const {
        return registry_.scale_out_requests();
    }
    // Whether permanent machines have been requested or existed when the registry was created.
    // Machines requested after that are temporary.
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
