// Measures the fleet for the scaler: the allocated resources, the pending demand within the teams'
// quotas, and the capacity of machines that are up, booting or requested.
#pragma once

#include <map>
#include <vector>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/scaling/trial_packing.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// The utilization that scaling decisions are based on: allocated plus pending demand as a share of
// the capacity, for the resource where that share is largest.
struct Utilization {
    Resources allocated, pending, capacity;
    Resource dominant = Resource::cpu;  // the resource with the largest share
    double value = 0;                   // its share; above 1 if demand exceeds capacity
};

// A machine type in one zone.
struct MachineTypeInZone {
    Id machine_type = kNone;
    Id zone = kNone;
    auto operator<=>(const MachineTypeInZone&) const = default;
};

// The machines of one zone that scale-out limits depend on.
struct ZoneMachineCounts {
    std::uint32_t reporting = 0;     // schedulable
    std::uint32_t provisioning = 0;  // requested or booting: they have not reported yet
};

// The result of a measurement. The scaler adds the machines that it requests in the same tick.
struct FleetMeasurement {
    Utilization utilization;
    std::vector<Bin> bins;               // one for each machine that counts as capacity
    std::vector<PendingDemand> demands;  // in the order in which jobs are served
    std::map<MachineTypeInZone, std::uint32_t> registered_machines;
    std::map<Id, ZoneMachineCounts> zone_machine_counts;  // by zone
};

// Measures the fleet once per tick of the scaler.
class UtilizationMeter {
  public:
    // Both references must outlive this object.
    UtilizationMeter(LeaderContext& context, const ZoneFailoverManager& zone_failover);

    // Measures the fleet. The result is valid until the next call.
    FleetMeasurement& measure(Ms now, const WorkerManager& workers, const CloudManager& cloud);
    const FleetMeasurement& last_measurement() const { return fleet_; }

  private:
    // The pending demand of one team that its quota has admitted so far.
    struct TeamDemand {
        Resources admitted;
        // A job of the team exceeds the quota; later jobs of the team wait behind it.
        bool blocked = false;
    };

    // Whether a silent machine is expected to report again: nothing shows that it failed, and
    // either it has not been silent for long or another controller relays for its zone.
    bool expected_to_recover(const Machine& machine, Ms now) const;
    bool many_machines_silent(Ms now, const WorkerManager& workers) const;
    // Whether the machine should have reported by now, by the boot time of its type.
    bool boot_overdue(const Machine& machine, const MachineType& machine_type, Ms now) const;
    bool counts_as_capacity(const Machine& machine, const MachineType& machine_type,
                            bool schedulable, bool many_silent, Ms now) const;
    void measure_machines(Ms now, const WorkerManager& workers);
    void measure_requested_machines(const CloudManager& cloud);
    void measure_pending_demand(Ms now);
    // The number of waiting tasks of the job that the quota of its team admits, after the demand
    // already admitted. A gang is admitted as a whole or not at all.
    std::uint32_t admitted_tasks(const Job& job, TeamDemand& team_demand) const;
    bool fits_some_machine_type(const JobSpec& spec) const;
    void find_dominant_resource();

    LeaderContext& context_;
    const ZoneFailoverManager& zone_failover_;
    FleetMeasurement fleet_;
};

}  // namespace walkford
