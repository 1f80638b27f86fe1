// Replicas of services that exit, and when they run again.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// A service has no end of its own: a replica that exits is restarted. One that exits again and
// again soon after its start is restarted with exponential backoff.
class ServiceRestarts {
  public:
    // Both must outlive this object.
    ServiceRestarts(LeaderContext& context, TaskLifecycle& lifecycle);

    // A replica is reported as exited without an error: queues it again.
    void replica_exited(Ms now, TaskRef ref, const ReportedTask& reported);

    // The task has been running for so long that its start was a success.
    static bool ran_well(const Task& task, Ms now);

  private:
    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
};

}  // namespace walkford
