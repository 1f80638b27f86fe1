// Applies the statuses of workers to the cluster state.
#pragma once

#include <set>

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/recent_runs.hpp"
#include "coordination/workers/task_exits.hpp"

namespace walkford {

// How a status reached the leader.
enum class StatusSource : std::uint8_t {
    heartbeat,
    direct_call,  // in the response to a direct call (DirectCalls)
};

// Whether a status was applied.
enum class StatusResult : std::uint8_t {
    applied,
    // It changed nothing: it is a duplicate, is older than one already applied, or is from before
    // the lease expired.
    stale,
};

// Updates the state of the worker itself and of the tasks that it reports, and reconciles the tasks
// that the cluster state places on its machine and that it does not report.
class WorkerStatusHandler {
  public:
    // All must outlive this object.
    WorkerStatusHandler(LeaderContext& context, TaskLifecycle& lifecycle,
                        const RecentRuns& recent_runs);

    // Applies a status of the worker on that machine, unless it is stale. `taken_after`: a time
    // before the worker made the status; known for direct calls.
    StatusResult apply(Ms now, Id machine_id, const WorkerStatus& status, StatusSource source,
                       Ms taken_after = -1);

    // Applies a status that shows that the counters of the worker have started anew: it has a new
    // process, which knows none of the tasks of the one before.
    void apply_restarted(Ms now, Id machine_id, const WorkerStatus& status, Ms taken_after);

  private:
    // The status that is being applied, and what is derived from it.
    struct StatusUpdate {
        Ms now;
        Id machine_id;
        const WorkerStatus& status;
        StatusSource source;
        bool new_incarnation;  // the first status of a worker that was restarted
        // The worker has seen our fencing token: it accepts commands of no older leader.
        bool under_our_token;
        Ms taken_after;  // the worker made the status later than this; -1: unknown
    };

    bool is_stale(const Machine& machine, const WorkerStatus& status, StatusSource source) const;
    void update_worker_state(const StatusUpdate& update, Machine& machine);
    static void update_reclaim_notice(const StatusUpdate& update, Machine& machine);
    // Returns the tasks that the status reports with their current attempt.
    std::set<TaskRef> apply_reported_tasks(const StatusUpdate& update);
    void apply_reported_task(const StatusUpdate& update, TaskRef ref, const ReportedTask& reported);
    bool is_final_exit(TaskRef ref, const ReportedTask& reported) const;
    void apply_present_task(const StatusUpdate& update, TaskRef ref, const ReportedTask& reported);
    void reconcile_unreported_tasks(const StatusUpdate& update, const std::set<TaskRef>& reported);
    static bool run_command_dropped(const StatusUpdate& update, const Task& task);
    void reconcile_dispatched_task(const StatusUpdate& update, TaskRef ref,
                                   bool& missed_response_recorded);
    void reconcile_after_restart(const StatusUpdate& update, TaskRef ref);
    void reconcile_assigned_task(const StatusUpdate& update, TaskRef ref);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    const RecentRuns& recent_runs_;
    TaskExits task_exits_;
};

}  // namespace walkford
