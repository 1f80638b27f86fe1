// Tasks: their placement in the cluster state and in the stored placement record.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "bookkeeping/types.hpp"

namespace walkford {

// The progress of a task's placement as the leader knows it.
enum class TaskPhase : std::uint8_t {
    pending,       // on no machine
    assigned,      // to a machine; this leader has not sent `run` for it
    dispatched,    // `run` was sent in an answer; the worker has not reported it yet
    acknowledged,  // reported by the worker
    exited,        // reported as ended; no longer on the machine
    done,
};

// The state of a task as a worker reports it.
enum class TaskState : std::uint8_t {
    pulling,  // fetching the image
    waiting,  // member of a gang: ready, waiting for the other members
    running,
    saving,  // being stopped; writing a checkpoint
    exited,
    unknown,  // not reported, or a value that this version doesn't know
};

// Identifies a task by the index of its job in the cluster state and its own index in the job.
struct TaskRef {
    Id job = kNone;
    std::uint32_t task = 0;
    auto operator<=>(const TaskRef&) const = default;
};

// One task of a job. `attempt` and `machine` are the leader's current values; those that begin with
// `durable_` are in the stored placement record.
struct Task {
    std::uint32_t attempt = 0;  // number of assignments; distinguishes an old run from a new one
    std::uint32_t durable_attempt = 0;
    Id machine = kNone;
    Id durable_machine = kNone;
    TaskPhase phase = TaskPhase::pending;
    TaskState state = TaskState::unknown;
    bool durable_done = false;
    // A write that changes the task was sent and is not known to have failed. The contents of the
    // stored record are unknown until a later write is answered.
    bool write_outcome_unknown = false;
    bool assigned_by_earlier_leader =
        false;  // assigned by an earlier leader and not yet reported to this one
    bool stopping = false;
    bool rerun_in_place =
        false;  // ended because its gang was incomplete; cleared and run again in place
    // Stopped by the leader, so that a failure counts against neither the job nor the machine.
    bool failure_not_counted = false;
    float stop_grace_s = 0;               // seconds
    std::uint64_t dispatch_sequence = 0;  // the heartbeat whose answer carried `run`
    std::uint64_t dispatch_incarnation = 0;
    Ms since = 0;  // when the phase began
    Ms running_since = -1;
    Ms stop_sent_at = -1;

    // Whether the current placement is stored durably, so that `run` may be sent.
    bool placement_durable() const {
        return machine != kNone && durable_machine == machine && durable_attempt == attempt &&
               !durable_done && !write_outcome_unknown;
    }
};

// One task in a worker's status report.
struct ReportedTask {
    std::string job;  // its id
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    TaskState state = TaskState::unknown;
    std::string cause;            // why it exited, if it has
    bool progress_saved = false;  // whether it wrote a checkpoint before it exited
};

}  // namespace walkford
