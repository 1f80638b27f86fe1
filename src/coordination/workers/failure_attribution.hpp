// Whether a failed task speaks against its job or against its machine.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

// A job with a mistake fails everywhere: a failure is attributed to it once two machines that it
// failed on have completed work of other jobs since. Until then it is attributed to the machine,
// and two jobs that fail there, with nothing completed between, quarantine it. (A job that had
// failed on two machines was once excused from counting against any; with one machine in six
// faulty, every gang had, and the faulty ones were never found.)
class FailureAttribution {
  public:
    // Both must outlive this object.
    FailureAttribution(LeaderContext& context, TaskLifecycle& lifecycle);

    // A task exited with an error on the machine: delays the job or the machine, and may
    // quarantine the machine, whose other tasks are then stopped.
    void task_failed(Ms now, TaskRef ref, Id machine_id);

    // A task of the job completed on the machine: clears what speaks against the machine, and
    // exonerates it from the failures of other jobs.
    void task_completed(Id job_id, Id machine_id);

  private:
    // Work of the job has shown that the job itself is without a mistake.
    static bool known_good(Ms now, const Job& job);
    void attribute_to_job(Ms now, Id job_id);
    void attribute_to_machine(Ms now, Id job_id, Machine& machine);
    void quarantine(Ms now, Machine& machine, TaskRef failed);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
};

}  // namespace walkford
