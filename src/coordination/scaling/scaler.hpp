// Decides when machines are requested and released. Above the high mark, requests enough machines
// to bring the utilization down to the midpoint of the two marks; below the low mark, releases one
// empty temporary machine at a time. docs/design.md lists the exceptions.
#pragma once

#include <functional>
#include <vector>

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/scaling/scale_out_candidates.hpp"
#include "coordination/scaling/trial_packing.hpp"
#include "coordination/scaling/utilization.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// Sizes the fleet for the leader and holds no durable state. Each tick measures the utilization and
// runs a trial packing of the pending demand; both results determine what is requested or released.
class Scaler {
  public:
    using Utilization = walkford::Utilization;

    // The references must outlive the scaler.
    Scaler(LeaderContext& context, const ZoneFailoverManager& zone_failover);

    // Called by the leader at every step. Does nothing until the tick interval has passed, unless
    // the context requests a scale-out at once.
    void tick(Ms now, const WorkerManager& workers, CloudManager& cloud);

    // The utilization measured at the last tick.
    const Utilization& last_utilization() const { return meter_.last_measurement().utilization; }

  private:
    // A machine that may be released.
    struct ReleaseCandidate {
        double price = 0;
        Id machine = kNone;
        // Orders the most expensive machine first.
        bool operator<(const ReleaseCandidate& other) const {
            return price != other.price ? price > other.price : machine < other.machine;
        }
    };

    // Starts a trial packing, calls `pack` for each demand in serving order until the work limit
    // is reached, and collects the demand that remains in unplaced_.
    void pack_demands(const FleetMeasurement& fleet,
                      const std::function<void(PendingDemand&)>& pack);
    // Runs a trial packing of the pending demand without requesting machines.
    void pack_pending(const FleetMeasurement& fleet);
    // Runs a trial packing of the pending demand, and requests machines for tasks that fit on no
    // existing or requested machine. The demand packed next can use the requested machines.
    void pack_and_scale_out(Ms now, FleetMeasurement& fleet, CloudManager& cloud);
    void scale_out_by_utilization(Ms now, FleetMeasurement& fleet, CloudManager& cloud);
    bool scale_out_for_demand(Ms now, const PendingDemand& demand, FleetMeasurement& fleet,
                              CloudManager& cloud);
    bool scale_out_in_zone(Ms now, const Job& job, const ZoneShortfall& shortfall,
                           const std::vector<ScaleOutCandidate>& candidates,
                           FleetMeasurement& fleet, CloudManager& cloud);

    // The number of machines of the type that are registered or requested.
    static std::uint32_t machine_count(Id machine_type, const FleetMeasurement& fleet,
                                       const CloudManager& cloud);
    // Requests up to `count` machines, within the limits of the machine type, the zone and the
    // first scale-out. Returns how many were requested, 0 if none can be requested now. `for_job`
    // is the job whose tasks fit on no machine, or kNone for a request because of the utilization.
    std::uint32_t request_machines(Ms now, const ScaleOutCandidate& candidate, std::uint32_t count,
                                   const std::string& reason, FleetMeasurement& fleet,
                                   CloudManager& cloud, Id for_job = kNone);
    // Adds bins for machines that were just requested, to the running and to later packings.
    void add_bins(const ScaleOutCandidate& candidate, std::uint32_t count, FleetMeasurement& fleet);

    void scale_in(Ms now, CloudManager& cloud);
    // The largest number of machines that may be released now.
    std::uint32_t releases_due(Ms now, Ms interval) const;
    bool release_allowed(Ms now, const Machine& machine, const MachineType& machine_type,
                         bool below_low_mark) const;
    std::vector<ReleaseCandidate> release_candidates(Ms now, bool below_low_mark) const;
    void log_fleet(Ms now, const WorkerManager& workers);

    LeaderContext& context_;
    const ZoneFailoverManager& zone_failover_;
    UtilizationMeter meter_;
    TrialPacking trial_packing_;
    std::vector<PendingDemand> unplaced_;  // demand that the last packing left over
    Ms next_tick_at_ = 0;
    Ms last_scale_out_at_ = -1;  // -1: before the first measurement
    Ms next_scale_in_at_ = 0;    // earliest time of the next release
    Ms next_fleet_log_at_ = 0;
};

}  // namespace walkford
