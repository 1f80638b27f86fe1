// Filters and scores machines for the tasks of a job.
#pragma once

#include <compare>
#include <optional>

#include "bookkeeping/free_capacity.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/placement/class_capacity.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// How well a machine suits a task; the lowest score is tried first. Scores are compared member by
// member, in the order of declaration.
struct MachineScore {
    int failed = 0;                  // 1: tasks of this job, or recently of others, failed there
    double start_delay = 0;          // image fetch time and cost to other classes, in steps of 2 s
    int on_demand_for_spot_job = 0;  // 1: an on-demand machine, and the job may use spot
    double free_share = 0;           // of the machine's cores; the fullest machine comes first
    Id machine = kNone;
    auto operator<=>(const MachineScore&) const = default;
};

// Used by the machine picker within a placement round. Does not modify the cluster state.
class MachineScorer {
  public:
    // The references must outlive the scorer.
    MachineScorer(LeaderContext& context, const ZoneFailoverManager& zone_failover,
                  const ClassCapacity& class_capacity);

    // Called at the beginning of each placement round.
    void begin_round(Ms now) { now_ = now; }
    // Whether a task of the job may run on a machine of the group, given where its other tasks are.
    bool admits(Id job, const FreeCapacity::MachineGroup& group) const;
    // The machine's score; nullopt if no task of the job can be assigned to it now.
    std::optional<MachineScore> score(Id job, const FreeCapacity::MachineGroup& group,
                                      const FreeCapacity::MachineCapacity& capacity) const;
    // The best score that the machine can have, computed without examining its tasks and images.
    static MachineScore best_possible_score(const Job& job, const FreeCapacity::MachineGroup& group,
                                            const FreeCapacity::MachineCapacity& capacity);
    // Whether the machine would have to fetch the job's image.
    static bool must_fetch_image(const JobSpec& spec, const Machine& machine);
    // The job's priority at the beginning of this round, including aging.
    int aged_priority(Id job) const;

  private:
    double fetch_s(const JobSpec& spec, const Machine& machine) const;
    // Whether zone failover forbids the assignment: the slot is reserved for displaced work, or too
    // many images are being fetched in the zone.
    bool blocked_by_failover(Id job, const FreeCapacity::MachineGroup& group,
                             const FreeCapacity::MachineCapacity& capacity, bool must_fetch) const;
    // Whether the machine is reserved for another job, or its slots for other classes.
    bool blocked_by_reservation(Id job, const FreeCapacity::MachineGroup& group,
                                const FreeCapacity::MachineCapacity& capacity,
                                double fetch_s) const;
    // Whether the task is expected to end before the machine's reservation is ready.
    bool ends_before_reservation(const JobSpec& spec, const Machine& machine, double fetch_s) const;

    LeaderContext& context_;
    const ZoneFailoverManager& zone_failover_;
    const ClassCapacity& class_capacity_;
    Ms now_ = 0;
};

}  // namespace walkford
