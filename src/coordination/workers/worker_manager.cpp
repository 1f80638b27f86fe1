#include "coordination/workers/worker_manager.hpp"

#include <spdlog/spdlog.h>

#include "coordination/workers/response_acknowledgement.hpp"

namespace walkford {

namespace {
constexpr Ms kCheckInterval = 200;
constexpr double kRecentReportIntervals = 2;
constexpr Ms kReportDelay = 1500;  // allowed for the delivery of a heartbeat or a response
constexpr double kCheckpointMarginSeconds = 0.5;
}  // namespace

WorkerManager::WorkerManager(LeaderContext& context, TaskLifecycle& lifecycle)
    : context_(context),
      lifecycle_(lifecycle),
      status_handler_(context, lifecycle, recent_runs_),
      responder_(context, recent_runs_),
      direct_calls_(context, status_handler_),
      lease_expiry_(context) {}

bool WorkerManager::reported_recently(const Machine& machine, Ms now) const {
    double report_s = context_.controller.platform_settings.report_s;
    Ms recent = to_ms(report_s * kRecentReportIntervals) + kReportDelay;
    return machine.worker.reported && now - machine.worker.last_heartbeat <= recent;
}

bool WorkerManager::schedulable(const Machine& machine, Ms now) const {
    return machine.registered && !machine.releasing && !machine.terminated &&
           !machine.health.quarantined && !machine.worker.lease_expired &&
           reported_recently(machine, now) && machine.worker.reclaim_at < 0 &&
           machine.health.backoff_until <= now && receives_responses(machine) &&
           machine.worker.counters_suspect_since < 0 &&
           (machine.worker.fencing_token_seen || machine.requested_by_this_leader);
}

void WorkerManager::heartbeat(Ms now, const HeartbeatRequest& heartbeat) {
    const WorkerStatus& status = heartbeat.worker_status;
    if (now >= context_.heartbeat_answer_deadline) {
        // There is no recent proof that no job was cancelled in the meantime, so the worker's lease
        // must be allowed to expire.
        responder_.refuse(heartbeat.request);
        return;
    }
    Id machine_id = find_or_add_machine(now, status);
    Machine& machine = context_.cluster.machines[machine_id];
    if (!status.address.empty()) {
        machine.address = status.address;
    }
    if (status_handler_.apply(now, machine_id, status, StatusSource::heartbeat) ==
        StatusResult::stale) {
        answer_stale_heartbeat(now, machine_id, heartbeat.request);
        return;
    }
    machine.worker.last_heartbeat = now;
    responder_.respond_or_defer(now, machine_id, heartbeat);
}

// A delayed duplicate is answered too. The worker may receive this response and count its lease
// from it, so the renewal is recorded. If no direct call settles for longer than a lease whether it
// is a duplicate, the lease must be allowed to expire: the worker may have lost its tasks.
void WorkerManager::answer_stale_heartbeat(Ms now, Id machine_id, RequestId request) {
    Machine& machine = context_.cluster.machines[machine_id];
    Ms& suspect_since = machine.worker.counters_suspect_since;
    if (machine.address.empty()) {  // no call can tell
        responder_.renew_lease(now, machine, request);
        return;
    }
    if (suspect_since < 0) {
        suspect_since = now;
    }
    direct_calls_.check_counters(now, machine_id);
    if (now > suspect_since + to_ms(context_.controller.platform_settings.lease_s)) {
        responder_.refuse(request);
    } else {
        responder_.renew_lease(now, machine, request);
    }
}

Id WorkerManager::find_or_add_machine(Ms now, const WorkerStatus& status) {
    ClusterState& cluster = context_.cluster;
    Id machine_id = cluster.find_machine(status.machine);
    if (machine_id == kNone) {
        machine_id = cluster.add_machine(status.machine,
                                         cluster.names.machine_types.intern(status.machine_type),
                                         cluster.names.zones.intern(status.zone), status.spot, now);
        spdlog::debug(
            "machine {} sent a heartbeat and is not in the registry: added as unregistered",
            status.machine);
    }
    return machine_id;
}

void WorkerManager::tick(Ms now) {
    if (now < next_check_at_) {
        return;
    }
    next_check_at_ = now + kCheckInterval;
    lease_expiry_.watch_relays(now);
    std::deque<Machine>& machines = context_.cluster.machines;
    for (Id machine_id = 0; machine_id < machines.size(); ++machine_id) {
        const Machine& machine = machines[machine_id];
        if (machine.terminated) {
            continue;
        }
        expire_lease(now, machine_id);
        direct_calls_.probe_unseen_worker(now, machine_id);
        direct_calls_.check_counters(now, machine_id);
        stop_before_reclaim(now, machine);
        direct_calls_.send_stops(now, machine_id);
    }
}

void WorkerManager::expire_lease(Ms now, Id machine_id) {
    Machine& machine = context_.cluster.machines[machine_id];
    WorkerState& worker = machine.worker;
    // A worker that waits for the response to a deferred heartbeat is alive.
    if (!worker.fencing_token_seen || worker.lease_expired || responder_.has_deferred(machine_id) ||
        !lease_expiry_.expired(now, machine)) {
        return;
    }
    worker.lease_expired = true;
    worker.min_incarnation = worker.incarnation + 1;
    worker.reclaim_at = -1;
    double silent_s = static_cast<double>(now - worker.last_heartbeat) / 1000.0;
    spdlog::info("machine {} sent no heartbeat for {:.1f} s: lease expired, {} tasks lost",
                 machine.name, silent_s, machine.tasks.size());
    lifecycle_.requeue_machine_tasks(machine_id, now, "lease expired");
}

// Stops the tasks of a machine that the cloud is about to reclaim, as late as they can still save a
// checkpoint. A stop command may take a report interval to reach the worker.
void WorkerManager::stop_before_reclaim(Ms now, const Machine& machine) {
    if (machine.worker.reclaim_at < 0) {
        return;
    }
    ClusterState& cluster = context_.cluster;
    Ms delivery_delay = to_ms(context_.controller.platform_settings.report_s) + kReportDelay;
    // Iterates over a copy, as stopping a task may remove it, or its whole gang, from the machine.
    for (TaskRef ref : std::vector<TaskRef>(machine.tasks.begin(), machine.tasks.end())) {
        const JobSpec& spec = cluster.jobs[ref.job].spec;
        if (cluster.task(ref).stopping) {
            continue;
        }
        Ms needed = to_ms(spec.checkpoint_duration_s) + delivery_delay;
        if (now + needed >= machine.worker.reclaim_at) {
            lifecycle_.stop(ref, spec.checkpoint_duration_s + kCheckpointMarginSeconds, now, true);
        }
    }
}

}  // namespace walkford
