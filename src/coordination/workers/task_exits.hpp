// What follows from a task that its worker reports as exited.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/failure_attribution.hpp"
#include "coordination/workers/service_restarts.hpp"

namespace walkford {

// Marks tasks done, queues them again, and delays jobs and machines by the cause of the exit.
class TaskExits {
  public:
    // Both must outlive this object.
    TaskExits(LeaderContext& context, TaskLifecycle& lifecycle);

    // The current attempt of the task has exited on its machine.
    void task_exited(Ms now, TaskRef ref, const ReportedTask& reported);

  private:
    void task_completed(TaskRef ref, const ReportedTask& reported);
    // Whether the exit means that its gang has not assembled yet, and not that it has ended.
    bool waits_for_gang(TaskRef ref, const ReportedTask& reported) const;
    static void rerun_in_place(Ms now, Task& task);
    void back_off(Ms now, TaskRef ref, const ReportedTask& reported);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    ServiceRestarts service_restarts_;
    FailureAttribution failure_attribution_;
};

}  // namespace walkford
