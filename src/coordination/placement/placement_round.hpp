// What one round of placement works on: the free capacity as it is filled, what the job classes
// have left of it, and the scores of machines.
#pragma once

#include "bookkeeping/free_capacity.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/placement/class_capacity.hpp"
#include "coordination/placement/machine_scorer.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// Owned by the placer and shared with its parts. Everything that a round assigns goes through it.
class PlacementRound {
  public:
    // The references must outlive the round.
    PlacementRound(LeaderContext& context, ZoneFailoverManager& zone_failover);
    // The scorer refers to members of this object.
    PlacementRound(const PlacementRound&) = delete;
    PlacementRound& operator=(const PlacementRound&) = delete;

    // Begins a round with the machines named.
    void begin(Ms now, const std::vector<Id>& schedulable);
    // Assigns the task to the machine, in the cluster state and in what the round knows of it.
    void assign(TaskRef task, Id machine, std::uint32_t attempt, Ms now);
    // Takes back an assignment of this round; the task has used `attempt` attempts.
    void revert(TaskRef task, std::uint32_t attempt);

    // A job of the cluster state.
    const Job& job(Id id) const { return context_.cluster.jobs[id]; }
    // What the machines have free, after what was assigned in this round.
    const FreeCapacity& free_capacity() const { return free_capacity_; }
    // What the job classes have left of it.
    const ClassCapacity& class_capacity() const { return class_capacity_; }
    // Filters and scores machines as of this round.
    const MachineScorer& scorer() const { return scorer_; }

    // Counts work done, which bounds a round where no clock is to decide.
    void count_examined(std::size_t machines) { examined_machines_ += machines; }
    // How many times a machine was examined in this round.
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
