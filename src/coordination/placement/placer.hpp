// Assigns waiting tasks to machines. Jobs are served in the order of waiting_order(), within their
// teams' quotas, and each task gets the best machine that fits. A gang is placed only when all its
// members fit at once.
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

// Runs the placement rounds of the leader. It assigns tasks in the cluster state only; the
// placement writer makes the assignments durable, and only then are the tasks sent to the workers.
class Placer {
  public:
    // The references must outlive the placer.
    Placer(LeaderContext& context, TaskLifecycle& lifecycle, ZoneFailoverManager& zone_failover);

    // Called by the leader at every step. Runs one round within the time budget, if a round is due.
    // The next round continues with the job at which this one stopped.
    void round(Ms now, const WorkerManager& workers);

    // The number of completed passes over all waiting jobs.
    std::uint64_t completed_passes() const { return passes_; }

  private:
    // For a team at its quota: the highest priority of a job that waits for more quota of each
    // resource; -1 if none does.
    struct QuotaBlock {
        int cpus = -1;
        int gpus = -1;
    };

    bool round_due(Ms now);
    std::vector<Id> schedulable_machines(Ms now, const WorkerManager& workers) const;
    void expire_reservations(Ms now);
    // Starts a new pass over the jobs that wait now.
    void begin_pass(Ms now);
    // `schedulable`: the machines that may be reserved and on which tasks may be preempted.
    void place_waiting_jobs(Ms now, const std::vector<Id>& schedulable);
    void place_job(Ms now, Id job, const std::vector<Id>& schedulable);
    // Whether the team's quota keeps the job from starting: it is used up, or a job of the team
    // that is served earlier waits for it.
    bool blocked_by_quota(Id job);
    // Places the tasks of an array or a service, which are independent of each other.
    void place_tasks(Ms now, Id job);
    void reserve_for_gang(Ms now, Id job, const std::vector<Id>& schedulable);

    LeaderContext& context_;
    ZoneFailoverManager& zone_failover_;
    PlacementRound round_;
    GangReservation reservation_;
    GangPlacement gang_placement_;
    Preemption preemption_;
    Ms next_round_at_ = 0;
    Ms last_round_at_ = -1000000;  // initially before any round
    // A pass covers all jobs that waited at its beginning once, in one round or several.
    std::uint64_t passes_ = 0;
    std::vector<Id> order_;
    std::size_t cursor_ = 0;                 // index into order_
    std::map<Id, QuotaBlock> quota_blocks_;  // by team; for this pass
    std::uint32_t reserving_gangs_ = 0;      // in this pass
};

}  // namespace walkford
