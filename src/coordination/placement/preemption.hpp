// Preempts tasks in favor of jobs of higher priority, of a team within its guaranteed share, or of
// jobs that have waited long for capacity held by service replicas, which never end by themselves.
#pragma once

#include <compare>
#include <map>
#include <vector>

#include "coordination/placement/class_capacity.hpp"

namespace walkford {

// Stops a task in favor of other work. The task gets time to write a checkpoint, and the stop
// counts as a failure neither of its job nor of the machine.
void preempt_task(const ClusterState& cluster, TaskLifecycle& lifecycle, TaskRef task, Ms now);

// Preempts tasks for jobs whose own tasks are independent of each other, and decides which tasks
// may be preempted for gangs. GangReservation carries out the preemption for gangs.
class Preemption {
  public:
    // The references must outlive this object.
    Preemption(LeaderContext& context, TaskLifecycle& lifecycle,
               const ClassCapacity& class_capacity);

    // Called after each placement round. `order`: the waiting jobs in the order in which they are
    // served; `schedulable`: the machines on which tasks may be preempted. Does nothing until the
    // next tick is due.
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
        double cost = 0;  // in seconds of lost work
        TaskRef task;
        auto operator<=>(const Victim&) const = default;
    };
    // The tasks to preempt on one machine so that a task of the requesting job fits.
    struct Plan {
        Id machine = kNone;
        double cost = 0;
        std::vector<TaskRef> victims;
    };
    // The job that needs capacity, with a cache of which jobs may be preempted for it.
    struct Request {
        Id job = kNone;
        bool guaranteed = false;           // within its team's guaranteed share
        std::map<Id, bool> may_be_victim;  // cached, by job
    };

    // Whether replicas of the victim may be preempted, to run elsewhere, for a job that has waited
    // long.
    static bool may_move_replicas(Ms now, const Job& victim, const Job& job);
    // Whether the job takes precedence over the victim by priority, by its team's guaranteed share,
    // or by may_move_replicas().
    bool outranks(Ms now, const Job& job, const Job& victim, bool guaranteed) const;
    // Whether the job outranks the victim and the victim can run elsewhere.
    bool may_be_victim(Ms now, const Job& victim, const Job& job, bool guaranteed) const;

    void find_preemptible_jobs();
    // Whether the job has waited long enough to preempt others and some running job may be
    // preempted for it.
    bool needs_preemption(Ms now, Id job) const;
    // Preempts tasks on the machine where this costs least. Returns false if no machine would have
    // enough capacity.
    bool preempt_for(Ms now, Id job, const std::vector<Id>& schedulable);
    bool may_host(const Job& job, Id machine) const;
    // The tasks on the machine that may be preempted for the request, the cheapest first.
    std::vector<Victim> find_victims(Ms now, Request& request, const Machine& machine) const;
    double preemption_cost(Ms now, TaskRef task) const;
    // Selects the victims to preempt so that a task of the job fits; none if all of them would not
    // be enough.
    Plan choose_victims(const Job& job, Id machine, const std::vector<Victim>& victims) const;
    void preempt(Ms now, Id job, const Plan& plan);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    const ClassCapacity& class_capacity_;
    Ms next_tick_at_ = 0;
    std::size_t cursor_ = 0;  // index into the order of waiting jobs
    // For each class and team, the job of the lowest priority that has preemptible tasks.
    std::map<ClassAndTeam, Id> preemptible_jobs_;
};

}  // namespace walkford
