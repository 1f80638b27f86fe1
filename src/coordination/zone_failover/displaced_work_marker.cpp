#include "coordination/zone_failover/displaced_work_marker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "coordination/zone_failover/log_format.hpp"

namespace walkford {

namespace {
constexpr Ms kRecentInterruptionSpan = 60000;

bool is_active(const Job& job) { return job.alive && !job.cancelled; }

// Returns whether the job is active and may run in another zone.
bool can_be_displaced(const Job& job, Id zone) { return is_active(job) && job.spec.zone != zone; }
}  // namespace

DisplacedWorkMarker::DisplacedWorkMarker(LeaderContext& context, DisplacedWork& displaced)
    : context_(context), displaced_(displaced) {}

void DisplacedWorkMarker::mark_on_silent_machines(Ms now, Id zone, const WorkerManager& workers) {
    for (const Machine& machine : context_.cluster.machines) {
        if (!machine.terminated && machine.zone == zone &&
            !workers.reported_recently(machine, now)) {
            mark_tasks_on(now, machine);
        }
    }
}

void DisplacedWorkMarker::mark_on_all_machines(Ms now, Id zone) {
    for (const Machine& machine : context_.cluster.machines) {
        if (!machine.terminated && machine.zone == zone) {
            mark_tasks_on(now, machine);
        }
    }
}

void DisplacedWorkMarker::mark_tasks_on(Ms now, const Machine& machine) {
    const ClusterState& cluster = context_.cluster;
    for (TaskRef ref : machine.tasks) {
        if (can_be_displaced(cluster.jobs[ref.job], machine.zone)) {
            displaced_.mark(now, cluster, ref.job, machine.zone);
        }
    }
}

void DisplacedWorkMarker::mark_recently_interrupted(Ms now, Id zone) {
    const ClusterState& cluster = context_.cluster;
    for (Id job_id = 0; job_id < cluster.jobs.size(); ++job_id) {
        const Job& job = cluster.jobs[job_id];
        bool recently_interrupted = job.last_interruption_zone == zone &&
                                    job.last_interruption_at >= 0 &&
                                    now < job.last_interruption_at + kRecentInterruptionSpan;
        if (recently_interrupted && can_be_displaced(job, zone) && !job.retry_queue.empty()) {
            displaced_.mark(now, cluster, job_id, zone);
        }
    }
}

void DisplacedWorkMarker::mark_waiting_for_restart(Ms now, Id zone) {
    ClusterState& cluster = context_.cluster;
    for (Id job_id = 0; job_id < cluster.jobs.size(); ++job_id) {
        const Job& job = cluster.jobs[job_id];
        bool has_interrupted_task =
            std::any_of(job.retry_queue.begin(), job.retry_queue.end(), [&](std::uint32_t task) {
                return cluster.task({job_id, task}).attempt > 0;
            });
        if (has_interrupted_task && can_be_displaced(job, zone)) {
            displaced_.mark(now, cluster, job_id, zone);
        }
    }
}

void DisplacedWorkMarker::log_loss(Id zone, const std::string& zone_name) const {
    const ClusterState& cluster = context_.cluster;
    std::map<Id, std::uint32_t> jobs_by_class;
    for (Id job : displaced_.jobs()) {
        jobs_by_class[cluster.jobs[job].spec.job_class] += displaced_.zone_of(job) == zone;
    }
    std::string class_counts;
    for (const auto& [job_class, count] : jobs_by_class) {
        class_counts += fmt::format(" {}:{}", job_class_name(cluster.names, job_class), count);
    }
    auto zone_bound_jobs =
        std::count_if(cluster.jobs.begin(), cluster.jobs.end(),
                      [zone](const Job& job) { return is_active(job) && job.spec.zone == zone; });
    spdlog::info(
        "zone {}: displaced jobs by class:{}; {} jobs may run only in this zone and wait for it",
        zone_name, class_counts.empty() ? " none" : class_counts, zone_bound_jobs);
}

}  // namespace walkford
