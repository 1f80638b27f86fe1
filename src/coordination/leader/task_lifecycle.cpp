#include "coordination/leader/task_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {

enum class StopResult : std::uint8_t {
    unchanged,      // not on a machine, or already being stopped
    stopping,       // the worker must be told to stop it
    never_started,  // its start command was never sent, so nothing runs
};

StopResult request_stop(Task& task, double grace, bool failure_not_counted) {
    if (task.machine == kNone) {
        return StopResult::unchanged;
    }
    if (task.stopping) {
        task.stop_grace_s = std::min(task.stop_grace_s, static_cast<float>(grace));
        return StopResult::unchanged;
    }
    task.stopping = true;
    task.failure_not_counted = failure_not_counted;
    task.stop_grace_s = static_cast<float>(grace);
    task.stop_sent_at = -1;
    bool start_sent = task.phase != TaskPhase::assigned || task.assigned_by_earlier_leader;
    return start_sent ? StopResult::stopping : StopResult::never_started;
}

// Whether the state of the task proves that its gang has begun.
bool proves_gang_begun(const Task& task) {
    if (task.phase == TaskPhase::done) {
        return true;
    }
    return task.machine != kNone &&
           (task.stopping || task.state == TaskState::running || task.state == TaskState::saving);
}

}  // namespace

void TaskLifecycle::task_lost(TaskRef ref, Ms now, const char* reason, bool began) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[ref.job];
    Task& task = cluster.task(ref);
    if (task.machine == kNone) {
        return;
    }
    spdlog::debug("task {}/{} attempt {} is gone from machine {}, requeued: {}", job.spec.id,
                  ref.task, task.attempt, cluster.machines[task.machine].name, reason);
    cluster.requeue(ref, now);
    context_.placement_requested = true;
    if (!job.spec.starts_together() || job.assigned == 0) {
        return;
    }
    // A gang that has not begun keeps waiting until a replacement with the same attempt number
    // completes it. A gang that has begun cannot continue without the lost task, so its other tasks
    // are stopped and all of its tasks start again together.
    if (!began && no_task_begun(ref.job)) {
        if (job.replacement_deadline < 0) {
            job.replacement_deadline = now + kReplacementTimeout;
        }
    } else {
        stop_job(ref.job, 0, now, true);
    }
}

bool TaskLifecycle::no_task_begun(Id job_id) const {
    for (const auto& record : context_.cluster.jobs[job_id].placement_records) {
        if (record && std::any_of(record->tasks.begin(), record->tasks.end(), proves_gang_begun)) {
            return false;
        }
    }
    return true;
}

void TaskLifecycle::requeue_machine_tasks(Id machine_id, Ms now, const char* reason) {
    auto& tasks = context_.cluster.machines[machine_id].tasks;
    while (!tasks.empty()) {
        task_lost(*tasks.begin(), now, reason);
    }
}

void TaskLifecycle::stop(TaskRef ref, double grace, Ms now, bool failure_not_counted) {
    ClusterState& cluster = context_.cluster;
    if (cluster.jobs[ref.job].spec.starts_together()) {
        stop_job(ref.job, grace, now, failure_not_counted);
        return;
    }
    if (request_stop(cluster.task(ref), grace, failure_not_counted) == StopResult::never_started) {
        task_lost(ref, now, "its start command was never sent");
    }
}

void TaskLifecycle::stop_job(Id job_id, double grace, Ms now, bool failure_not_counted) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[job_id];
    std::vector<TaskRef> never_started;
    for (std::uint32_t index = 0; index < job.placement_records.size(); ++index) {
        if (!job.placement_records[index]) {
            continue;
        }
        std::vector<Task>& tasks = job.placement_records[index]->tasks;
        for (std::uint32_t offset = 0; offset < tasks.size(); ++offset) {
            if (request_stop(tasks[offset], grace, failure_not_counted) ==
                StopResult::never_started) {
                never_started.push_back({job_id, index * job.spec.tasks_per_record + offset});
            }
        }
    }
    for (TaskRef ref : never_started) {
        cluster.requeue(ref, now);
        context_.placement_requested = true;
    }
}

}  // namespace walkford
