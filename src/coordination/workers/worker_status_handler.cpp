#include "coordination/workers/worker_status_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "coordination/workers/reported_task.hpp"
#include "coordination/workers/response_acknowledgement.hpp"
#include "coordination/workers/response_validity.hpp"

namespace walkford {

WorkerStatusHandler::WorkerStatusHandler(LeaderContext& context, TaskLifecycle& lifecycle,
                                         const RecentRuns& recent_runs)
    : context_(context),
      lifecycle_(lifecycle),
      recent_runs_(recent_runs),
      task_exits_(context, lifecycle) {}

StatusResult WorkerStatusHandler::apply(Ms now, Id machine_id, const WorkerStatus& status,
                                        StatusSource source, Ms taken_after) {
    Machine& machine = context_.cluster.machines[machine_id];
    if (is_stale(machine, status, source)) {
        return StatusResult::stale;
    }
    StatusUpdate update{
        .now = now,
        .machine_id = machine_id,
        .status = status,
        .source = source,
        .new_incarnation =
            machine.worker.reported && status.incarnation > machine.worker.incarnation,
        .under_our_token = status.fencing_token == context_.fencing_token,
        .taken_after = taken_after,
    };
    if (source == StatusSource::heartbeat) {
        check_acknowledgement(context_, now, machine, status);
    }
    update_worker_state(update, machine);
    update_reclaim_notice(update, machine);
    std::set<TaskRef> reported = apply_reported_tasks(update);
    // While the worker may still accept commands of an older leader, a task that it does not report
    // is not proven gone. Nor is it if one of the reported tasks can't be read.
    if (update.under_our_token && status.all_tasks_known) {
        reconcile_unreported_tasks(update, reported);
    }
    return StatusResult::applied;
}

void WorkerStatusHandler::apply_restarted(Ms now, Id machine_id, const WorkerStatus& status,
                                          Ms taken_after) {
    Machine& machine = context_.cluster.machines[machine_id];
    WorkerState& worker = machine.worker;
    spdlog::info("machine {} was restarted: its counters started anew at incarnation {}",
                 machine.name, status.incarnation);
    worker.counters_restarted = true;
    worker.counters_suspect_since = -1;
    worker.incarnation = status.incarnation;
    worker.sequence = status.sequence > 0 ? status.sequence - 1 : 0;
    worker.min_incarnation = 0;
    worker.fencing_token_seen = false;
    worker.reclaim_at = -1;
    machine.acknowledgement = {};
    machine.images.clear();
    apply(now, machine_id, status, StatusSource::direct_call, taken_after);
}

bool WorkerStatusHandler::is_stale(const Machine& machine, const WorkerStatus& status,
                                   StatusSource source) const {
    const WorkerState& worker = machine.worker;
    bool seen_before = worker.reported && std::tie(status.incarnation, status.sequence) <=
                                              std::tie(worker.incarnation, worker.sequence);
    // A worker that has shown our token never shows a lower one again. A heartbeat that does is a
    // late copy, or comes from a new process of the worker, which a direct call will tell.
    bool from_before_our_token = source == StatusSource::heartbeat && worker.fencing_token_seen &&
                                 status.fencing_token < context_.fencing_token;
    // An incarnation from before the lease expired has killed all tasks that it reports.
    return seen_before || from_before_our_token || status.incarnation < worker.min_incarnation;
}

void WorkerStatusHandler::update_worker_state(const StatusUpdate& update, Machine& machine) {
    WorkerState& worker = machine.worker;
    if (!worker.reported) {
        spdlog::debug("machine {} sent its first status to this leader", machine.name);
        context_.placement_requested = true;
    }
    worker.incarnation = update.status.incarnation;
    worker.sequence = update.status.sequence;
    worker.reported = true;
    if (worker.lease_expired) {
        worker.lease_expired = false;
        context_.placement_requested = true;
        spdlog::info("machine {} sent a status again after its lease had expired", machine.name);
    }
    if (update.under_our_token && !worker.fencing_token_seen) {
        worker.fencing_token_seen = true;
        worker.fencing_token_seen_at = update.now;
    }
    if (update.new_incarnation) {
        machine.images.clear();  // the machine may have a new disk
    }
}

void WorkerStatusHandler::update_reclaim_notice(const StatusUpdate& update, Machine& machine) {
    Ms& reclaim_at = machine.worker.reclaim_at;
    if (!update.status.notice_s) {
        // The newest status counts. A new leader may have received a delayed duplicate with an
        // outdated notice first, which is revoked here.
        reclaim_at = -1;
        return;
    }
    Ms announced = update.now + to_ms(*update.status.notice_s);
    if (reclaim_at < 0) {
        spdlog::info("machine {} will be reclaimed by the cloud in {:.1f} s", machine.name,
                     *update.status.notice_s);
    }
    reclaim_at = reclaim_at < 0 ? announced : std::min(reclaim_at, announced);
}

std::set<TaskRef> WorkerStatusHandler::apply_reported_tasks(const StatusUpdate& update) {
    ClusterState& cluster = context_.cluster;
    std::set<TaskRef> current;
    for (const ReportedTask& reported : update.status.tasks) {
        std::optional<TaskRef> ref = find_reported_task(cluster, reported);
        if (ref && is_current_attempt(cluster.task(*ref), update.machine_id, reported)) {
            current.insert(*ref);
            apply_reported_task(update, *ref, reported);
        }
    }
    return current;
}

void WorkerStatusHandler::apply_reported_task(const StatusUpdate& update, TaskRef ref,
                                              const ReportedTask& reported) {
    Task& task = context_.cluster.task(ref);
    if (task.phase == TaskPhase::dispatched && update.under_our_token && !task.rerun_in_place) {
        record_received_response(context_.cluster.machines[update.machine_id]);
    }
    bool exited = reported.state == TaskState::exited;
    bool gang_was_incomplete = exited && reported.cause == exit_cause::kGangIncomplete;
    // The attempt may have been run again since, by an earlier leader after the gang had not been
    // complete, or in a later incarnation of the worker. Only a status under our token shows that
    // it has not; until then the task counts as placed on the machine.
    if (exited && !update.under_our_token && !is_final_exit(ref, reported)) {
        return;
    }
    task.assigned_by_earlier_leader = false;
    if (gang_was_incomplete && task.rerun_in_place) {
        return;  // the earlier exit: the worker has not yet received the commands to run it again
    }
    if (exited && recent_runs_.clearing_copy_may_arrive(update.now, update.machine_id, reported)) {
        return;  // it may run again; a later status shows what became of it
    }
    if (exited) {
        task_exits_.task_exited(update.now, ref, reported);
    } else {
        apply_present_task(update, ref, reported);
    }
}

// The result of a completed task is kept: run again, it exits at once. A replica never completes.
bool WorkerStatusHandler::is_final_exit(TaskRef ref, const ReportedTask& reported) const {
    return reported.cause == exit_cause::kDone && !context_.cluster.jobs[ref.job].spec.service();
}

void WorkerStatusHandler::apply_present_task(const StatusUpdate& update, TaskRef ref,
                                             const ReportedTask& reported) {
    Task& task = context_.cluster.task(ref);
    if (task.phase != TaskPhase::acknowledged) {
        task.phase = TaskPhase::acknowledged;
        task.since = update.now;
    }
    if (reported.state == TaskState::running && task.state != TaskState::running) {
        task.running_since = update.now;
    }
    task.state = reported.state;
    if (ServiceRestarts::ran_well(task, update.now)) {
        context_.cluster.jobs[ref.job].ran_well_until = update.now;
    }
}

void WorkerStatusHandler::reconcile_unreported_tasks(const StatusUpdate& update,
                                                     const std::set<TaskRef>& reported) {
    ClusterState& cluster = context_.cluster;
    const Machine& machine = cluster.machines[update.machine_id];
    // A lost response is counted once, however many commands it held.
    bool missed_response_recorded =
        update.source != StatusSource::heartbeat || update.new_incarnation;
    // Iterates over a copy, as a task that is reconciled, or its whole gang, may be removed from
    // the machine.
    std::vector<TaskRef> tasks(machine.tasks.begin(), machine.tasks.end());
    for (TaskRef ref : tasks) {
        if (reported.count(ref) || !cluster.jobs[ref.job].alive) {
            continue;
        }
        const Task& task = cluster.task(ref);
        if (task.machine != update.machine_id) {
            continue;
        }
        if (machine.worker.counters_restarted) {
            reconcile_after_restart(update, ref);
            continue;
        }
        switch (task.phase) {
            case TaskPhase::acknowledged:
                lifecycle_.task_lost(ref, update.now, "no longer reported by its worker");
                break;
            case TaskPhase::dispatched:
                reconcile_dispatched_task(update, ref, missed_response_recorded);
                break;
            case TaskPhase::assigned:
                reconcile_assigned_task(update, ref);
                break;
            default:
                break;
        }
    }
}

// Whether the `run` command was lost: the worker has restarted since, or a later heartbeat still
// lacks the task. The response to a direct call has a higher sequence too, but does not show
// whether the heartbeat response with `run` was received.
bool WorkerStatusHandler::run_command_dropped(const StatusUpdate& update, const Task& task) {
    bool later_heartbeat =
        update.source == StatusSource::heartbeat && update.status.sequence > task.dispatch_sequence;
    return update.new_incarnation || later_heartbeat ||
           task.dispatch_incarnation < update.status.incarnation;
}

void WorkerStatusHandler::reconcile_dispatched_task(const StatusUpdate& update, TaskRef ref,
                                                    bool& missed_response_recorded) {
    Task& task = context_.cluster.task(ref);
    if (!run_command_dropped(update, task)) {
        return;
    }
    if (!missed_response_recorded) {
        missed_response_recorded = true;
        record_missed_response(update.now, context_.cluster.machines[update.machine_id]);
    }
    if (task.stopping) {
        lifecycle_.task_lost(ref, update.now, "stopped before it started");
    } else {
        task.phase = TaskPhase::assigned;  // so that `run` is sent again
    }
}

// The heartbeat may be a copy from before the restart, so only a direct call shows that a task is
// missing. Even then a response with its `run` may be on its way. The attempt is never run again,
// since a status from before the restart may say that it has exited.
void WorkerStatusHandler::reconcile_after_restart(const StatusUpdate& update, TaskRef ref) {
    const Task& task = context_.cluster.task(ref);
    if (task.phase == TaskPhase::assigned && !task.assigned_by_earlier_leader) {
        return;  // it was never commanded to run
    }
    bool gone = update.source == StatusSource::direct_call &&
                (task.phase != TaskPhase::dispatched ||
                 update.taken_after > task.since + kResponseValidFor);
    if (gone) {
        lifecycle_.task_lost(ref, update.now, "not known after its worker was restarted");
        return;
    }
    WorkerState& worker = context_.cluster.machines[update.machine_id].worker;
    if (worker.counters_suspect_since < 0) {
        worker.counters_suspect_since = update.now;
    }
}

// Handles a task that an earlier leader placed and that a heartbeat under our token does not
// report: it was never started, or ended with an older incarnation of the worker.
void WorkerStatusHandler::reconcile_assigned_task(const StatusUpdate& update, TaskRef ref) {
    Task& task = context_.cluster.task(ref);
    if (!task.assigned_by_earlier_leader || update.source != StatusSource::heartbeat) {
        return;
    }
    if (task.stopping || context_.cluster.jobs[ref.job].spec.starts_together()) {
        lifecycle_.task_lost(ref, update.now,
                             "not reported by its worker after a change of leader");
    } else {
        task.assigned_by_earlier_leader = false;
    }
}

}  // namespace walkford
