// Stops work to make room for work of higher priority, for a team within its guarantee, or for work
// that has waited long beside replicas that never end.
#pragma once

#include "coordination/placement/class_capacity.hpp"

namespace walkford {

class Preemption {
  public:
    Preemption(LeaderContext& context, TaskLifecycle& lifecycle, const ClassCapacity& classes)
        : context_(context), lifecycle_(lifecycle), classes_(classes) {}

    void tick(Ms now, const std::vector<Id>& order, const std::vector<Id>& schedulable);
    // May this work be stopped to make room for that job's gang?
    bool may_preempt(Ms now, const Job& victim, const Job& job) const;

  private:
    static bool may_move(Ms now, const Job& victim, const Job& job);
    bool preemptible(Ms now, const Job& victim, const Job& job, bool guaranteed) const;
    bool make_room(Ms now, Id job, const std::vector<Id>& schedulable);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    const ClassCapacity& classes_;
    Ms next_ = 0;
    std::size_t cursor_ = 0;
    std::map<std::pair<Id, Id>, Id> running_;  // class and team -> a job that could be stopped
};

}  // namespace walkford
