// How many free slots each class of jobs has left in the fleet, and what placing a task takes from
// other classes.
#pragma once

#include <set>

#include "bookkeeping/free_capacity.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// Counts the free slots by job class. Recounted at the beginning of a round of placement, kept up
// to date with each task placed; read by the scorer and by preemption.
class ClassCapacity {
  public:
    // The context must outlive this.
    explicit ClassCapacity(LeaderContext& context) : context_(context) {}

    // Counts anew, at the beginning of a round of placement.
    void count_free_slots(Ms now, const FreeCapacity& free_capacity);
    // A task of this size is about to be assigned to the machine.
    void task_placed(const Machine& machine, const Resources& each);

    // What placing a task there takes away from classes that could use the machine: slots lost, as
    // a share of all the free slots that such a class has left; summed over the classes.
    double opportunity_cost(const Job& job, const FreeCapacity::MachineGroup& group,
                            const Resources& free) const;
    // Whether the machine must be left to classes with a tighter start objective, or with nowhere
    // else to go.
    bool reserved_for_others(const Job& job, const FreeCapacity::MachineGroup& group,
                             const Resources& free) const;
    // Whether `spec` can run on some group of registered machines that `other` can't use.
    bool can_run_elsewhere(const JobSpec& spec, const JobSpec& other) const;
    // The tightest objective on the start latency of the job's class, in seconds; huge if none.
    double start_objective_s(const JobSpec& spec) const;

  private:
    double tightest_objective_s(Id job_class) const;
    static double slots_in(const JobSpec& spec, const FreeCapacity& free_capacity);

    LeaderContext& context_;
    std::set<MachineGroupKey> registered_groups_;  // of the registered machines
    // Both by index in ClusterState::job_class_profiles.
    std::vector<double> free_slots_;
    std::vector<double> start_objectives_s_;
};

}  // namespace walkford
