#include "coordination/workers/failure_attribution.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr std::size_t kExoneratedMachinesToAttributeToJob = 2;
constexpr std::size_t kFailuresToQuarantine = 2;
// A replica that ran well within this time shows that its job is not faulty.
constexpr Ms kServiceKnownGoodFor = 30000;

// The delay of a job to which a failure is attributed; doubled with each failure.
constexpr Ms kJobBackoffUnit = 2000;
constexpr Ms kMaxJobBackoff = 60000;
constexpr std::uint32_t kMaxJobBackoffDoublings = 5;

// The delays of the machine and of the job after a failure that is attributed to the machine.
constexpr Ms kMachineBackoff = 3000;
constexpr Ms kRetryElsewhereDelay = 500;  // multiplied by the failures of the job
constexpr std::uint32_t kMaxRetryElsewhereFactor = 4;

constexpr double kCheckpointMarginSeconds = 1;
}  // namespace

FailureAttribution::FailureAttribution(LeaderContext& context, TaskLifecycle& lifecycle)
    : context_(context), lifecycle_(lifecycle) {}

void FailureAttribution::task_failed(Ms now, TaskRef ref, Id machine_id) {
    Job& job = context_.cluster.jobs[ref.job];
    Machine& machine = context_.cluster.machines[machine_id];
    job.failed_on.insert(machine_id);
    ++job.failures;
    if (job.exonerated_machines.size() >= kExoneratedMachinesToAttributeToJob &&
        !known_good(now, job)) {
        attribute_to_job(now, ref.job);
    } else {
        attribute_to_machine(now, ref.job, machine);
    }
    if (machine.health.failures() >= kFailuresToQuarantine && !machine.health.quarantined) {
        quarantine(now, machine, ref);
    }
}

void FailureAttribution::task_completed(Id job_id, Id machine_id) {
    ClusterState& cluster = context_.cluster;
    MachineHealth& health = cluster.machines[machine_id].health;
    for (Id failing_job : health.failing_jobs) {
        if (failing_job != job_id) {
            cluster.jobs[failing_job].exonerated_machines.insert(machine_id);
        }
    }
    health.failing_jobs.clear();
    health.failed_jobs_done_elsewhere = 0;
}

bool FailureAttribution::known_good(Ms now, const Job& job) {
    return job.done > 0 || (job.spec.service() && job.ran_well_until + kServiceKnownGoodFor >= now);
}

void FailureAttribution::attribute_to_job(Ms now, Id job_id) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[job_id];
    for (Id machine_id : job.failed_on) {
        cluster.machines[machine_id].health.failing_jobs.erase(job_id);
    }
    Ms delay = std::min(kMaxJobBackoff,
                        kJobBackoffUnit << std::min(job.failures, kMaxJobBackoffDoublings));
    job.not_before = now + delay;
}

void FailureAttribution::attribute_to_machine(Ms now, Id job_id, Machine& machine) {
    Job& job = context_.cluster.jobs[job_id];
    machine.health.failing_jobs.insert(job_id);
    machine.health.last_failure = now;
    machine.health.backoff_until = std::max(machine.health.backoff_until, now + kMachineBackoff);
    // If other replicas of a service run well, the machine is at fault: the replica is retried
    // elsewhere without a delay.
    bool retry_at_once = job.spec.service() && known_good(now, job);
    Ms delay = retry_at_once
                   ? 0
                   : kRetryElsewhereDelay *
                         static_cast<Ms>(std::min(job.failures, kMaxRetryElsewhereFactor));
    job.not_before = std::max(job.not_before, now + delay);
}

void FailureAttribution::quarantine(Ms now, Machine& machine, TaskRef failed) {
    machine.health.quarantined = true;
    spdlog::info("machine {} quarantined: tasks of {} jobs failed on it", machine.name,
                 machine.health.failures());
    // Iterates over a copy, as stopping a task may remove it, or others, from the machine.
    std::vector<TaskRef> tasks(machine.tasks.begin(), machine.tasks.end());
    for (TaskRef ref : tasks) {
        if (ref != failed) {
            const JobSpec& spec = context_.cluster.jobs[ref.job].spec;
            lifecycle_.stop(ref, spec.checkpoint_duration_s + kCheckpointMarginSeconds, now, true);
        }
    }
}

}  // namespace walkford
