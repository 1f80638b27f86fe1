// Reserves machines for a gang that can't be placed at once. From the expected ends of the running
// tasks it finds the zone where the gang will fit soonest, and keeps other jobs off the machines it
// needs there. Without reservations, small tasks take every slot that becomes free, and a gang of
// eight never starts.
#pragma once

#include <compare>
#include <functional>
#include <optional>
#include <vector>

#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// Plans and sets the reservations (Machine::reservation). A reservation expires unless a later
// placement round renews it.
class GangReservation {
  public:
    // The references must outlive this object.
    GangReservation(LeaderContext& context, TaskLifecycle& lifecycle);

    // Returns whether a task of `victim` may be preempted for `job`.
    using MayPreempt = std::function<bool(const Job& victim, const Job& job)>;

    // Reserves machines for the gang. Also preempts tasks on them if this is allowed and lets the
    // gang start much sooner. Returns whether machines are reserved; false means that the
    // schedulable machines have too few slots for the gang, even after their tasks have ended.
    bool reserve(Ms now, Id job, const std::vector<Id>& schedulable, const MayPreempt& may_preempt);
    // Releases all reservations of the job.
    void release(Id job);
    // The time at which the task is expected to end, from the run time estimate of its owner.
    Ms expected_end(TaskRef ref, Ms now) const;

  private:
    // A slot for one gang member, free from `at` on.
    struct Slot {
        Ms at = 0;
        Id machine = kNone;
        auto operator<=>(const Slot&) const = default;
    };
    // Slots for all members of the gang.
    struct Plan {
        Ms ready_at = 0;  // when the last slot becomes free
        std::vector<Slot> slots;
    };
    // When a task leaves its machine, by itself or, where that is allowed, by preemption.
    struct TaskEnd {
        Ms at = 0;
        TaskRef task;
        auto operator<=>(const TaskEnd&) const = default;
    };

    // The plan that is ready first, over all zones that the gang may be placed in. With a null
    // `may_preempt` the plan assumes no preemption.
    std::optional<Plan> best_plan(Ms now, Id job, const std::vector<Id>& schedulable,
                                  const MayPreempt* may_preempt) const;
    // A plan of the earliest slots in the zone (kNone: in any zones); nullopt if there are too few.
    std::optional<Plan> plan_zone(Ms now, Id job, Id zone, const std::vector<Id>& schedulable,
                                  const MayPreempt* may_preempt) const;
    bool may_host(const Machine& machine, Id machine_id, Id job, Id zone) const;
    // Appends the machine's slots for members to `slots`, each with the time when it becomes free.
    void add_slots(Ms now, Id job, Id machine, const MayPreempt* may_preempt,
                   std::vector<Slot>& slots) const;
    // Chooses the earliest slots for all members, with at most spec.max_tasks_per_zone() in a zone;
    // nullopt if there are too few. Sorts `slots`.
    std::optional<Plan> choose_slots(const JobSpec& spec, std::vector<Slot>& slots) const;
    // The tasks on the machine, ordered by when they end.
    std::vector<TaskEnd> task_ends(Ms now, Id job, Id machine, const MayPreempt* may_preempt) const;
    // The zone of a machine that is reserved for the job; kNone if there is none.
    Id reserved_zone(Id job, const std::vector<Id>& schedulable) const;
    bool may_preempt_now(Ms now, const Job& job) const;
    void reserve_machines(Ms now, Id job, const Plan& plan);
    void preempt_victims(Ms now, Id job, const Plan& plan, const MayPreempt& may_preempt);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    Ms preempted_at_ = -1000000;              // initially before any preemption
    mutable std::size_t examined_tasks_ = 0;  // tasks and machines, for one gang's plans
};

}  // namespace walkford
