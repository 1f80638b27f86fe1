// How much room each class of jobs has left in the fleet, and what placing a task takes from
// others.
#pragma once

#include <set>

#include "bookkeeping/free_capacity.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

class ClassCapacity {
  public:
    explicit ClassCapacity(LeaderContext& context) : context_(context) {}

    // Counts anew, at the beginning of a round of placing.
    void count(Ms now, const FreeCapacity& free_capacity);
    // A task is being placed on the machine.
    void take(const Machine& machine, const Resources& each);

    // What placing a task there takes away from classes that could use the room: slots lost, as a
    // share of all the slots such a class has left.
    double opportunity_cost(const Job& job, const FreeCapacity::MachineGroup& machine_group,
                            const Resources& free) const;
    // Must the machine be left to classes with a tighter aim on starting?
    bool reserved_for_others(const Job& job, const FreeCapacity::MachineGroup& machine_group,
                             const Resources& free) const;
    // Can this class run on a kind of machine held that the other can't use?
    bool elsewhere(const JobSpec& one, const JobSpec& other) const;
    double start_objective_s(
        const JobSpec& spec) const;  // its class's tightest aim on starting, in seconds

  private:
    LeaderContext& context_;
    std::set<std::tuple<Id, Id, bool>> registered_groups_;  // kind, zone, spot of the machines held
    // By cluster.shapes: free slots in the fleet, and the tightest aim on starting.
    std::vector<double> free_slots_;
    std::vector<double> start_objectives_s_;
};

}  // namespace walkford
