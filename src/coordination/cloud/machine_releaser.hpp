// Scale-in: returns machines to the cloud and removes terminated machines from the cluster state.
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

// Marks machines as releasing in the registry. Once the mark is durable, asks the cloud to take
// them back and repeats the request until the cloud confirms it. Owned by CloudManager.
class MachineReleaser {
  public:
    // All references must outlive it.
    MachineReleaser(LeaderContext& context, TaskLifecycle& lifecycle, MachineRegistry& registry,
                    CapacityBackoff& backoff, UnregisteredMachines& unregistered);

    // Stops using the machine and starts its release. Does nothing if the machine is already being
    // released or is terminated. `reason` is logged.
    void release(Ms now, Id machine, const char* reason);
    // Continues a release that an earlier leader recorded in the registry.
    void resume_release(const std::string& machine) { pending_releases_.insert(machine); }
    // Sends the pending releases to the cloud. Only one call is open at a time.
    void send_due(Ms now);
    // Removes a machine that is certain to be gone: its tasks are lost, and its registry entry is
    // deleted.
    void remove(Ms now, Id machine, const char* reason);

    // Whether the cloud confirmed the release recently. Its list lags behind and may still show the
    // machine.
    bool released(const std::string& machine) const { return released_at_.contains(machine); }
    // Forgets releases that are so old that even an outdated list no longer shows the machine.
    void forget_old_releases(Ms now);

  private:
    void on_release_response(Ms now, const std::vector<std::string>& machines,
                             const CloudResponse& response);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    MachineRegistry& registry_;
    CapacityBackoff& backoff_;
    UnregisteredMachines& unregistered_;
    std::set<std::string> pending_releases_;  // durably marked, or not registered
    std::map<std::string, Ms> released_at_;
    bool call_open_ = false;
    Ms retry_at_ = 0;
};

}  // namespace walkford
