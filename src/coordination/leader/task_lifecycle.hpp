// Handles tasks that must be stopped or that were lost: stops them, requeues them, or restarts the
// gang they belong to.
#pragma once

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// All subsystems stop tasks and report lost tasks through this class. It changes only the cluster
// state. WorkerManager sends the resulting commands with the answer to the worker's next heartbeat,
// and PlacementWriter writes the changed records to the store.
class TaskLifecycle {
  public:
    // How long a gang that has not begun may take to replace lost members. This is well below the
    // time that a gang waits for its last member.
    static constexpr Ms kReplacementTimeout = 8000;

    // The context must outlive this object.
    explicit TaskLifecycle(LeaderContext& context) : context_(context) {}

    // Requeues a task that is proven to be gone from its machine without a result. If it belongs to
    // a gang that had begun (`began` is set, or a member is known to be running, stopping or done),
    // the whole gang is stopped and restarted. `reason` is logged. Does nothing if the task is not
    // on a machine.
    void task_lost(TaskRef ref, Ms now, const char* reason, bool began = false);

    // Whether no task of the job is known to be running, stopping or done.
    bool no_task_begun(Id job_id) const;

    // Handles every task on the machine as task_lost() does: all are proven to be gone from it.
    void requeue_machine_tasks(Id machine_id, Ms now, const char* reason);

    // Stops a task, or the whole job if its tasks start together. A task whose start command was
    // never sent is requeued at once. `grace` is in seconds; if a stop is requested several times,
    // the shortest grace period applies. `failure_not_counted` means that a failure of the stopped
    // task counts neither against its job nor against its machine.
    void stop(TaskRef ref, double grace, Ms now, bool failure_not_counted);

    // Stops every task of the job that is on a machine, in the same way.
    void stop_job(Id job_id, double grace, Ms now, bool failure_not_counted);

  private:
    LeaderContext& context_;
};

}  // namespace walkford
