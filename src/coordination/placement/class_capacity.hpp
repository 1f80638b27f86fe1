// Free slots of each job class in the fleet, and the opportunity cost of placing a task: the slots
// that other classes lose by it.
#pragma once

#include <set>

#include "bookkeeping/free_capacity.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// Counts the free slots by job class. The counts are rebuilt at the beginning of each placement
// round and updated with each assigned task. The scorer and preemption read them.
class ClassCapacity {
  public:
    // The context must outlive this object.
    explicit ClassCapacity(LeaderContext& context) : context_(context) {}

    // Rebuilds the counts; called at the beginning of each placement round.
    void count_free_slots(Ms now, const FreeCapacity& free_capacity);
    // Updates the counts for a task that is about to be assigned to the machine. Must be called
    // before the assignment changes Machine::used.
    void account_for_assignment(const Machine& machine, const Resources& task_resources);

    // The cost to other classes of placing a task of the job on a machine with `free` resources:
    // for each class, the slots it loses there as a share of all its free slots; summed over the
    // classes.
    double opportunity_cost(const Job& job, const FreeCapacity::MachineGroup& group,
                            const Resources& free) const;
    // Whether the machine's free slots must be kept for classes that have a tighter start latency
    // objective or can run nowhere else.
    bool reserved_for_others(const Job& job, const FreeCapacity::MachineGroup& group,
                             const Resources& free) const;
    // Whether `spec` can run on some group of registered machines that `other` can't use.
    bool can_run_elsewhere(const JobSpec& spec, const JobSpec& other) const;
    // The tightest start latency objective of the job's class, in seconds; 1e18 if it has none.
    double start_objective_s(const JobSpec& spec) const;

  private:
    double tightest_objective_s(Id job_class) const;
    static double slots_in(const JobSpec& spec, const FreeCapacity& free_capacity);

    LeaderContext& context_;
    std::set<MachineGroupKey> registered_groups_;  // groups with a registered machine
    // Both are indexed like ClusterState::job_class_profiles.
    std::vector<double> free_slots_;
    std::vector<double> start_objectives_s_;
};

}  // namespace walkford
