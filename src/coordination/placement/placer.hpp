// Gives waiting tasks a machine: by priority, then age, first fit, within team limits; a gang only
// when all of it fits at once.
#pragma once

#include "bookkeeping/free_capacity.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/class_capacity.hpp"
#include "coordination/placement/gang_reservation.hpp"
#include "coordination/placement/preemption.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

class Placer {
  public:
    Placer(LeaderContext& context, TaskLifecycle& lifecycle, ZoneFailoverManager& zone_failover)
        : context_(context),
          lifecycle_(lifecycle),
          zone_failover_(zone_failover),
          reservation_(context, lifecycle),
          classes_(context),
          preemption_(context, lifecycle, classes_) {}

    // One round, within the time budget; the next goes on where this one stopped.
    void round(Ms now, const WorkerManager& workers);

    // How many times all waiting jobs were gone through.
    std::uint64_t rounds() const { return rounds_; }

    // Its priority, raised by waiting; `since`: from when its waiting counts.
    static int aged_priority(const Job& j, Ms since, Ms now, double priority_aging_s);
    // The waiting jobs in the order in which they are served.
    static std::vector<Id> waiting_order(const ClusterState& cluster, Ms now,
                                         double priority_aging_s,
                                         const ZoneFailoverManager& zone_failover);

  private:
    using Score = std::tuple<int, double, int, double, Id>;
    // The machines in the order in which tasks of one job try them. Looked at closely only as they
    // come up: what a machine's place costs can but rise while others are filled, so an early
    // guess that is too good is put right when its turn comes.
    class Picker {
      public:
        Picker(const Placer& placer, Id job, Id zone_only);
        Id next();      // the first machine that fits; kNone if none does
        void placed();  // a task went there

      private:
        struct Entry {
            Score score;
            std::uint32_t machine_group;
            std::uint32_t machine;
            bool operator<(const Entry& o) const { return o.score < score; }  // the least on top
        };
        std::optional<Score> put_right();
        const Placer& placer_;
        Id job_;
        std::vector<Entry> heap_;
    };

    // `usable`: the machines that room may be gathered on.
    void place_job(Ms now, Id job, const std::vector<Id>& schedulable);
    std::uint32_t place_batch(Ms now, Id job);
    void replace_members(Ms now, Id job);
    bool place_gang(Ms now, Id job);
    void put(TaskRef ref, Id machine, std::uint32_t attempt, Ms now);
    // May a task of the job go there, as the job's other tasks stand; and how good a place it is.
    bool admits(Id job, const FreeCapacity::MachineGroup& machine_group) const;
    std::optional<Score> score(Id job, const FreeCapacity::MachineGroup& machine_group,
                               const FreeCapacity::MachineCapacity& capacity) const;
    // How many tasks of the gang the zone (kNone: any) has room for; no further than it has tasks.
    std::uint32_t places(Id job, Id zone) const;
    // What zone failover says of it: the place is kept for others, or too many images are fetched.
    bool blocked_by_failover(Id job, const FreeCapacity::MachineGroup& machine_group,
                             const FreeCapacity::MachineCapacity& capacity, bool cold) const;
    int aged_priority(Id job) const;
    // The best that a place can be, known without a look at the machine's tasks and images.
    static Score least_score(const Job& job, const FreeCapacity::MachineGroup& machine_group,
                             const FreeCapacity::MachineCapacity& capacity);
    // Would the task be over before the room that is gathered there is complete?
    bool over_in_time(const JobSpec& s, const Machine& m, double fetch_s) const;

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    ZoneFailoverManager& zone_failover_;
    GangReservation reservation_;
    ClassCapacity classes_;
    Preemption preemption_;
    Ms now_ = 0;
    Ms next_ = 0;
    Ms last_round_at_ = -1000000;  // the last round
    std::uint64_t rounds_ = 0;
    FreeCapacity free_capacity_;
    mutable std::size_t looked_ = 0;  // work done by this round
    std::vector<Id> order_;
    std::size_t cursor_ = 0;
    // Teams at their limit, this time round: the priority of who waits for it, by resource.
    struct Blocked {
        int cpus = -1;
        int gpus = -1;
    };
    std::map<Id, Blocked> blocked_;
    std::uint32_t reserving_ = 0;
};

}  // namespace walkford
