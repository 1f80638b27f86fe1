// Reserves machines for a gang that fits nowhere at once: picks the zone where it will fit soonest,
// by when the tasks there should end, and keeps its machines from others. Without that, small tasks
// take every slot that frees up, and a gang of eight waits for ever.
#pragma once

#include <compare>
#include <functional>
#include <optional>
#include <vector>

#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// Plans and keeps the reservations (Machine::reservation); they run out unless they are renewed in
// the next rounds of placement.
class GangReservation {
  public:
    // The references must outlive this.
    GangReservation(LeaderContext& context, TaskLifecycle& lifecycle);

    // Says whether a task of `victim` may be preempted for `job`.
    using MayPreempt = std::function<bool(const Job& victim, const Job& job)>;

    // Reserves machines for the gang and, where that is much sooner and allowed, preempts tasks
    // there. False when the machines could never hold it.
    bool reserve(Ms now, Id job, const std::vector<Id>& schedulable, const MayPreempt& may_preempt);
    // Gives up what is reserved for the job.
    void release(Id job);
    // When the task should be over, by its owner's estimate.
    Ms expected_end(TaskRef ref, Ms now) const;

  private:
    // Room for one member, from `at` on.
    struct Slot {
        Ms at = 0;
        Id machine = kNone;
        auto operator<=>(const Slot&) const = default;
    };
    // Slots for all members.
    struct Plan {
        Ms ready_at = 0;  // when the last of them is free
        std::vector<Slot> slots;
    };
    // When a task is, or could be made, gone from its machine.
    struct TaskEnd {
        Ms at = 0;
        TaskRef task;
        auto operator<=>(const TaskEnd&) const = default;
    };

    // The earliest plan over the zones that the gang may be placed in. `may_preempt`: nullptr for a
    // plan without preemption.
    std::optional<Plan> best_plan(Ms now, Id job, const std::vector<Id>& schedulable,
                                  const MayPreempt* may_preempt) const;
    // The earliest slots in the zone (kNone: anywhere); nothing if there are too few.
    std::optional<Plan> plan_zone(Ms now, Id job, Id zone, const std::vector<Id>& schedulable,
                                  const MayPreempt* may_preempt) const;
    bool may_host(const Machine& machine, Id machine_id, Id job, Id zone) const;
    // Adds the machine's slots for members, each from when it is free.
    void add_slots(Ms now, Id job, Id machine, const MayPreempt* may_preempt,
                   std::vector<Slot>& slots) const;
    // The earliest slots for all members, with no more in a zone than the job allows.
    std::optional<Plan> choose_slots(const JobSpec& spec, std::vector<Slot>& slots) const;
    // The tasks on the machine by when they end.
    std::vector<TaskEnd> task_ends(Ms now, Id job, Id machine, const MayPreempt* may_preempt) const;
    // The zone of the machines that are reserved for the job; kNone if there are none.
    Id reserved_zone(Id job, const std::vector<Id>& schedulable) const;
    bool may_preempt_now(Ms now, const Job& job) const;
    void reserve_machines(Ms now, Id job, const Plan& plan);
    void preempt_victims(Ms now, Id job, const Plan& plan, const MayPreempt& may_preempt);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    Ms preempted_at_ = -1000000;              // long ago
    mutable std::size_t examined_tasks_ = 0;  // by the plans for one gang, and machines with them
};

}  // namespace walkford
