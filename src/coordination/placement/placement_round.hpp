// The state of one placement round: the remaining free capacity, the free slots of each job class,
// and the machine scorer.
#pragma once

#include "bookkeeping/free_capacity.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/placement/class_capacity.hpp"
#include "coordination/placement/machine_scorer.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// Owned by the placer and shared with its parts. All assignments of a round are made through it.
class PlacementRound {
  public:
    // The references must outlive the round.
    PlacementRound(LeaderContext& context, ZoneFailoverManager& zone_failover);
    // The scorer refers to members of this object.
    PlacementRound(const PlacementRound&) = delete;
    PlacementRound& operator=(const PlacementRound&) = delete;

    // Begins a round on the schedulable machines.
    void begin(Ms now, const std::vector<Id>& schedulable);
    // Assigns the task to the machine, and updates the cluster state and the state of the round.
    void assign(TaskRef task, Id machine, std::uint32_t attempt, Ms now);
    // Reverts an assignment of this round, and resets the task's attempt number to `attempt`.
    void revert(TaskRef task, std::uint32_t attempt);

    // A job of the cluster state.
    const Job& job(Id id) const { return context_.cluster.jobs[id]; }
    // The free capacity that is left after the assignments of this round.
    const FreeCapacity& free_capacity() const { return free_capacity_; }
    // The free slots of the job classes in that capacity.
    const ClassCapacity& class_capacity() const { return class_capacity_; }
    // The machine scorer of this round.
    const MachineScorer& scorer() const { return scorer_; }

    // Adds to the count of examined machines, which bounds a round independently of the clock.
    void count_examined(std::size_t machines) { examined_machines_ += machines; }
    // The number of machine examinations in this round; a machine may count several times.
    std::size_t examined_machines() const { return examined_machines_; }

  private:
    LeaderContext& context_;
    ZoneFailoverManager& zone_failover_;
    FreeCapacity free_capacity_;
    ClassCapacity class_capacity_;
    MachineScorer scorer_;
    std::size_t examined_machines_ = 0;
};

}  // namespace walkford
