#include "coordination/workers/service_restarts.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kRanWellAfter = 10000;
constexpr Ms kFirstRestartDelay = 1000;  // after the second early exit in a row; then doubled
constexpr std::uint32_t kMaxDoublings = 5;
}  // namespace

ServiceRestarts::ServiceRestarts(LeaderContext& context, TaskLifecycle& lifecycle)
    : context_(context), lifecycle_(lifecycle) {}

bool ServiceRestarts::ran_well(const Task& task, Ms now) {
    return task.running_since >= 0 && now - task.running_since >= kRanWellAfter;
}

void ServiceRestarts::replica_exited(Ms now, TaskRef ref, const ReportedTask& reported) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[ref.job];
    const Task& task = cluster.task(ref);
    job.failures = ran_well(task, now) ? 0 : job.failures + 1;
    if (!job.cancelled && job.failures > 1) {
        Ms delay = kFirstRestartDelay << std::min(job.failures - 2, kMaxDoublings);
        job.not_before = std::max(job.not_before, now + delay);
    }
    spdlog::info("service replica {}/{} exited on machine {}", job.spec.id, ref.task,
                 cluster.machines[task.machine].name);
    lifecycle_.task_lost(ref, now, reported.cause.c_str());
}

}  // namespace walkford
