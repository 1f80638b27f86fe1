// Decides when machines are requested and released. The design's rule: scale out above the high
// mark of utilization until the marks' midpoint, release one empty temporary machine below the low
// mark. Exceptions are named in docs/design.md.
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

// Sizes the fleet for the leader; owns nothing durable. Each tick measures the utilization, packs
// the pending demand on trial, and decides by both.
class Scaler {
  public:
    using Utilization = walkford::Utilization;

    // The references must outlive the scaler.
    Scaler(LeaderContext& context, const ZoneFailoverManager& zone_failover);

    // Called by the leader at every step; does nothing until the next tick is due.
    void tick(Ms now, const WorkerManager& workers, CloudManager& cloud);

    // The utilization as of the last tick.
    const Utilization& last() const { return meter_.last().utilization; }

  private:
    // A machine that may be released.
    struct ReleaseCandidate {
        double price = 0;
        Id machine = kNone;
        // The most expensive first.
        bool operator<(const ReleaseCandidate& other) const {
            return price != other.price ? price > other.price : machine < other.machine;
        }
    };

    // Begins a trial packing and lets `pack` pack each demand; unplaced_ becomes what is left over.
    void pack_each(const FleetMeasurement& fleet, const std::function<void(PendingDemand&)>& pack);
    // Packs all pending demand on trial.
    void pack_pending(const FleetMeasurement& fleet);
    // The same, and requests machines for what fits nowhere on the way.
    void pack_and_scale_out(Ms now, FleetMeasurement& fleet, CloudManager& cloud);
    void scale_out_by_utilization(Ms now, FleetMeasurement& fleet, CloudManager& cloud);
    bool scale_out_for_demand(Ms now, const PendingDemand& demand, FleetMeasurement& fleet,
                              CloudManager& cloud);
    bool scale_out_in_zone(Ms now, const Job& job, const ZoneShortfall& shortfall,
                           const std::vector<ScaleOutCandidate>& candidates,
                           FleetMeasurement& fleet, CloudManager& cloud);

    // Machines of that type that are registered or requested.
    static std::uint32_t machine_count(Id machine_type, const FleetMeasurement& fleet,
                                       const CloudManager& cloud);
    // Returns how many were requested, 0 if none can be now. `for_job`: a job that fits nowhere;
    // kNone: requested by the utilization.
    std::uint32_t request_machines(Ms now, const ScaleOutCandidate& candidate, std::uint32_t count,
                                   const std::string& reason, FleetMeasurement& fleet,
                                   CloudManager& cloud, Id for_job = kNone);
    // The machines were requested: later packings count on them.
    void add_bins(const ScaleOutCandidate& candidate, std::uint32_t count, FleetMeasurement& fleet);

    void scale_in(Ms now, CloudManager& cloud);
    // How many machines may be released now.
    std::uint32_t releases_due(Ms now, Ms interval) const;
    bool release_allowed(Ms now, const Machine& machine, const MachineType& machine_type,
                         bool below_low_mark) const;
    std::vector<ReleaseCandidate> release_candidates(Ms now, bool below_low_mark) const;
    void log_fleet(Ms now, const WorkerManager& workers);

    LeaderContext& context_;
    const ZoneFailoverManager& zone_failover_;
    UtilizationMeter meter_;
    TrialPacking trial_packing_;
    std::vector<PendingDemand> unplaced_;  // by the last packing
    Ms next_tick_at_ = 0;
    Ms scaled_out_at_ = -1;  // -1: not under this leader
    Ms scale_in_at_ = 0;     // when the next machine may be released
    Ms log_fleet_at_ = 0;
};

}  // namespace walkford
