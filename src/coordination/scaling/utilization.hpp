// Measures the fleet for the scaler: what is allocated, what is pending within the teams' quotas,
// and what capacity there is, up or on its way.
#pragma once

#include <map>
#include <vector>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/scaling/trial_packing.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// The measure that scaling goes by: the largest share, over the resources, that allocated and
// pending demand have of the capacity.
struct Utilization {
    Resources allocated, pending, capacity;
    Resource driving = Resource::cpu;  // the resource with the largest share
    double value = 0;                  // that share; above 1 where demand exceeds capacity
};

// A machine type in one zone.
struct MachineTypeInZone {
    Id machine_type = kNone;
    Id zone = kNone;
    auto operator<=>(const MachineTypeInZone&) const = default;
};

// The machines of one zone, as far as scaling out is concerned.
struct ZoneMachines {
    std::uint32_t reporting = 0;
    std::uint32_t on_their_way = 0;  // requested, and not reported yet
};

// The result of a measurement. The scaler adds to it the machines that it requests.
struct FleetMeasurement {
    Utilization utilization;
    std::vector<Bin> bins;               // of the machines that count as capacity
    std::vector<PendingDemand> demands;  // in the order in which jobs are served
    std::map<MachineTypeInZone, std::uint32_t> registered_machines;
    std::map<Id, ZoneMachines> zone_machines;  // by zone
};

// Takes the measurement, once for each tick of the scaler.
class UtilizationMeter {
  public:
    // Both must outlive this object.
    UtilizationMeter(LeaderContext& context, const ZoneFailoverManager& zone_failover);

    // Measures the fleet; valid until the next call.
    FleetMeasurement& measure(Ms now, const WorkerManager& workers, const CloudManager& cloud);
    // The last measurement.
    const FleetMeasurement& last() const { return fleet_; }

  private:
    // What has been admitted of one team's pending demand.
    struct TeamDemand {
        Resources admitted;
        bool blocked = false;  // a job waits for the quota: later ones of the team wait behind it
    };

    // The machine is silent, but not for so long that it is given up.
    bool expected_back(const Machine& machine, Ms now) const;
    bool many_machines_silent(Ms now, const WorkerManager& workers) const;
    bool late_to_boot(const Machine& machine, const MachineType& machine_type, Ms now) const;
    bool counts_as_capacity(const Machine& machine, const MachineType& machine_type,
                            bool schedulable, bool many_silent, Ms now) const;
    void measure_machines(Ms now, const WorkerManager& workers);
    void measure_requested_machines(const CloudManager& cloud);
    void measure_pending_demand(Ms now);
    // How many waiting tasks of the job the quota of its team admits, after those before it.
    std::uint32_t admitted_tasks(const Job& job, TeamDemand& team_demand) const;
    bool fits_some_machine_type(const JobSpec& spec) const;
    void find_driving_resource();

    LeaderContext& context_;
    const ZoneFailoverManager& zone_failover_;
    FleetMeasurement fleet_;
};

}  // namespace walkford
