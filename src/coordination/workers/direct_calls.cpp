#include "coordination/workers/direct_calls.hpp"

#include <algorithm>
#include <tuple>

namespace walkford {

namespace {
constexpr Ms kProbeInterval = 2500;
constexpr Ms kStopResendInterval = 2500;
// The time between the previous call and one with stop commands, which do not wait for the next
// probe.
constexpr Ms kMinCallInterval = 100;
}  // namespace

DirectCalls::DirectCalls(LeaderContext& context, WorkerStatusHandler& status_handler)
    : context_(context), status_handler_(status_handler) {}

// A status under an older fencing token does not end the probes: it may be a delayed duplicate,
// and does not show that the worker can be reached.
void DirectCalls::probe_unseen_worker(Ms now, Id machine_id) {
    const Machine& machine = context_.cluster.machines[machine_id];
    const WorkerState& worker = machine.worker;
    Ms probe_after = to_ms(context_.controller.operator_settings.takeover_probe_s);
    bool unseen = !worker.fencing_token_seen &&
                  now > std::max(context_.elected_at, worker.last_heartbeat) + probe_after &&
                  (!machine.tasks.empty() || machine.listing.state == CloudMachineState::running);
    if (unseen && !worker.direct_call_in_flight && now >= worker.next_direct_call_at) {
        send(now, machine_id, {});
    }
}

void DirectCalls::check_counters(Ms now, Id machine_id) {
    const WorkerState& worker = context_.cluster.machines[machine_id].worker;
    if (worker.counters_suspect_since >= 0 && !worker.direct_call_in_flight &&
        now >= worker.next_direct_call_at) {
        send(now, machine_id, {});
    }
}

void DirectCalls::send_stops(Ms now, Id machine_id) {
    ClusterState& cluster = context_.cluster;
    const Machine& machine = cluster.machines[machine_id];
    std::vector<WorkerCommand> stops;
    for (TaskRef ref : machine.tasks) {
        const Task& task = cluster.task(ref);
        bool sent_recently =
            task.stop_sent_at >= 0 && now < task.stop_sent_at + kStopResendInterval;
        if (task.stopping && task.phase != TaskPhase::assigned && !sent_recently) {
            stops.push_back({WorkerCommandType::stop, cluster.jobs[ref.job].spec.id, ref.task,
                             task.attempt, task.stop_grace_s});
        }
    }
    Ms earliest_call = machine.worker.next_direct_call_at - kProbeInterval + kMinCallInterval;
    if (stops.empty() || !machine.worker.reported || machine.worker.direct_call_in_flight ||
        now < earliest_call) {
        return;
    }
    for (const WorkerCommand& stop : stops) {
        cluster.task({cluster.find_job(stop.job), stop.task}).stop_sent_at = now;
    }
    send(now, machine_id, std::move(stops));
}

void DirectCalls::send(Ms now, Id machine_id, std::vector<WorkerCommand> commands) {
    Machine& machine = context_.cluster.machines[machine_id];
    if (machine.address.empty() || machine.worker.direct_call_in_flight) {
        return;
    }
    machine.worker.direct_call_in_flight = true;
    machine.worker.next_direct_call_at = now + kProbeInterval;
    WorkerRequest request;
    request.address = machine.address;
    request.fencing_token = context_.fencing_token;
    request.incarnation = machine.worker.incarnation;
    request.commands = std::move(commands);
    SentCall call{machine_id, now, machine.worker.incarnation, machine.worker.sequence};
    request.call = context_.controller.workers.open(context_.while_leading(
        [this, call](Ms at, const WorkerResponse& response) { on_response(at, call, response); }));
    context_.controller.out.emplace_back(std::move(request));
}

void DirectCalls::on_response(Ms now, const SentCall& call, const WorkerResponse& response) {
    Machine& machine = context_.cluster.machines[call.machine];
    machine.worker.direct_call_in_flight = false;
    if (machine.terminated || !response.worker_status ||
        response.worker_status->machine != machine.name) {
        return;
    }
    const WorkerStatus& status = *response.worker_status;
    if (status.fencing_token > context_.fencing_token) {
        context_.depose(now, "a worker has seen a higher fencing token");
        return;
    }
    if (response.status == WorkerCallStatus::conflict &&
        status.incarnation != machine.worker.incarnation) {
        // Retry at once with the incarnation that it reports.
        machine.worker.next_direct_call_at = now;
    }
    // The status is newer than the call. If its counters are not above those known at that time,
    // they have started anew.
    bool restarted = machine.worker.reported && std::tie(status.incarnation, status.sequence) <=
                                                    std::tie(call.incarnation, call.sequence);
    if (restarted) {
        status_handler_.apply_restarted(now, call.machine, status, call.sent_at);
        return;
    }
    machine.worker.counters_suspect_since = -1;
    status_handler_.apply(now, call.machine, status, StatusSource::direct_call, call.sent_at);
}

}  // namespace walkford
