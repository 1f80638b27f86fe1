// Preempts tasks to make room for work of higher priority, for a team within its guaranteed share,
// or for work that has waited long beside replicas that never end.
#pragma once

#include <compare>
#include <map>
#include <vector>

#include "coordination/placement/class_capacity.hpp"

namespace walkford {

// Stops a task to make room for other work: it gets the time to write its checkpoint, and the stop
// counts neither against its job nor against the machine.
void preempt_task(const ClusterState& cluster, TaskLifecycle& lifecycle, TaskRef task, Ms now);

// Makes room for jobs of independent tasks, and says what may be preempted for gangs (which reserve
// machines by GangReservation).
class Preemption {
  public:
    // The references must outlive this.
    Preemption(LeaderContext& context, TaskLifecycle& lifecycle,
               const ClassCapacity& class_capacity);

    // Called after each round of placement, with the waiting jobs in their order and the machines
    // that may be preempted on; does nothing until the next tick is due.
    void tick(Ms now, const std::vector<Id>& order, const std::vector<Id>& schedulable);
    // Whether a task of `victim` may be preempted for the gang `job`.
    bool may_preempt(Ms now, const Job& victim, const Job& job) const;

  private:
    struct ClassAndTeam {
        Id job_class = kNone;
        Id team = kNone;
        auto operator<=>(const ClassAndTeam&) const = default;
    };
    struct Victim {
        double cost = 0;  // seconds of work lost
        TaskRef task;
        auto operator<=>(const Victim&) const = default;
    };
    // Tasks whose end makes room on one machine.
    struct Choice {
        Id machine = kNone;
        double cost = 0;
        std::vector<TaskRef> victims;
    };
    // The job that room is made for, and what was found out about others on its behalf.
    struct Request {
        Id job = kNone;
        bool guaranteed = false;           // it lies within its team's guaranteed share
        std::map<Id, bool> may_be_victim;  // by job
    };

    // A replica of the victim may be moved for the job.
    static bool may_move(Ms now, const Job& victim, const Job& job);
    // The job goes before the victim, by priority or by its team's guaranteed share.
    bool outranks(Ms now, const Job& job, const Job& victim, bool guaranteed) const;
    // The victim's work may make room for the job, and can run elsewhere.
    bool may_be_victim(Ms now, const Job& victim, const Job& job, bool guaranteed) const;

    void find_running_jobs();
    // The job waits, has waited long enough, and some running job could make room for it.
    bool wants_room(Ms now, Id job) const;
    // Preempts tasks on the machine where that costs least; false if it helps nowhere.
    bool make_room(Ms now, Id job, const std::vector<Id>& schedulable);
    bool may_host(const Job& job, Id machine) const;
    // The tasks on the machine that may be preempted, the cheapest first.
    std::vector<Victim> find_victims(Ms now, Request& request, const Machine& machine) const;
    double preemption_cost(Ms now, TaskRef task) const;
    // The victims that have to go for a task of the job; none if that isn't enough.
    Choice choose_victims(const Job& job, Id machine, const std::vector<Victim>& victims) const;
    void preempt(Ms now, Id job, const Choice& choice);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    const ClassCapacity& class_capacity_;
    Ms next_tick_at_ = 0;
    std::size_t cursor_ = 0;  // into the order of waiting jobs
    // One job of each class and team with tasks that could be preempted, of the lowest priority.
    std::map<ClassAndTeam, Id> running_jobs_;
};

}  // namespace walkford
