// Collects the evidence of each zone's health: reports of its machines, heartbeats of its
// controllers, and scale-out requests that the cloud refused.
#pragma once

#include <cstdint>
#include <vector>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_table.hpp"

namespace walkford {

// Updates the evidence in the ZoneTable. Owned by ZoneFailoverManager.
class ZoneObserver {
  public:
    // All references must outlive it.
    ZoneObserver(LeaderContext& context, ZoneTable& zones) : context_(context), zones_(zones) {}

    // Replaces the evidence of every zone with a new observation. The evidence is inconclusive
    // without a lease or a recently confirmed view of the store, and until machines have had time
    // to find a new leader.
    void observe(Ms now, const WorkerManager& workers, const CloudManager& cloud);

  private:
    enum class ReportStatus : std::uint8_t { not_expected, reporting, silent };
    // What the observer keeps of a machine from one observation to the next.
    struct MachineWatch {
        ReportStatus last_status = ReportStatus::not_expected;
        bool reclaim_announced = false;  // the cloud has announced that it reclaims the machine
        bool removed = false;            // the machine is terminated, or being released
        // When the cloud took the machine without notice, or it was released for its silence; -1 if
        // neither happened.
        Ms lost_at = -1;
    };

    void observe_machines(Ms now, const WorkerManager& workers);
    ReportStatus observe_machine(Ms now, const Machine& machine, MachineWatch& watch,
                                 const WorkerManager& workers) const;
    ReportStatus observe_removed_machine(Ms now, const Machine& machine, MachineWatch& watch) const;
    bool expects_report(const Machine& machine, Ms now) const;
    void observe_controllers(Ms now);
    Ms evidence_valid_since() const;

    LeaderContext& context_;
    ZoneTable& zones_;
    std::vector<MachineWatch> watches_;  // by machine
};

}  // namespace walkford
