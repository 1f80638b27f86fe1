// Handles tasks that their workers report as exited.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/failure_attribution.hpp"
#include "coordination/workers/service_restarts.hpp"

namespace walkford {

// Marks tasks done or queues them again, and delays jobs and machines depending on the exit cause.
class TaskExits {
  public:
    // Both must outlive this object.
    TaskExits(LeaderContext& context, TaskLifecycle& lifecycle);

    // Handles the exit of the current attempt of a task on its machine.
    void task_exited(Ms now, TaskRef ref, const ReportedTask& reported);

  private:
    void task_completed(TaskRef ref, const ReportedTask& reported);
    // Whether the task exited only because its gang is not complete yet, and may wait again.
    bool waits_for_gang(TaskRef ref, const ReportedTask& reported) const;
    static void rerun_in_place(Ms now, Task& task);
    void back_off(Ms now, TaskRef ref, const ReportedTask& reported);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    ServiceRestarts service_restarts_;
    FailureAttribution failure_attribution_;
};

}  // namespace walkford
