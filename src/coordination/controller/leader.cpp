#include "coordination/controller/leader.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {

// Time in which a job should start if neither an objective nor a deadline determines it.
constexpr double kDefaultStartBudgetSeconds = 600;
constexpr double kServiceStartBudgetSeconds = 5;

// Returns how long after its submission the job should start, so that it meets both the start
// latency objective of its class and its deadline.
Ms start_budget(const ControllerContext& controller, const JobSpec& spec) {
    double budget_s = kDefaultStartBudgetSeconds;
    if (spec.service()) {
        budget_s = kServiceStartBudgetSeconds;
    } else if (spec.deadline_s >= 0) {
        budget_s = std::max(0.0, spec.deadline_s - spec.estimate_s);
    }
    for (const StartLatencyObjective& objective :
         controller.platform_settings.start_latency_objectives) {
        if (controller.names.job_classes.find(objective.job_class) == spec.job_class) {
            budget_s = std::min(budget_s, objective.within_s);
        }
    }
    return to_ms(budget_s);
}

}  // namespace

Leader::Leader(ControllerContext& controller, std::uint64_t fencing_token, Ms now)
    : context_(controller, fencing_token, now),
      lifecycle_(context_),
      cloud_(context_, lifecycle_),
      workers_(context_, lifecycle_),
      zone_failover_(context_),
      placer_(context_, lifecycle_, zone_failover_),
      scaler_(context_, zone_failover_),
      placement_writer_(context_),
      job_completion_(context_) {
    load_cluster_state(now);
    job_completion_.delete_orphaned_records();
    std::size_t placed_tasks = 0;
    for (const Machine& machine : context_.cluster.machines) {
        placed_tasks += machine.tasks.size();
    }
    spdlog::info(
        "leader term {} started: {} jobs, {} machines, {} placed tasks, {} tasks queued again "
        "because their machines are not in the registry",
        fencing_token, controller.replica.jobs().size(), context_.cluster.machines.size(),
        placed_tasks, context_.cluster.tasks_on_unregistered_machines);
}

Leader::~Leader() { context_.controller.cloud.clear(); }

void Leader::load_cluster_state(Ms now) {
    ControllerContext& controller = context_.controller;
    ClusterState& cluster = context_.cluster;
    cluster.set_machine_types(controller.machine_types);
    if (controller.operator_settings.place_order == PlaceOrder::start_deadline) {
        cluster.start_budget = [&controller](const JobSpec& spec) {
            return start_budget(controller, spec);
        };
    }
    // Machines are loaded first, because placement records refer to them.
    cloud_.load(now);
    for (const auto& [name, stored_job] : controller.replica.jobs()) {
        cluster.load_job(stored_job, controller.replica.placement_records(name), now);
    }
    for (Id job_id = 0; job_id < cluster.jobs.size(); ++job_id) {
        if (cluster.jobs[job_id].cancelled) {
            lifecycle_.stop_job(job_id, 0, now, true);
        }
    }
}

void Leader::set_authority(bool holds_lease, Ms heartbeat_answer_deadline,
                           Ms replica_confirmed_until) {
    context_.holds_lease = holds_lease;
    context_.replica_confirmed_until = replica_confirmed_until;
    context_.heartbeat_answer_deadline = heartbeat_answer_deadline;
}

void Leader::heartbeat(Ms now, const HeartbeatRequest& heartbeat) {
    workers_.heartbeat(now, heartbeat);
}

void Leader::job_changed(Ms now, const std::string& id) {
    ClusterState& cluster = context_.cluster;
    const StoredJob* stored_job = context_.controller.replica.job(id);
    Id job_id = cluster.find_job(id);
    if (!stored_job) {
        // Only a leader's own transaction deletes a job record, after every task has finished or
        // has been removed from its machine.
        if (job_id != kNone && cluster.jobs[job_id].assigned == 0) {
            cluster.remove_job(job_id);
        }
        return;
    }
    if (job_id == kNone) {
        cluster.load_job(*stored_job, context_.controller.replica.placement_records(id), now);
        context_.placement_requested = true;
        return;
    }
    Job& job = cluster.jobs[job_id];
    job.version = stored_job->version;
    if (stored_job->record.cancelled && !job.cancelled) {
        job.cancelled = true;
        lifecycle_.stop_job(job_id, 0, now, true);
        spdlog::debug("job {} cancelled: {} tasks to stop", id, job.assigned);
    }
}

void Leader::tick(Ms now) {
    workers_.tick(now);
    cloud_.tick(now);
    job_completion_.tick(now);
    zone_failover_.tick(now, workers_, cloud_);
    if (context_.holds_lease) {
        placer_.round(now, workers_);
        scaler_.tick(now, workers_, cloud_);
        // While a zone is being evacuated, store writes are the scarcest resource, so the
        // placements of displaced work are written first.
        PlacementWriter::WriteOrder order;
        if (zone_failover_.evacuating()) {
            order = [this](Id job_id) { return zone_failover_.evacuation_position(job_id); };
        }
        placement_writer_.tick(now, order);
    }
    workers_.respond_deferred(now, placer_.completed_passes());
}

}  // namespace walkford
