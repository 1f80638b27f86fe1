// Collects the evidence of each zone's health: its machines, controllers and the cloud's refusals.
#pragma once

#include <cstdint>
#include <vector>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_table.hpp"

namespace walkford {

// Fills the evidence of the ZoneTable. Owned by ZoneFailoverManager.
class ZoneObserver {
  public:
    // All references must outlive it.
    ZoneObserver(LeaderContext& context, ZoneTable& zones) : context_(context), zones_(zones) {}

    // Replaces every zone's evidence by what is observed now. It is inconclusive without a lease
    // and a recently confirmed view, and while the machines have yet to find a new leader.
    void observe(Ms now, const WorkerManager& workers, const CloudManager& cloud);

  private:
    enum class ReportStatus : std::uint8_t { not_expected, reporting, silent };
    // What is remembered of a machine from one observation to the next.
    struct MachineWatch {
        ReportStatus last = ReportStatus::not_expected;
        bool reclaim_announced = false;  // the cloud has given notice that it takes the machine
        bool left = false;               // it is terminated, or being released
        Ms lost_at = -1;  // taken by the cloud without notice, or released for its silence; -1: not
    };

    void observe_machines(Ms now, const WorkerManager& workers);
    ReportStatus observe_machine(Ms now, const Machine& machine, MachineWatch& watch,
                                 const WorkerManager& workers) const;
    ReportStatus observe_left_machine(Ms now, const Machine& machine, MachineWatch& watch) const;
    bool expects_report(const Machine& machine, Ms now) const;
    void observe_controllers(Ms now);
    Ms judging_since() const;

    LeaderContext& context_;
    ZoneTable& zones_;
    std::vector<MachineWatch> watches_;  // by machine
};

}  // namespace walkford
