// A test harness for one leader: the test takes the place of the store, the cloud and the workers,
// and advances the clock.
#pragma once

#include <spdlog/spdlog.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/controller/leader.hpp"
#include "test_operator_settings.hpp"

namespace walkford {

// A leader with two machine types ("small": 8 cores, "gpu": 32 cores and 4 GPUs) and two teams.
// Writes to the store succeed at once unless `complete_writes` is false. Requests to the cloud are
// collected and get no response unless the test sends one.
struct LeaderHarness {
    PlatformSettings platform_settings;
    OperatorSettings operator_settings = test_operator_settings();
    std::unique_ptr<ControllerContext> context;
    std::unique_ptr<Leader> leader;
    Ms now = 1000;
    std::uint64_t next_created_version = 10;
    std::uint64_t sequence = 1;  // of the last heartbeat; also its request id
    std::vector<CloudRequest> cloud_requests;
    std::vector<Transaction> written_transactions;
    std::map<RequestId, HeartbeatResponse> heartbeat_responses;
    // Where workers accept direct calls, as their heartbeats say; empty: nowhere.
    std::string worker_address;
    std::vector<WorkerRequest> direct_calls;  // unanswered ones
    std::uint64_t revision = 100;

    explicit LeaderHarness(const std::function<void(LeaderHarness&)>& change = {}) {
        spdlog::set_level(spdlog::level::off);
        platform_settings.controller_name = "n0";
        platform_settings.zones = {"a", "b"};
        platform_settings.teams = {{"red", {20, 0, 0}, {100, 0, 0}},
                                   {"blue", {20, 0, 0}, {100, 0, 0}}};
        platform_settings.report_s = 1;
        platform_settings.store_limits.writes_per_s = 1000;
        platform_settings.cloud_requests_per_s = 100;
        if (change) {
            change(*this);
        }
        context = std::make_unique<ControllerContext>(platform_settings, operator_settings, 1);
        Id small = context->names.machine_types.intern("small"),
           gpu = context->names.machine_types.intern("gpu");
        context->machine_types = {{small, {8, 0, 32}, 50, 1, 1, 0.2, 10, {0, 1}},
                                  {gpu, {32, 4, 128}, 50, 1, 9, 2, 10, {0, 1}}};
    }
    // Starts a leader from the contents of the store replica. No worker has reported to it yet.
    void elect(std::uint64_t fencing_token) {
        leader = std::make_unique<Leader>(*context, fencing_token, now);
        leader->context().depose = [](Ms, const char*) {};
        leader->context().refresh_replica = [](Ms) {};
        leader->set_authority(true, now + 1000000, now + 1000000);
    }
    // Stores a registry with these machines, given as name and machine type, starts a leader, and
    // sends it a first heartbeat from every machine.
    void elect_with_machines(const std::vector<std::pair<std::string, int>>& machines) {
        RegistryRecord registry;
        registry.first_scale_out_done = !machines.empty();
        for (const auto& [name, machine_type] : machines) {
            registry.machines.push_back(
                {name, static_cast<Id>(machine_type), 0, false, false, false});
        }
        context->replica.apply({keys::kRegistry, encode_registry(registry, context->names), 5});
        elect(50);
        for (const auto& [name, machine_type] : machines) {
            heartbeat(name);
        }
    }
    // Sends a heartbeat and returns the commands in its response; none if the response is deferred.
    std::vector<WorkerCommand> heartbeat(const std::string& name,
                                         std::vector<ReportedTask> tasks = {},
                                         std::uint64_t fencing_token = 50,
                                         std::uint64_t incarnation = 1) {
        HeartbeatRequest request;
        request.request = ++sequence;
        request.worker_status.machine = name;
        request.worker_status.address = worker_address;
        request.worker_status.machine_type = "small";
        request.worker_status.zone = "a";
        request.worker_status.incarnation = incarnation;
        request.worker_status.sequence = sequence;
        request.worker_status.fencing_token = fencing_token;
        request.worker_status.tasks = std::move(tasks);
        leader->heartbeat(now, request);
        process_outputs();
        auto response = heartbeat_responses.find(request.request);
        return response == heartbeat_responses.end() ? std::vector<WorkerCommand>{}
                                                     : response->second.commands;
    }
    // Answers all direct calls with that status of the worker on the machine.
    void answer_direct_calls(const std::string& name, std::uint64_t incarnation,
                             std::uint64_t worker_sequence,
                             const std::vector<ReportedTask>& tasks = {}) {
        for (const WorkerRequest& call : std::exchange(direct_calls, {})) {
            WorkerResponse response;
            response.call = call.call;
            response.status = WorkerCallStatus::ok;
            response.worker_status.emplace();
            response.worker_status->machine = name;
            response.worker_status->incarnation = incarnation;
            response.worker_status->sequence = worker_sequence;
            response.worker_status->fencing_token = call.fencing_token;
            response.worker_status->tasks = tasks;
            context->workers.reply(now, response);
        }
        process_outputs();
    }
    JobSpec make_job_spec(const std::string& id, double cpus, std::uint32_t tasks = 1,
                          bool gang = false) {
        JobSpec job_spec;
        job_spec.id = id;
        job_spec.team = 0;
        job_spec.tasks = tasks;
        job_spec.shape = gang ? JobShape::gang : JobShape::array;
        job_spec.task_resources = {cpus, 0, 1};
        job_spec.spot = true;
        return job_spec;
    }
    // Stores a submitted job and notifies the leader of it.
    void submit_job(const JobSpec& job_spec) {
        context->replica.apply({keys::job(job_spec.id),
                                encode_job({job_spec, false}, context->names),
                                next_created_version++});
        leader->job_changed(now, job_spec.id);
    }
    // False: transactions are collected and get no response.
    bool complete_writes = true;
    // Transactions that write this key are held in held_writes until the test answers them.
    std::string held_key;
    std::vector<StoreRequest> held_writes;
    // Answers the oldest held write, as executed or with the given status.
    void answer_held_write(StoreStatus status = StoreStatus::ok) {
        StoreRequest request = std::move(held_writes.front());
        held_writes.erase(held_writes.begin());
        answer(request, status);
        process_outputs();
    }
    void answer(const StoreRequest& request, StoreStatus status) {
        StoreResponse response;
        response.call = request.call;
        response.status = status;
        response.revision = ++revision;
        context->store.reply(now, response);
    }
    bool holds(const Transaction& transaction) const {
        return std::any_of(transaction.writes.begin(), transaction.writes.end(),
                           [&](const Write& write) { return write.key == held_key; });
    }
    // Processes what the leader has sent until nothing more follows.
    void process_outputs() {
        for (int round = 0; round < 20; ++round) {
            context->store.send_queued(now, context->out);
            context->cloud.send_queued(now, context->out);
            Outputs outputs = std::move(context->out);
            context->out.clear();
            if (outputs.empty()) {
                return;
            }
            for (Output& output : outputs) {
                if (auto* response = std::get_if<HeartbeatResponse>(&output)) {
                    heartbeat_responses[response->request] = *response;
                }
                if (auto* direct_call = std::get_if<WorkerRequest>(&output)) {
                    direct_calls.push_back(*direct_call);
                }
                if (auto* cloud_request = std::get_if<CloudRequest>(&output)) {
                    cloud_requests.push_back(*cloud_request);
                }
                if (auto* store_request = std::get_if<StoreRequest>(&output)) {
                    if (store_request->operation != StoreOperation::transaction) {
                        continue;
                    }
                    written_transactions.push_back(store_request->transaction);
                    if (holds(store_request->transaction)) {
                        held_writes.push_back(*store_request);
                    } else if (complete_writes) {
                        answer(*store_request, StoreStatus::ok);
                    }
                }
            }
        }
    }
    // Advances the clock by the span in steps of 50 ms, with a tick of the leader at each.
    void advance_time(Ms span) {
        for (Ms end = now + span; now < end;) {
            now += 50;
            leader->tick(now);
            process_outputs();
        }
    }
    const ClusterState& cluster() { return leader->context().cluster; }
    // The name of the machine that a task is placed on; empty if it is on none.
    std::string machine_of(const std::string& job_id, std::uint32_t task = 0) {
        ClusterState& state = leader->context().cluster;
        Id machine_id = state.task({state.find_job(job_id), task}).machine;
        return machine_id == kNone ? "" : state.machines[machine_id].name;
    }
    // How many requests for a machine of that type the cloud has received.
    int scale_out_requests(const std::string& machine_type) {
        int count = 0;
        for (const CloudRequest& cloud_request : cloud_requests) {
            count += cloud_request.operation == CloudOperation::scale_out &&
                     cloud_request.machine_type == machine_type;
        }
        return count;
    }
};

}  // namespace walkford
