// Tasks: where each stands in the cluster state and in the durable record.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "bookkeeping/types.hpp"

namespace walkford {

// How far the placement of a task has come, in the leader's view.
enum class TaskPhase : std::uint8_t {
    pending,       // on no machine
    assigned,      // on a machine in the cluster state; no `run` sent by this leader
    dispatched,    // `run` went out in an answer; not yet reported
    acknowledged,  // reported by the worker
    exited,        // reported as ended; not on the machine any more
    done,
};

// What a worker reports of a task.
enum class TaskState : std::uint8_t {
    pulling,  // fetching the image
    waiting,  // a gang's member: ready, and waiting for the others
    running,
    saving,  // being stopped, and writing its checkpoint
    exited,
    unknown,  // not reported, or a word that this version doesn't know
};

// A task by its job's index in the cluster state and its own index in the job.
struct TaskRef {
    Id job = kNone;
    std::uint32_t task = 0;
    auto operator<=>(const TaskRef&) const = default;
};

// One task of a job. `attempt` and `machine` are the leader's view; the durable ones stand in the
// placement record.
struct Task {
    std::uint32_t attempt = 0;  // how often it was assigned; tells an old run from a new one
    std::uint32_t durable_attempt = 0;
    Id machine = kNone;
    Id durable_machine = kNone;
    TaskPhase phase = TaskPhase::pending;
    TaskState state = TaskState::unknown;
    bool durable_done = false;
    // A write that changes the task was sent and is not known to have failed: what the record says
    // is not known until a later write is answered.
    bool write_outcome_unknown = false;
    bool inherited = false;  // placed by an earlier leader, not yet reported to this one
    bool stopping = false;
    bool rerun = false;  // ended because its gang was incomplete: cleared and run again in place
    bool failure_not_counted = false;     // stopped by us: counts against neither job nor machine
    float stop_grace = 0;                 // seconds
    std::uint64_t dispatch_sequence = 0;  // the heartbeat whose answer carried `run`
    std::uint64_t dispatch_incarnation = 0;
    Ms since = 0;  // when the phase began
    Ms running_since = -1;
    Ms stop_sent_at = -1;

    // The placement on its machine is durable, so that `run` may be sent.
    bool durable_here() const {
        return machine != kNone && durable_machine == machine && durable_attempt == attempt &&
               !durable_done && !write_outcome_unknown;
    }
};

// One task in the status of a worker.
struct ReportedTask {
    std::string job;  // its id
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskState state = TaskState::unknown;
    std::string cause;            // exited: why
    bool progress_saved = false;  // exited: with a checkpoint
};

}  // namespace walkford
