// Gathers room for a gang that fits nowhere at once: picks the zone where it will fit soonest, by
// when the tasks there should end, and keeps its machines from others. Without it small tasks take
// every place that frees up, and a gang of eight waits for ever.
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

class GangReservation {
  public:
    GangReservation(LeaderContext& context, TaskLifecycle& lifecycle)
        : context_(context), lifecycle_(lifecycle) {}

    // Says whether a task may be stopped to make room for a job.
    using MayPreempt = std::function<bool(const Job& victim, const Job& job)>;

    // Keeps machines for the gang and, where that is much sooner and allowed, stops tasks there.
    // False when the machines there are could never hold it.
    bool reserve(Ms now, Id job, const std::vector<Id>& schedulable, const MayPreempt& may_preempt);
    void release(Id job);
    // When the task should be over, by its owner's estimate.
    Ms expected_end(TaskRef ref, Ms now) const;

  private:
    struct Slot {
        Ms at = 0;
        Id machine = kNone;
        bool operator<(const Slot& o) const {
            return std::tie(at, machine) < std::tie(o.at, o.machine);
        }
    };
    struct Plan {
        Ms ready = 0;
        std::vector<Slot> slots;
    };
    // The soonest way to so many places in the zone (kNone: anywhere); nothing if there are too
    // few.
    std::optional<Plan> plan(Ms now, Id job, Id zone, const std::vector<Id>& schedulable,
                             const MayPreempt* may_preempt) const;
    void preempt_victims(Ms now, Id job, const Plan& plan, const MayPreempt& may_preempt);
    // The tasks on a machine by when they are, or could be made, gone.
    std::vector<std::pair<Ms, TaskRef>> ends(Ms now, Id job, Id machine,
                                             const MayPreempt* may_preempt) const;

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    Ms stopped_at_ = -1000000;
    mutable std::size_t looked_ = 0;  // work done by a plan
};

}  // namespace walkford
