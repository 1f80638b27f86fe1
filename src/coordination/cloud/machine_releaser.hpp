// Scale-in: gives machines back to the cloud and removes those that are gone.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/cloud/capacity_backoff.hpp"
#include "coordination/cloud/machine_registry.hpp"
#include "coordination/cloud/unregistered_machines.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// Releases machines: marks them in the registry, and once the mark is durable asks the cloud to
// take them until it confirms. Owned by CloudManager.
class MachineReleaser {
  public:
    // All references must outlive it.
    MachineReleaser(LeaderContext& context, TaskLifecycle& lifecycle, MachineRegistry& registry,
                    CapacityBackoff& backoff, UnregisteredMachines& unregistered);

    // Stops using the machine and starts its release; does nothing if that has begun. `reason` goes
    // to the log.
    void release(Ms now, Id machine, const char* reason);
    // Continues a release that an earlier leader marked durably.
    void resume_release(const std::string& machine) { to_release_.insert(machine); }
    // Asks the cloud to take the machines whose marks are durable; one call at a time.
    void send_due(Ms now);
    // The machine is proven gone: its tasks are lost, and the registry drops it.
    void remove(Ms now, Id machine, const char* reason);

    // The cloud confirmed the release; its list, which lags behind, may still show the machine.
    bool released(const std::string& machine) const { return released_at_.contains(machine); }
    // Forgets releases that even the most outdated list can't show any more.
    void forget_old_releases(Ms now);

  private:
    void on_release_response(Ms now, const std::vector<std::string>& machines,
                             const CloudResponse& response);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    MachineRegistry& registry_;
    CapacityBackoff& backoff_;
    UnregisteredMachines& unregistered_;
    std::set<std::string> to_release_;  // marked durably, or unregistered
    std::map<std::string, Ms> released_at_;
    bool call_open_ = false;
    Ms retry_at_ = 0;
};

}  // namespace walkford
