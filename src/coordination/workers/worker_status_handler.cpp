#include "coordination/workers/worker_status_handler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "coordination/workers/answer_acknowledgement.hpp"
#include "coordination/workers/reported_task.hpp"

namespace walkford {

WorkerStatusHandler::WorkerStatusHandler(LeaderContext& context, TaskLifecycle& lifecycle)
    : context_(context), lifecycle_(lifecycle), task_exits_(context, lifecycle) {}

StatusResult WorkerStatusHandler::apply(Ms now, Id machine_id, const WorkerStatus& status,
                                        StatusSource source) {
    Machine& machine = context_.cluster.machines[machine_id];
    if (is_stale(machine, status)) {
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
    };
    if (source == StatusSource::heartbeat) {
        check_acknowledgement(context_, now, machine, status);
    }
    update_worker_state(update, machine);
    update_reclaim_notice(update, machine);
    std::set<TaskRef> reported = apply_reported_tasks(update);
    // Where an older leader may still be obeyed, absence proves nothing.
    if (update.under_our_token) {
        reconcile_unreported_tasks(update, reported);
    }
    return StatusResult::applied;
}

bool WorkerStatusHandler::is_stale(const Machine& machine, const WorkerStatus& status) {
    const WorkerState& worker = machine.worker;
    bool seen_before = worker.reported && std::tie(status.incarnation, status.sequence) <=
                                              std::tie(worker.incarnation, worker.sequence);
    // From before its lease expired: so has all that it reports.
    return seen_before || status.incarnation < worker.min_incarnation;
}

void WorkerStatusHandler::update_worker_state(const StatusUpdate& update, Machine& machine) {
    WorkerState& worker = machine.worker;
    if (!worker.reported) {
        spdlog::debug("machine {} reports for the first time", machine.name);
        context_.place_now = true;
    }
    worker.incarnation = update.status.incarnation;
    worker.sequence = update.status.sequence;
    worker.reported = true;
    if (worker.lease_expired) {
        worker.lease_expired = false;
        context_.place_now = true;
        spdlog::info("machine {} reports again after its lease expired", machine.name);
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
        // The newest status counts: the notice in an old copy, the first to reach a new leader, is
        // revoked here.
        reclaim_at = -1;
        return;
    }
    Ms announced = update.now + to_ms(*update.status.notice_s);
    if (reclaim_at < 0) {
        spdlog::info("machine {} is reclaimed in {:.1f} s", machine.name, *update.status.notice_s);
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
    if (task.phase == TaskPhase::dispatched && update.under_our_token && !task.rerun) {
        record_received_answer(context_.cluster.machines[update.machine_id]);
    }
    bool exited = reported.state == TaskState::exited;
    bool missed_gang = exited && reported.cause == exit_cause::kGangIncomplete;
    // An earlier leader may have run this attempt again since: only a status under our token shows
    // that it has not, and until then the task is where that leader placed it.
    if (missed_gang && !update.under_our_token) {
        return;
    }
    task.inherited = false;
    if (missed_gang && task.rerun) {
        return;  // the exit from before it was commanded to run again, not cleared yet
    }
    if (exited) {
        task_exits_.task_exited(update.now, ref, reported);
    } else {
        apply_present_task(update, ref, reported);
    }
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
    // One lost answer is counted once, however many commands it held.
    bool missed_answer_recorded =
        update.source != StatusSource::heartbeat || update.new_incarnation;
    // A copy: what is reconciled may take a task, or its whole gang, off the machine.
    std::vector<TaskRef> tasks(machine.tasks.begin(), machine.tasks.end());
    for (TaskRef ref : tasks) {
        if (reported.count(ref) || !cluster.jobs[ref.job].alive) {
            continue;
        }
        const Task& task = cluster.task(ref);
        if (task.machine != update.machine_id) {
            continue;
        }
        switch (task.phase) {
            case TaskPhase::acknowledged:
                lifecycle_.task_lost(ref, update.now, "no longer on its machine");
                break;
            case TaskPhase::dispatched:
                reconcile_dispatched_task(update, ref, missed_answer_recorded);
                break;
            case TaskPhase::assigned:
                reconcile_assigned_task(update, ref);
                break;
            default:
                break;
        }
    }
}

// Only a later heartbeat shows whether the answer with `run` was received: the response to a direct
// call has a higher sequence too, and proves nothing about it.
bool WorkerStatusHandler::run_command_dropped(const StatusUpdate& update, const Task& task) {
    bool later_heartbeat =
        update.source == StatusSource::heartbeat && update.status.sequence > task.dispatch_sequence;
    return update.new_incarnation || later_heartbeat ||
           task.dispatch_incarnation < update.status.incarnation;
}

void WorkerStatusHandler::reconcile_dispatched_task(const StatusUpdate& update, TaskRef ref,
                                                    bool& missed_answer_recorded) {
    Task& task = context_.cluster.task(ref);
    if (!run_command_dropped(update, task)) {
        return;
    }
    if (!missed_answer_recorded) {
        missed_answer_recorded = true;
        record_missed_answer(update.now, context_.cluster.machines[update.machine_id]);
    }
    if (task.stopping) {
        lifecycle_.task_lost(ref, update.now, "stopped before it started");
    } else {
        task.phase = TaskPhase::assigned;  // commanded to run once more
    }
}

// A task that an earlier leader placed, and that a heartbeat under our token does not mention: it
// was never started, or is gone with an older incarnation.
void WorkerStatusHandler::reconcile_assigned_task(const StatusUpdate& update, TaskRef ref) {
    Task& task = context_.cluster.task(ref);
    if (!task.inherited || update.source != StatusSource::heartbeat) {
        return;
    }
    if (task.stopping || context_.cluster.jobs[ref.job].spec.starts_together()) {
        lifecycle_.task_lost(ref, update.now, "not found after a change of leader");
    } else {
        task.inherited = false;
    }
}

}  // namespace walkford
