// Decides whether a failed task counts against its job or against its machine.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// A faulty job fails on every machine. Its failures are attributed to the job once two machines
// that it failed on have completed tasks of other jobs since. Until then a failure is attributed to
// the machine, and a machine on which two jobs fail, without a task completed in between, is
// quarantined. It is not enough that the job has failed on two machines: with one machine in six
// faulty every gang had failed on two, and no faulty machine was ever quarantined.
class FailureAttribution {
  public:
    // Both must outlive this object.
    FailureAttribution(LeaderContext& context, TaskLifecycle& lifecycle);

    // Handles a task that exited with an error: delays its job or the machine, and may quarantine
    // the machine, whose other tasks are then stopped.
    void task_failed(Ms now, TaskRef ref, Id machine_id);

    // Handles a task that completed: clears the failures that count against the machine, and
    // exonerates the machine from the failures of other jobs.
    void task_completed(Id job_id, Id machine_id);

  private:
    // Whether tasks of the job have shown that the job itself is not faulty.
    static bool known_good(Ms now, const Job& job);
    void attribute_to_job(Ms now, Id job_id);
    void attribute_to_machine(Ms now, Id job_id, Machine& machine);
    void quarantine(Ms now, Machine& machine, TaskRef failed);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
};

}  // namespace walkford
