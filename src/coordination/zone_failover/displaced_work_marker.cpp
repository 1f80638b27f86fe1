#include "coordination/zone_failover/displaced_work_marker.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>

#include "coordination/zone_failover/log_format.hpp"

namespace walkford {

namespace {
constexpr Ms kRecentlyInterrupted = 60000;

bool active(const Job& job) { return job.alive && !job.cancelled; }

// The job can continue in another zone.
bool displaceable(const Job& job, Id zone) { return active(job) && job.spec.zone != zone; }
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
        if (displaceable(cluster.jobs[ref.job], machine.zone)) {
            displaced_.mark(now, cluster, ref.job, machine.zone);
        }
    }
}

void DisplacedWorkMarker::mark_recently_interrupted(Ms now, Id zone) {
    const ClusterState& cluster = context_.cluster;
    for (Id job_id = 0; job_id < cluster.jobs.size(); ++job_id) {
        const Job& job = cluster.jobs[job_id];
        bool recently = job.last_interruption_zone == zone && job.last_interruption_at >= 0 &&
                        now < job.last_interruption_at + kRecentlyInterrupted;
        if (recently && displaceable(job, zone) && !job.retry_queue.empty()) {
            displaced_.mark(now, cluster, job_id, zone);
        }
    }
}

void DisplacedWorkMarker::mark_waiting_for_restart(Ms now, Id zone) {
    ClusterState& cluster = context_.cluster;
    for (Id job_id = 0; job_id < cluster.jobs.size(); ++job_id) {
        const Job& job = cluster.jobs[job_id];
        bool started =
            std::any_of(job.retry_queue.begin(), job.retry_queue.end(), [&](std::uint32_t task) {
                return cluster.task({job_id, task}).attempt > 0;
            });
        if (started && displaceable(job, zone)) {
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
    std::string list;
    for (const auto& [job_class, count] : jobs_by_class) {
        list += fmt::format(" {}:{}", job_class_name(cluster.names, job_class), count);
    }
    auto bound = std::count_if(cluster.jobs.begin(), cluster.jobs.end(), [zone](const Job& job) {
        return active(job) && job.spec.zone == zone;
    });
    spdlog::info("zone {}: displaced jobs by class:{}; {} jobs are bound to it and wait", zone_name,
                 list.empty() ? " none" : list, bound);
}

}  // namespace walkford
