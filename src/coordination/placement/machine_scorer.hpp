// Filters and scores machines for the tasks of a job.
#pragma once

#include <compare>
#include <optional>

#include "bookkeeping/free_capacity.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/placement/class_capacity.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// How good a machine is for a task; the least is tried first. The members stand in the order in
// which they count.
struct MachineScore {
    int failed = 0;          // 1: this job, or others lately, failed there
    double start_delay = 0;  // time to start and cost to other classes, in steps of two seconds
    int forgoes_spot = 0;    // 1: an on-demand machine, for a job that may use spot instances
    double free_share = 0;   // of its cores: the fullest machine first
    Id machine = kNone;
    auto operator<=>(const MachineScore&) const = default;
};

// Used by the machine picker, within one round of placement. Changes nothing.
class MachineScorer {
  public:
    // The references must outlive the scorer.
    MachineScorer(LeaderContext& context, const ZoneFailoverManager& zone_failover,
                  const ClassCapacity& class_capacity);

    // A round of placement begins.
    void begin_round(Ms now) { now_ = now; }
    // Whether a task of the job may go to a machine of the group, as its other tasks stand.
    bool admits(Id job, const FreeCapacity::MachineGroup& group) const;
    // The machine's score; nothing where no task of the job can go there now.
    std::optional<MachineScore> score(Id job, const FreeCapacity::MachineGroup& group,
                                      const FreeCapacity::MachineCapacity& capacity) const;
    // The best score that the machine can have, known without a look at its tasks and images.
    static MachineScore best_possible_score(const Job& job, const FreeCapacity::MachineGroup& group,
                                            const FreeCapacity::MachineCapacity& capacity);
    // The machine would have to fetch the job's image.
    static bool must_fetch_image(const JobSpec& spec, const Machine& machine);
    // The job's priority, raised by waiting, as of this round.
    int aged_priority(Id job) const;

  private:
    double fetch_s(const JobSpec& spec, const Machine& machine) const;
    // Zone failover forbids it: the slot is reserved for displaced work, or too many images are
    // being fetched in the zone.
    bool blocked_by_failover(Id job, const FreeCapacity::MachineGroup& group,
                             const FreeCapacity::MachineCapacity& capacity, bool must_fetch) const;
    // The machine is reserved for another job, or its slots for other classes.
    bool blocked_by_reservation(Id job, const FreeCapacity::MachineGroup& group,
                                const FreeCapacity::MachineCapacity& capacity,
                                double fetch_s) const;
    // The task would be over before the reservation of the machine is complete.
    bool over_before_reservation(const JobSpec& spec, const Machine& machine, double fetch_s) const;

    LeaderContext& context_;
    const ZoneFailoverManager& zone_failover_;
    const ClassCapacity& class_capacity_;
    Ms now_ = 0;
};

}  // namespace walkford
