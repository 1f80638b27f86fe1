// What happens to a task that stops or is lost: it is stopped, queued again, or its gang restarted.
#pragma once

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Takes what went wrong with a task, in one place for all who find it out.
class TaskLifecycle {
  public:
    // Members lost before their gang began are replaced within this; it is well within the time
    // that a gang waits for its last one.
    static constexpr Ms kReplaceFor = 8000;

    explicit TaskLifecycle(LeaderContext& context) : context_(context) {}
    // The task is proven gone without a result.
    // `began`: if it is of a gang, that had begun.
    void task_lost(TaskRef ref, Ms now, const char* why, bool began = false);
    // No member of the gang is known to run or to be stopped.
    bool unbegun(Id job) const;
    // Everything on the machine is proven gone.
    void machine_emptied(Id machine, Ms now, const char* why);
    // Stops a task; one whose start was never sent is gone at once.
    void stop(TaskRef ref, double grace, Ms now, bool failure_not_counted);
    void stop_job(Id job, double grace, Ms now, bool failure_not_counted);

  private:
    LeaderContext& context_;
};

}  // namespace walkford
