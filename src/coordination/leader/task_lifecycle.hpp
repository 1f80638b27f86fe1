// What happens to a task that is stopped or lost: it is stopped, queued again, or its gang is
// restarted.
#pragma once

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// The one place that stops tasks and handles their loss, whichever subsystem finds it out. Changes
// only the cluster state: commands reach the worker with its next heartbeat (WorkerManager),
// records the store with the next write (PlacementWriter).
class TaskLifecycle {
  public:
    // Gang members lost before their gang began are replaced within this time; it is well within
    // the time that a gang waits for its last member.
    static constexpr Ms kReplaceFor = 8000;

    // The context must outlive this object.
    explicit TaskLifecycle(LeaderContext& context) : context_(context) {}

    // The task is proven gone from its machine without a result: queues it again. If it belongs to
    // a gang that had begun (`began`, or a member is known to run or stop), the whole gang is
    // stopped and restarted. `why` is logged. Does nothing for a task that is on no machine.
    void task_lost(TaskRef ref, Ms now, const char* why, bool began = false);

    // Whether no task of the job is known to run, to be stopped or to be done.
    bool unbegun(Id job_id) const;

    // Every task on the machine is proven gone from it.
    void machine_emptied(Id machine_id, Ms now, const char* why);

    // Stops a task, or the whole job where its tasks start together. A task whose start was never
    // sent is gone at once. `grace` is in seconds; of several requests the shortest counts.
    // `failure_not_counted`: how the task ends says nothing about its job or its machine.
    void stop(TaskRef ref, double grace, Ms now, bool failure_not_counted);

    // The same for every task of a job that is on a machine.
    void stop_job(Id job_id, double grace, Ms now, bool failure_not_counted);

  private:
    LeaderContext& context_;
};

}  // namespace walkford
