// The cloud's list of machines, and how the leader's state follows it.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "coordination/cloud/machine_registry.hpp"
#include "coordination/cloud/machine_releaser.hpp"

namespace walkford {

// Reads the cloud's list page by page and reconciles the cluster state with it: adds machines that
// are new, removes those that left the list. The first leader adopts what the first list names.
// Owned by CloudManager.
class MachineListReconciler {
  public:
    // All references must outlive it.
    MachineListReconciler(LeaderContext& context, MachineRegistry& registry,
                          MachineReleaser& releaser);

    // Begins to read the list when that is due; one list at a time.
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
    Ms read_began_at_ = 0;
    std::vector<CloudMachine> listed_;  // the pages read so far
};

}  // namespace walkford
