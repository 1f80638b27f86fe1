// A leader by itself, without a world around it: the test plays store, cloud and workers, and moves
// the clock.
#pragma once

#include <spdlog/spdlog.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "coordination/controller/leader.hpp"
#include "test_operator_settings.hpp"

namespace walkford {

// Two machine types ("small": 8 cores, "gpu": 32 cores and 4 GPUs) and two teams. Writes succeed at
// once unless `answer_writes` is taken away; calls to the cloud are kept in `asked`.
struct LeaderBench {
    PlatformSettings platform_settings;
    OperatorSettings operator_settings = test_operator_settings();
    std::unique_ptr<ControllerContext> context;
    std::unique_ptr<Leader> leader;
    Ms now = 1000;
    std::uint64_t created_version = 10;
    std::uint64_t sequence = 1;
    std::vector<CloudRequest> asked;
    std::vector<Transaction> written;
    std::map<RequestId, HeartbeatResponse> answers;
    std::uint64_t revision = 100;

    explicit LeaderBench(const std::function<void(LeaderBench&)>& change = {}) {
        spdlog::set_level(spdlog::level::off);
        platform_settings.controller_name = "n0";
        platform_settings.zones = {"a", "b"};
        platform_settings.teams = {{"red", {20, 0, 0}, {100, 0, 0}},
                                   {"blue", {20, 0, 0}, {100, 0, 0}}};
        platform_settings.report_s = 1;
        platform_settings.store_limits.writes_per_s = 1000;
        platform_settings.cloud_rps = 100;
        if (change) {
            change(*this);
        }
        context = std::make_unique<ControllerContext>(platform_settings, operator_settings, 1);
        Id small = context->names.machine_types.intern("small"),
           gpu = context->names.machine_types.intern("gpu");
        context->machine_types = {{small, {8, 0, 32}, 50, 1, 1, 0.2, 10, {0, 1}},
                                  {gpu, {32, 4, 128}, 50, 1, 9, 2, 10, {0, 1}}};
    }
    // A leader of what the view holds; no machine has reported to it.
    void elect(std::uint64_t fencing_token) {
        leader = std::make_unique<Leader>(*context, fencing_token, now);
        leader->context().depose = [](Ms, const char*) {};
        leader->context().refresh = [](Ms) {};
        leader->set_authority(true, now + 1000000, now + 1000000);
    }
    // A registry with these machines, all up.
    void lead(const std::vector<std::pair<std::string, int>>& machines) {
        RegistryRecord r;
        r.first_scale_out_done = !machines.empty();
        for (const auto& [name, machine_type] : machines) {
            r.machines.push_back({name, static_cast<Id>(machine_type), 0, false, false, false});
        }
        context->replica.apply({keys::kRegistry, encode_registry(r, context->names), 5});
        elect(50);
        for (const auto& [name, machine_type] : machines) {
            heartbeat(name);
        }
    }
    std::vector<WorkerCommand> heartbeat(const std::string& name,
                                         std::vector<ReportedTask> tasks = {},
                                         std::uint64_t fencing_token = 50,
                                         std::uint64_t incarnation = 1) {
        HeartbeatRequest q;
        q.request = ++sequence;
        q.worker_status.machine = name;
        q.worker_status.machine_type = "small";
        q.worker_status.zone = "a";
        q.worker_status.incarnation = incarnation;
        q.worker_status.sequence = sequence;
        q.worker_status.fencing_token = fencing_token;
        q.worker_status.tasks = std::move(tasks);
        leader->heartbeat(now, q);
        drain();
        auto it = answers.find(q.request);  // none yet: the answer is held
        return it == answers.end() ? std::vector<WorkerCommand>{} : it->second.commands;
    }
    JobSpec spec(const std::string& id, double cpus, std::uint32_t tasks = 1, bool gang = false) {
        JobSpec s;
        s.id = id;
        s.team = 0;
        s.tasks = tasks;
        s.shape = gang ? JobShape::gang : JobShape::array;
        s.each = {cpus, 0, 1};
        s.spot = true;
        return s;
    }
    void job(const JobSpec& s) {
        context->replica.apply(
            {keys::job(s.id), encode_job({s, false}, context->names), created_version++});
        leader->job_changed(now, s.id);
    }
    // All writes succeed at once unless told otherwise.
    bool answer_writes = true;
    void drain() {
        for (int round = 0; round < 20; ++round) {
            context->store.pump(now, context->out);
            context->cloud.pump(now, context->out);
            Outputs out = std::move(context->out);
            context->out.clear();
            if (out.empty()) {
                return;
            }
            for (Output& o : out) {
                if (auto* b = std::get_if<HeartbeatResponse>(&o)) {
                    answers[b->request] = *b;
                }
                if (auto* c = std::get_if<CloudRequest>(&o)) {
                    asked.push_back(*c);
                }
                if (auto* s = std::get_if<StoreRequest>(&o)) {
                    if (s->operation != StoreOperation::transaction) {
                        continue;
                    }
                    written.push_back(s->transaction);
                    if (!answer_writes) {
                        continue;
                    }
                    StoreResponse r;
                    r.call = s->call;
                    r.status = StoreStatus::ok;
                    r.revision = ++revision;
                    context->store.reply(now, r);
                }
            }
        }
    }
    void pass(Ms span) {
        for (Ms end = now + span; now < end;) {
            now += 50;
            leader->tick(now);
            drain();
        }
    }
    const ClusterState& cluster() { return leader->context().cluster; }
    std::string where(const std::string& id, std::uint32_t task = 0) {
        ClusterState& b = leader->context().cluster;
        Id m = b.task({b.find_job(id), task}).machine;
        return m == kNone ? "" : b.machines[m].name;
    }
    int scale_out_requests(const std::string& machine_type) {
        int n = 0;
        for (const CloudRequest& c : asked) {
            n += c.operation == CloudOperation::scale_out && c.machine_type == machine_type;
        }
        return n;
    }
};

}  // namespace walkford
