// Reconciles the leader's cluster state with the cloud's list of machines.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "coordination/cloud/machine_registry.hpp"
#include "coordination/cloud/machine_releaser.hpp"

namespace walkford {

// Reads the cloud's list page by page, adds new machines to the cluster state and removes machines
// that are no longer listed. If no registry is stored yet, the leader registers all machines of the
// first list except failed ones. An entry that can't be read costs only itself: its machine is not
// added, and it does not count as missing. Owned by CloudManager.
class MachineListReconciler {
  public:
    // All references must outlive it.
    MachineListReconciler(LeaderContext& context, MachineRegistry& registry,
                          MachineReleaser& releaser);

    // Starts reading the list when that is due. Only one read is in progress at a time.
    void tick(Ms now);

  private:
    void request_page(const std::string& after);
    void on_page(Ms now, const CloudResponse& response);
    void reconcile(Ms now);
    void adopt_listed_machines(Ms now);
    std::set<std::string> apply_listed_machines(Ms now);
    void apply_listed_machine(Ms now, const CloudMachine& listed);
    void handle_missing_machine(Ms now, Id machine);

    LeaderContext& context_;
    MachineRegistry& registry_;
    MachineReleaser& releaser_;
    bool reading_ = false;
    Ms next_read_at_ = 0;
    Ms read_started_at_ = 0;
    // From the pages read so far; see CloudResponse.
    std::vector<CloudMachine> listed_machines_;
    std::set<std::string> unreadable_names_;
    bool all_names_known_ = true;
};

}  // namespace walkford
