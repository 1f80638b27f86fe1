// Gives waiting tasks a machine: by priority, then age, the best machine that fits, within the
// teams' quotas; a gang only when all of it fits at once.
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/gang_placement.hpp"
#include "coordination/placement/gang_reservation.hpp"
#include "coordination/placement/placement_round.hpp"
#include "coordination/placement/preemption.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// Runs the rounds of placement for the leader. Assigns tasks in the cluster state only; the writer
// makes that durable, and the workers are sent their tasks after that.
class Placer {
  public:
    // The references must outlive the placer.
    Placer(LeaderContext& context, TaskLifecycle& lifecycle, ZoneFailoverManager& zone_failover);

    // Called by the leader at every step: one round, if it is due, within the time budget; the next
    // goes on where this one stopped.
    void round(Ms now, const WorkerManager& workers);

    // How many times all waiting jobs were gone through.
    std::uint64_t rounds() const { return passes_; }

  private:
    // A team at its quota: the highest priority that waits for more of each resource, -1 for none.
    struct QuotaBlock {
        int cpus = -1;
        int gpus = -1;
    };

    bool round_due(Ms now);
    std::vector<Id> schedulable_machines(Ms now, const WorkerManager& workers) const;
    void expire_reservations(Ms now);
    // Starts over with the jobs that wait now.
    void begin_pass(Ms now);
    // `schedulable`: the machines that may be reserved, and preempted on.
    void place_waiting_jobs(Ms now, const std::vector<Id>& schedulable);
    void place_job(Ms now, Id job, const std::vector<Id>& schedulable);
    // The team's quota keeps the job from starting, or one of the team that is served before it.
    bool blocked_by_quota(Id job);
    // Places independent tasks: of an array or a service.
    void place_tasks(Ms now, Id job);
    void reserve_for_gang(Ms now, Id job, const std::vector<Id>& schedulable);

    LeaderContext& context_;
    ZoneFailoverManager& zone_failover_;
    PlacementRound round_;
    GangReservation reservation_;
    GangPlacement gang_placement_;
    Preemption preemption_;
    Ms next_round_at_ = 0;
    Ms last_round_at_ = -1000000;  // long ago
    // A pass goes once through all jobs that waited at its beginning, in one round or several.
    std::uint64_t passes_ = 0;
    std::vector<Id> order_;
    std::size_t cursor_ = 0;                 // into order_
    std::map<Id, QuotaBlock> quota_blocks_;  // by team, in this pass
    std::uint32_t reserving_gangs_ = 0;      // in this pass
};

}  // namespace walkford
