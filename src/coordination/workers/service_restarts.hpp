// Restarts the replicas of services that exit.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// A service never completes: a replica that exits is restarted. One that repeatedly exits soon
// after its start is restarted with exponential backoff.
class ServiceRestarts {
  public:
    // Both must outlive this object.
    ServiceRestarts(LeaderContext& context, TaskLifecycle& lifecycle);

    // Queues a replica again that has exited without an error.
    void replica_exited(Ms now, TaskRef ref, const ReportedTask& reported);

    // Whether the task has been running long enough to count as started successfully.
    static bool ran_well(const Task& task, Ms now);

  private:
    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
};

}  // namespace walkford
