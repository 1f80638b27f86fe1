#include "coordination/workers/task_exits.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/workers/reported_task.hpp"

namespace walkford {

namespace {
constexpr Ms kNoRoomMachineBackoff = 2000;
constexpr Ms kBusyJobDelay = 1000;
constexpr Ms kUnknownJobDelay = 3000;
}  // namespace

TaskExits::TaskExits(LeaderContext& context, TaskLifecycle& lifecycle)
    : context_(context),
      lifecycle_(lifecycle),
      service_restarts_(context, lifecycle),
      failure_attribution_(context, lifecycle) {}

void TaskExits::task_exited(Ms now, TaskRef ref, const ReportedTask& reported) {
    ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[ref.job];
    Task& task = cluster.task(ref);
    context_.placement_requested = true;
    if (reported.cause == exit_cause::kDone) {
        if (job.spec.service()) {
            service_restarts_.replica_exited(now, ref, reported);
        } else {
            task_completed(ref, reported);
        }
        return;
    }
    spdlog::debug("task {}/{} attempt {} exited on machine {}, cause: {}{}", job.spec.id, ref.task,
                  reported.attempt, cluster.machines[task.machine].name, reported.cause,
                  reported.progress_saved ? ", checkpointed" : "");
    if (waits_for_gang(ref, reported)) {
        rerun_in_place(now, task);
        return;
    }
    back_off(now, ref, reported);
    bool began = reported.cause == exit_cause::kGangMemberLost ||
                 reported.cause == exit_cause::kError || reported.cause == exit_cause::kStopped;
    lifecycle_.task_lost(ref, now, reported.cause.c_str(), began);
}

void TaskExits::task_completed(TaskRef ref, const ReportedTask& reported) {
    ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[ref.job];
    failure_attribution_.task_completed(ref.job, cluster.task(ref).machine);
    if (!job.spec.gang()) {
        cluster.mark_done(ref);
        return;
    }
    // The tasks of a gang complete together: if one is done, all are.
    for (std::uint32_t index = 0; index < job.spec.tasks; ++index) {
        if (cluster.task({ref.job, index}).attempt == reported.attempt) {
            cluster.mark_done({ref.job, index});
        }
    }
}

bool TaskExits::waits_for_gang(TaskRef ref, const ReportedTask& reported) const {
    return reported.cause == exit_cause::kGangIncomplete &&
           !context_.cluster.jobs[ref.job].cancelled && lifecycle_.no_task_begun(ref.job);
}

// The other gang members are still fetching their image, which takes longer than a gang waits if
// the image is large. The task keeps its machine, which has the image already, and waits again.
void TaskExits::rerun_in_place(Ms now, Task& task) {
    task.rerun_in_place = true;
    task.phase = TaskPhase::assigned;
    task.state = TaskState::unknown;
    task.assigned_by_earlier_leader = false;
    task.since = now;
}

void TaskExits::back_off(Ms now, TaskRef ref, const ReportedTask& reported) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[ref.job];
    const Task& task = cluster.task(ref);
    Machine& machine = cluster.machines[task.machine];
    bool failure_not_counted = task.failure_not_counted || task.stopping || job.cancelled;
    if (reported.cause == exit_cause::kError && !failure_not_counted) {
        spdlog::info("task {}/{} failed on machine {}", job.spec.id, ref.task, machine.name);
        failure_attribution_.task_failed(now, ref, task.machine);
    } else if (reported.cause == exit_cause::kNoRoom) {
        // The cluster state and the machine disagree about free resources: the machine must report
        // its tasks before it gets more.
        machine.health.backoff_until =
            std::max(machine.health.backoff_until, now + kNoRoomMachineBackoff);
    } else if (reported.cause == exit_cause::kBusy) {
        job.not_before = std::max(job.not_before, now + kBusyJobDelay);
    } else if (reported.cause == exit_cause::kUnknown) {
        job.not_before = std::max(job.not_before, now + kUnknownJobDelay);
    }
}

}  // namespace walkford
