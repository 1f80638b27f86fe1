#include "coordination/leader/task_lifecycle.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

void TaskLifecycle::task_lost(TaskRef ref, Ms now, const char* why, bool began) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[ref.job];
    Task& t = cluster.task(ref);
    if (t.machine == kNone) {
        return;
    }
    spdlog::debug("{}/{} attempt {} off {}: {}", j.spec.id, ref.task, t.attempt,
                  cluster.machines[t.machine].name, why);
    cluster.requeue(ref, now);
    context_.place_now = true;
    if (!j.spec.starts_together() || j.assigned == 0) {
        return;
    }
    // A gang that has not begun keeps waiting, and a replacement with the same attempt completes
    // it; one that has begun goes nowhere: the rest is stopped, and all start anew together.
    if (!began && unbegun(ref.job)) {
        if (j.replace_by < 0) {
            j.replace_by = now + kReplaceFor;
        }
    } else {
        stop_job(ref.job, 0, now, true);
    }
}

bool TaskLifecycle::unbegun(Id job) const {
    const Job& j = context_.cluster.jobs[job];
    for (const auto& record : j.placement_records) {
        if (!record) {
            continue;
        }
        for (const Task& t : record->tasks) {
            if (t.phase == TaskPhase::done) {
                return false;
            }
            if (t.machine == kNone) {
                continue;
            }
            if (t.stopping || t.state == TaskState::running || t.state == TaskState::saving) {
                return false;
            }
        }
    }
    return true;
}

void TaskLifecycle::machine_emptied(Id machine, Ms now, const char* why) {
    auto& tasks = context_.cluster.machines[machine].tasks;
    while (!tasks.empty()) {
        task_lost(*tasks.begin(), now, why);
    }
}

void TaskLifecycle::stop(TaskRef ref, double grace, Ms now, bool failure_not_counted) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[ref.job];
    if (j.spec.starts_together()) {
        stop_job(ref.job, grace, now, failure_not_counted);
        return;
    }
    Task& t = cluster.task(ref);
    if (t.machine == kNone) {
        return;
    }
    if (t.stopping) {
        t.stop_grace = std::min(t.stop_grace, static_cast<float>(grace));
        return;
    }
    t.stopping = true;
    t.failure_not_counted = failure_not_counted;
    t.stop_grace = static_cast<float>(grace);
    t.stop_sent_at = -1;
    if (t.phase == TaskPhase::assigned && !t.inherited) {
        task_lost(ref, now, "never started");
    }
}

void TaskLifecycle::stop_job(Id job, double grace, Ms now, bool failure_not_counted) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[job];
    std::vector<TaskRef> unsent;
    for (std::uint32_t c = 0; c < j.placement_records.size(); ++c) {
        if (!j.placement_records[c]) {
            continue;
        }
        for (std::uint32_t i = 0; i < j.placement_records[c]->tasks.size(); ++i) {
            Task& t = j.placement_records[c]->tasks[i];
            if (t.machine == kNone) {
                continue;
            }
            if (t.stopping) {
                t.stop_grace = std::min(t.stop_grace, static_cast<float>(grace));
                continue;
            }
            t.stopping = true;
            t.failure_not_counted = failure_not_counted;
            t.stop_grace = static_cast<float>(grace);
            t.stop_sent_at = -1;
            if (t.phase == TaskPhase::assigned && !t.inherited) {
                unsent.push_back({job, c * j.spec.tasks_per_record + i});
            }
        }
    }
    for (TaskRef ref : unsent) {
        cluster.requeue(ref, now);
        context_.place_now = true;
    }
}

}  // namespace walkford
