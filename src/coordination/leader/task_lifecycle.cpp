#include "coordination/leader/task_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {

enum class StopResult : std::uint8_t {
    unchanged,      // not on a machine, or already being stopped
    stopping,       // the worker is to be commanded to stop it
    never_started,  // its start was never sent: nothing runs
};

StopResult request_stop(Task& task, double grace, bool failure_not_counted) {
    if (task.machine == kNone) {
        return StopResult::unchanged;
    }
    if (task.stopping) {
        task.stop_grace = std::min(task.stop_grace, static_cast<float>(grace));
        return StopResult::unchanged;
    }
    task.stopping = true;
    task.failure_not_counted = failure_not_counted;
    task.stop_grace = static_cast<float>(grace);
    task.stop_sent_at = -1;
    bool start_sent = task.phase != TaskPhase::assigned || task.inherited;
    return start_sent ? StopResult::stopping : StopResult::never_started;
}

// Whether the task shows that its gang has begun.
bool shows_begun(const Task& task) {
    if (task.phase == TaskPhase::done) {
        return true;
    }
    return task.machine != kNone &&
           (task.stopping || task.state == TaskState::running || task.state == TaskState::saving);
}

}  // namespace

void TaskLifecycle::task_lost(TaskRef ref, Ms now, const char* why, bool began) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[ref.job];
    Task& task = cluster.task(ref);
    if (task.machine == kNone) {
        return;
    }
    spdlog::debug("{}/{} attempt {} off {}: {}", job.spec.id, ref.task, task.attempt,
                  cluster.machines[task.machine].name, why);
    cluster.requeue(ref, now);
    context_.place_now = true;
    if (!job.spec.starts_together() || job.assigned == 0) {
        return;
    }
    // A gang that has not begun keeps waiting, and a replacement with the same attempt completes
    // it; one that has begun cannot go on: the rest is stopped, and all start again together.
    if (!began && unbegun(ref.job)) {
        if (job.replace_by < 0) {
            job.replace_by = now + kReplaceFor;
        }
    } else {
        stop_job(ref.job, 0, now, true);
    }
}

bool TaskLifecycle::unbegun(Id job_id) const {
    for (const auto& record : context_.cluster.jobs[job_id].placement_records) {
        if (record && std::any_of(record->tasks.begin(), record->tasks.end(), shows_begun)) {
            return false;
        }
    }
    return true;
}

void TaskLifecycle::machine_emptied(Id machine_id, Ms now, const char* why) {
    auto& tasks = context_.cluster.machines[machine_id].tasks;
    while (!tasks.empty()) {
        task_lost(*tasks.begin(), now, why);
    }
}

void TaskLifecycle::stop(TaskRef ref, double grace, Ms now, bool failure_not_counted) {
    ClusterState& cluster = context_.cluster;
    if (cluster.jobs[ref.job].spec.starts_together()) {
        stop_job(ref.job, grace, now, failure_not_counted);
        return;
    }
    if (request_stop(cluster.task(ref), grace, failure_not_counted) == StopResult::never_started) {
        task_lost(ref, now, "never started");
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
        context_.place_now = true;
    }
}

}  // namespace walkford
