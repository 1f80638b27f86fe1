#include "coordination/workers/command_builder.hpp"

#include "coordination/workers/reported_task.hpp"
#include "coordination/workers/response_acknowledgement.hpp"

namespace walkford {

namespace {
constexpr std::size_t kMaxCommandsPerResponse = 200;  // a response holds at most 64 KiB
}

std::vector<WorkerCommand> CommandBuilder::build(Ms now, Id machine_id,
                                                 const WorkerStatus& status) {
    ClusterState& cluster = context_.cluster;
    const Machine& machine = cluster.machines[machine_id];
    std::vector<WorkerCommand> commands;
    for (const ReportedTask& reported : status.tasks) {
        add_cleanup(now, machine_id, reported, commands);
    }
    bool machine_may_start = machine_may_start_tasks(machine, status);
    for (TaskRef ref : machine.tasks) {
        Task& task = cluster.task(ref);
        if (task.stopping && task.phase != TaskPhase::assigned) {
            commands.push_back({WorkerCommandType::stop, cluster.jobs[ref.job].spec.id, ref.task,
                                task.attempt, task.stop_grace_s});
            task.stop_sent_at = now;
        } else if (machine_may_start && task_may_start(ref, task)) {
            add_run(now, machine_id, ref, status, commands);
        }
        if (commands.size() >= kMaxCommandsPerResponse) {
            break;
        }
    }
    return commands;
}

void CommandBuilder::add_cleanup(Ms now, Id machine_id, const ReportedTask& reported,
                                 std::vector<WorkerCommand>& commands) const {
    if (auto ref = find_reported_task(context_.cluster, reported)) {
        const Task& task = context_.cluster.task(*ref);
        if (is_current_attempt(task, machine_id, reported) ||
            is_durable_attempt(task, machine_id, reported)) {
            return;
        }
    }
    // The job of the task has ended or was cancelled, or the reported attempt is an older one.
    bool exited = reported.state == TaskState::exited;
    if (exited && recent_runs_.copy_may_arrive(now, machine_id, reported)) {
        return;
    }
    WorkerCommandType type = exited ? WorkerCommandType::clear : WorkerCommandType::stop;
    commands.push_back({type, reported.job, reported.task, reported.attempt, 0});
}

// Requires that the status reports our fencing token. Otherwise it may be a delayed duplicate from
// before the election: its response reaches no worker, and a `run` in it would count as sent.
bool CommandBuilder::machine_may_start_tasks(const Machine& machine,
                                             const WorkerStatus& status) const {
    return context_.holds_lease && machine.registration_durable && !machine.releasing &&
           machine.worker.counters_suspect_since < 0 &&
           status.fencing_token == context_.fencing_token && receives_responses(machine);
}

bool CommandBuilder::task_may_start(TaskRef ref, const Task& task) const {
    return task.phase == TaskPhase::assigned && !task.stopping &&
           !task.assigned_by_earlier_leader && !context_.cluster.jobs[ref.job].cancelled &&
           task.placement_durable();
}

void CommandBuilder::add_run(Ms now, Id machine_id, TaskRef ref, const WorkerStatus& status,
                             std::vector<WorkerCommand>& commands) {
    Task& task = context_.cluster.task(ref);
    const std::string& job_name = context_.cluster.jobs[ref.job].spec.id;
    // A worker accepts the same attempt of a task only once, unless the attempt was cleared.
    if (task.rerun_in_place) {
        commands.push_back({WorkerCommandType::clear, job_name, ref.task, task.attempt, 0});
    }
    commands.push_back({WorkerCommandType::run, job_name, ref.task, task.attempt, 0});
    recent_runs_.record(now, machine_id, commands.back(), task.rerun_in_place);
    task.rerun_in_place = false;
    task.phase = TaskPhase::dispatched;
    task.dispatch_sequence = status.sequence;
    task.dispatch_incarnation = status.incarnation;
    task.since = now;
}

}  // namespace walkford
