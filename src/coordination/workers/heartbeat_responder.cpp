#include "coordination/workers/heartbeat_responder.hpp"

#include <algorithm>

#include "coordination/messages/http_status.hpp"
#include "coordination/workers/reported_task.hpp"

namespace walkford {

namespace {
constexpr Ms kDeferredCheckInterval = 20;
// A deferred heartbeat occupies a socket until it is answered. Deferred heartbeats may use one
// socket in this many; the others remain for requests that are answered at once.
constexpr std::size_t kSocketsPerDeferredHeartbeat = 4;

// Whether the task was placed by this leader and has not been commanded to run yet.
bool newly_placed(const Task& task) {
    return task.phase == TaskPhase::assigned && !task.assigned_by_earlier_leader;
}
}  // namespace

HeartbeatResponder::HeartbeatResponder(LeaderContext& context, RecentRuns& recent_runs)
    : context_(context), command_builder_(context, recent_runs) {}

HeartbeatResponder::~HeartbeatResponder() {
    for (const auto& [machine_id, deferred] : deferred_) {
        refuse(deferred.request);
    }
}

void HeartbeatResponder::refuse(RequestId request) {
    HeartbeatResponse response;
    response.request = request;
    response.code = http_status::kServiceUnavailable;
    context_.controller.out.emplace_back(std::move(response));
}

void HeartbeatResponder::renew_lease(Ms now, Machine& machine, RequestId request) {
    HeartbeatResponse response;
    response.request = request;
    response.code = http_status::kOk;
    response.fencing_token = context_.fencing_token;
    machine.worker.lease_renewed_at = now;
    context_.controller.out.emplace_back(std::move(response));
}

void HeartbeatResponder::respond_or_defer(Ms now, Id machine_id,
                                          const HeartbeatRequest& heartbeat) {
    const WorkerStatus& status = heartbeat.worker_status;
    if (auto earlier = deferred_.find(machine_id); earlier != deferred_.end()) {
        // The worker no longer waits for the earlier heartbeat, or one of the two is a duplicate.
        renew_lease(now, context_.cluster.machines[machine_id], earlier->second.request);
        deferred_.erase(earlier);
    }
    DeferReason reason = defer_reason(machine_id, status);
    if (Ms delay = max_delay(reason); delay > 0) {
        deferred_[machine_id] = {heartbeat.request, status, now + delay, reason, placement_rounds_};
        return;
    }
    respond(now, machine_id, heartbeat.request, status);
}

void HeartbeatResponder::respond(Ms now, Id machine_id, RequestId request,
                                 const WorkerStatus& status) {
    Machine& machine = context_.cluster.machines[machine_id];
    if (now >= context_.heartbeat_answer_deadline || machine.terminated) {
        refuse(request);
        return;
    }
    HeartbeatResponse response;
    response.request = request;
    response.code = http_status::kOk;
    response.fencing_token = context_.fencing_token;
    response.commands = command_builder_.build(now, machine_id, status);
    Acknowledgement& acknowledgement = machine.acknowledgement;
    if (acknowledgement.answered_sequence == 0) {
        acknowledgement.token_announced_sequence = status.sequence;
    }
    acknowledgement.answered_incarnation = status.incarnation;
    acknowledgement.answered_sequence = status.sequence;
    machine.worker.lease_renewed_at = now;
    context_.controller.out.emplace_back(std::move(response));
}

bool HeartbeatResponder::may_defer(const Machine& machine, const WorkerStatus& status) const {
    bool may_get_work = context_.holds_lease && machine.registered &&
                        machine.registration_durable && !machine.releasing &&
                        !machine.health.quarantined && machine.worker.reclaim_at < 0 &&
                        machine.acknowledgement.missed_answers == 0 &&
                        status.fencing_token == context_.fencing_token;
    std::size_t max_deferred =
        context_.controller.platform_settings.fd_limit / kSocketsPerDeferredHeartbeat;
    return may_get_work && deferred_.size() < max_deferred;
}

HeartbeatResponder::DeferReason HeartbeatResponder::defer_reason(Id machine_id,
                                                                 const WorkerStatus& status) const {
    const Machine& machine = context_.cluster.machines[machine_id];
    if (!may_defer(machine, status)) {
        return DeferReason::none;
    }
    // Only a worker without tasks may wait for work: one with tasks could not report on them while
    // its heartbeat is open.
    if (status.tasks.empty() && status.all_tasks_known && machine.tasks.empty()) {
        return DeferReason::idle;
    }
    bool placement_expected =
        has_non_durable_exit(machine_id, status) || has_non_durable_placement(machine);
    return placement_expected ? DeferReason::placement : DeferReason::none;
}

Ms HeartbeatResponder::max_delay(DeferReason reason) const {
    const OperatorSettings& settings = context_.controller.operator_settings;
    switch (reason) {
        case DeferReason::idle:
            return to_ms(settings.idle_response_hold_s);
        case DeferReason::placement:
            return to_ms(settings.response_hold_s);
        case DeferReason::none:
            break;
    }
    return 0;
}

// Whether the worker reports an exit that is not yet durable. The resources of that task have just
// become free, and their next use waits for the store.
bool HeartbeatResponder::has_non_durable_exit(Id machine_id, const WorkerStatus& status) const {
    ClusterState& cluster = context_.cluster;
    return std::any_of(status.tasks.begin(), status.tasks.end(), [&](const ReportedTask& reported) {
        if (reported.state != TaskState::exited) {
            return false;
        }
        std::optional<TaskRef> ref = find_reported_task(cluster, reported);
        if (!ref) {
            return false;
        }
        const Task& task = cluster.task(*ref);
        return is_durable_attempt(task, machine_id, reported) &&
               !is_current_attempt(task, machine_id, reported);
    });
}

bool HeartbeatResponder::has_non_durable_placement(const Machine& machine) const {
    return std::any_of(machine.tasks.begin(), machine.tasks.end(), [&](TaskRef ref) {
        const Task& task = context_.cluster.task(ref);
        return newly_placed(task) && !task.placement_durable();
    });
}

bool HeartbeatResponder::commands_ready(Id machine_id, const DeferredHeartbeat& deferred) const {
    const Machine& machine = context_.cluster.machines[machine_id];
    bool has_placement = false;
    for (TaskRef ref : machine.tasks) {
        const Task& task = context_.cluster.task(ref);
        if (!newly_placed(task)) {
            continue;
        }
        if (!task.placement_durable()) {
            return false;
        }
        has_placement = true;
    }
    if (machine.terminated || machine.releasing) {
        return true;
    }
    if (deferred.reason == DeferReason::idle) {
        return has_placement;
    }
    return placement_rounds_ > deferred.placement_rounds &&
           !has_non_durable_exit(machine_id, deferred.worker_status);
}

void HeartbeatResponder::respond_deferred(Ms now, std::uint64_t placement_rounds) {
    placement_rounds_ = placement_rounds;
    if (now < next_deferred_check_at_) {
        return;
    }
    next_deferred_check_at_ = now + kDeferredCheckInterval;
    for (auto entry = deferred_.begin(); entry != deferred_.end();) {
        const auto& [machine_id, deferred] = *entry;
        if (now >= deferred.deadline || now >= context_.heartbeat_answer_deadline ||
            !context_.holds_lease || commands_ready(machine_id, deferred)) {
            respond(now, machine_id, deferred.request, deferred.worker_status);
            entry = deferred_.erase(entry);
        } else {
            ++entry;
        }
    }
}

}  // namespace walkford
