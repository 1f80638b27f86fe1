// Focused tests of what a leader does: placing, scaling, fencing, gangs, the view and the pacing of
// writes, each through the context's own doors.
#include "coordination/controller/leader.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstddef>

#include "coordination/controller/controller.hpp"
#include "coordination/store/store_watcher.hpp"
#include "test_operator_settings.hpp"

namespace walkford {
namespace {

struct Bench {
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

    explicit Bench(const std::function<void(Bench&)>& change = {}) {
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

TEST(Fencing, RunIsSentOnlyOnceThePlacementIsDurable) {
    Bench w;
    w.lead({{"host-1", 0}});
    w.answer_writes = false;
    w.job(w.spec("j-1", 4));
    w.pass(600);
    EXPECT_EQ(w.where("j-1"), "host-1");
    EXPECT_TRUE(w.heartbeat("host-1").empty());
    ASSERT_FALSE(w.written.empty());
    EXPECT_EQ(w.written.back().comparisons[0].key, keys::kLeader);
    EXPECT_EQ(w.written.back().comparisons[0].version, 50U);
}

TEST(Fencing, DurablePlacementIsRunAndSentAgainOnlyAfterALaterBeatLacksIt) {
    Bench w;
    w.lead({{"host-1", 0}});
    w.job(w.spec("j-1", 4));
    w.pass(600);
    auto commands = w.heartbeat("host-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].type, WorkerCommandType::run);
    EXPECT_EQ(commands[0].attempt, 1U);
    // The answer was lost: the next heartbeat still lacks it.
    commands = w.heartbeat("host-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].attempt, 1U);
    commands = w.heartbeat("host-1", {{"j-1", 0, 1, TaskState::running, "", false}});
    EXPECT_TRUE(commands.empty());
}

TEST(Fencing, AnOldReportGetsNoOrdersAndChangesNothing) {
    Bench w;
    w.lead({{"host-1", 0}});
    w.job(w.spec("j-1", 4));
    w.pass(600);
    std::uint64_t saved = w.sequence;
    w.sequence = 0;  // older than what was heard
    EXPECT_TRUE(w.heartbeat("host-1").empty());
    w.sequence = saved;
    EXPECT_EQ(w.heartbeat("host-1").size(), 1U);
}

TEST(Fencing, ATaskOfAnEarlierLeaderStaysCountedUntilItsMachineAnswersUnderOurToken) {
    Bench w;
    JobSpec s = w.spec("j-1", 4);
    w.context->replica.apply({keys::job("j-1"), encode_job({s, false}, w.context->names), 8});
    w.context->replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record({{3, false, "host-1"}}), 9});
    w.lead({});
    // The registry lists the machine.
    w.leader.reset();
    RegistryRecord r;
    r.machines.push_back({"host-1", 0, 0, false, false, false});
    w.context->replica.apply({keys::kRegistry, encode_registry(r, w.context->names), 20});
    w.elect(60);
    EXPECT_EQ(w.where("j-1"), "host-1");
    w.heartbeat("host-1", {}, 50);  // it has seen the older token only: absence proves nothing
    EXPECT_EQ(w.where("j-1"), "host-1");
    w.pass(12000);  // longer than the lease, but an older leader may still answer it
    EXPECT_EQ(w.where("j-1"), "host-1");
}

// A member that gave up waiting is run again under the same attempt: a report from before that,
// heard by a later leader, once made it count as gone while it ran with the others.
TEST(Fencing, AnOldReportOfAMemberThatGaveUpWaitingProvesNothing) {
    Bench w;
    JobSpec s = w.spec("j-1", 2, 2, true);
    w.context->replica.apply({keys::job("j-1"), encode_job({s, false}, w.context->names), 20});
    std::vector<TaskRecord> stored(2);
    stored[0] = {1, false, "host-1"};
    stored[1] = {1, false, "host-2"};
    w.context->replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record(stored), 21});
    RegistryRecord r;
    r.first_scale_out_done = true;
    r.machines = {{"host-1", 0, 0, false, false, false}, {"host-2", 0, 0, false, false, false}};
    w.context->replica.apply({keys::kRegistry, encode_registry(r, w.context->names), 5});
    w.elect(50);
    w.heartbeat("host-2", {{"j-1", 1, 1, TaskState::running, "", false}}, 40);
    w.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "alone", false}}, 40);
    w.pass(500);
    EXPECT_EQ(w.where("j-1", 0), "host-1");
    EXPECT_EQ(w.where("j-1", 1), "host-2");
    // Nor is it one that was never started: stopped with the others, it stays counted.
    w.context->replica.apply({keys::job("j-1"), encode_job({s, true}, w.context->names), 30});
    w.leader->job_changed(w.now, "j-1");
    EXPECT_EQ(w.where("j-1", 0), "host-1");
    // Under our token it is a proof: the gang had begun, and goes nowhere without it.
    w.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "alone", false}}, 50);
    EXPECT_EQ(w.where("j-1", 0), "");
}

TEST(Fencing, DoneIsDurableBeforeTheWorkerForgetsIt) {
    Bench w;
    w.lead({{"host-1", 0}});
    w.job(w.spec("j-1", 4));
    w.pass(600);
    w.heartbeat("host-1");
    w.answer_writes = false;
    auto commands = w.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "done", false}});
    w.pass(300);
    commands = w.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "done", false}});
    for (const WorkerCommand& o : commands) {
        EXPECT_NE(o.type, WorkerCommandType::clear);
    }
}

TEST(Placing, ByPriorityThenAge) {
    Bench w;
    w.lead({{"host-1", 0}});
    JobSpec old = w.spec("j-1", 8), young = w.spec("j-2", 8), urgent = w.spec("j-3", 8);
    urgent.priority = Priority::high;
    w.job(old);
    w.job(young);
    w.job(urgent);
    w.pass(500);
    EXPECT_EQ(w.where("j-3"), "host-1");
    EXPECT_EQ(w.where("j-1"), "");
}

TEST(Placing, AGangIsPlacedWholeOrNotAtAll) {
    Bench w;
    w.lead({{"host-1", 0}, {"host-2", 0}});
    w.job(w.spec("j-1", 5, 3, true));
    w.pass(1000);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_EQ(w.where("j-1", i), "");
    }
    w.job(w.spec("j-2", 5, 2, true));
    w.pass(1000);
    EXPECT_NE(w.where("j-2", 0), "");
    EXPECT_NE(w.where("j-2", 1), "");
}

// Work of higher priority keeps coming and ends every ten seconds; when does the low one begin?
Ms low_begins_after(double priority_aging_s) {
    Bench w([&](Bench& b) { b.operator_settings.priority_aging_s = priority_aging_s; });
    w.lead({{"host-1", 0}});
    JobSpec low = w.spec("j-low", 8);
    low.priority = Priority::best_effort;
    w.job(w.spec("j-0", 8));
    w.job(low);
    Ms began = w.now;
    for (int n = 0; w.now < began + 400000; ++n) {
        std::string here = "j-" + std::to_string(n);
        w.job(w.spec("j-" + std::to_string(n + 1), 8));
        w.heartbeat("host-1");
        for (int i = 0; i < 10; ++i) {
            w.pass(1000);
            w.heartbeat("host-1", {{here, 0, 1, TaskState::running, "", false}});
        }
        w.heartbeat("host-1", {{here, 0, 1, TaskState::exited, "done", false}});
        w.pass(1000);
        if (!w.where("j-low").empty()) {
            return w.now - began;
        }
    }
    return -1;
}

TEST(Placing, LowPriorityBeginsWithinFourMinutesWhateverKeepsComing) {
    Ms after = low_begins_after(OperatorSettings{}.priority_aging_s);
    EXPECT_GE(after, 90000);  // it is still the lowest
    EXPECT_LE(after, 240000);
    EXPECT_EQ(low_begins_after(0), -1) << "without the rise it waits for ever";
}

// Twelve machines of one zone, each always half full of short tasks that end at different times;
// arrays keep coming. A gang of eight that needs eight empty halves at once, as on the grown
// deployments.
Ms gang_begins_after(std::uint32_t gather) {
    Bench w([&](Bench& b) {
        b.operator_settings.max_reserving_gangs = gather;
        b.platform_settings.teams[0].quota = {0, 0, 0};
    });
    std::vector<std::pair<std::string, int>> hosts;
    hosts.reserve(12);
    for (int i = 0; i < 12; ++i) {
        hosts.emplace_back("host-" + std::to_string(10 + i), 0);
    }
    w.lead(hosts);
    std::map<std::string, std::pair<std::string, Ms>> runs;  // job -> machine, ends at
    int next = 0;
    auto more = [&] {
        JobSpec s = w.spec("j-a" + std::to_string(next++), 4);
        s.estimate_s = 20;
        w.job(s);
    };
    for (int i = 0; i < 30; ++i) {
        more();
    }
    w.pass(1000);
    JobSpec gang = w.spec("j-gang", 8, 8, true);
    gang.one_zone = true;
    w.job(gang);
    Ms began = w.now;
    while (w.now < began + 400000) {
        w.pass(500);
        if (!w.where("j-gang").empty()) {
            return w.now - began;
        }
        std::vector<std::string> over;
        for (const Job& j : w.cluster().jobs) {
            if (!j.alive || j.spec.id == "j-gang" || w.where(j.spec.id).empty()) {
                continue;
            }
            auto [it, fresh] =
                runs.try_emplace(j.spec.id, w.where(j.spec.id),
                                 w.now + 12000 + static_cast<long>(1700 * (next++ % 9)));
            if (!fresh && w.now >= it->second.second) {
                over.push_back(j.spec.id);
            }
        }
        std::map<std::string, std::vector<ReportedTask>> reports;
        for (const auto& [host, machine_type] : hosts) {
            reports[host];
        }
        for (const auto& [id, run] : runs) {
            bool ends = std::find(over.begin(), over.end(), id) != over.end();
            reports[run.first].push_back({id, 0, 1, ends ? TaskState::exited : TaskState::running,
                                          ends ? "done" : "", false});
        }
        for (auto& [host, tasks] : reports) {
            w.heartbeat(host, tasks);
        }
        for (const std::string& id : over) {
            runs.erase(id);
            more();
        }
    }
    return -1;
}

// Two arrays, one place. The first has begun only after it had risen; what it has risen to protects
// its tasks, and is no reason why the other should wait for all of them. (On a day with six times
// the usual scoring jobs, 67 of 187 had begun; now 177.)
TEST(Placing, AnArrayBeginsBeforeTheRestOfOneThatHasBegun) {
    Bench w;
    w.lead({{"host-1", 0}});
    auto run = [&w](const char* id, std::uint32_t task, Ms span) {
        w.pass(500);
        for (Ms end = w.now + span; w.now < end; w.pass(1000)) {
            w.heartbeat("host-1", {{id, task, 1, TaskState::running, "", false}});
        }
        w.heartbeat("host-1", {{id, task, 1, TaskState::exited, "done", false}});
        w.pass(500);
    };
    w.job(w.spec("j-before", 8));
    w.pass(500);
    w.job(w.spec("j-first", 8, 40));
    run("j-before", 0, 110000);
    ASSERT_EQ(w.where("j-first"), "host-1");
    w.job(w.spec("j-other", 8, 40));
    Ms began = w.now;
    std::uint32_t done = 0;
    while (w.where("j-other").empty() && done < 30) {
        run("j-first", done++, 8000);
    }
    EXPECT_FALSE(w.where("j-other").empty());
    EXPECT_GE(w.now - began, 100000);
    EXPECT_LE(w.now - began, 130000);
}

// A gang that lost a member holds a part of its team's limit, and one that waits for the whole
// limit comes first: kept back by it, the lost member was never replaced, and both waited for ever.
TEST(Placing, AGangThatLostAMemberIsCompletedBeforeWhoWaitsForTheLimit) {
    Bench w([](Bench& b) { b.platform_settings.teams[0].quota.cpus = 16; });
    w.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    JobSpec first = w.spec("j-1", 8, 2, true);
    first.any_machine_type = false;
    first.machine_types = {1};
    w.job(first);
    w.job(w.spec("j-2", 6, 2, true));
    w.pass(300);
    std::string lost = w.where("j-2", 1);
    ASSERT_FALSE(lost.empty());
    for (int round = 0; round < 2; ++round) {
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            w.heartbeat(host);
        }
        w.pass(300);
    }
    w.heartbeat(lost, {{"j-2", 1, 1, TaskState::waiting, "", false}});
    w.heartbeat(lost, {}, 50, 2);  // a new session: all that was there is gone
    EXPECT_EQ(w.where("j-2", 1), "");
    w.pass(1000);
    EXPECT_FALSE(w.where("j-2", 0).empty());
    EXPECT_FALSE(w.where("j-2", 1).empty());
    ClusterState& b = w.leader->context().cluster;
    EXPECT_EQ(b.task({b.find_job("j-2"), 1}).attempt, 1U);
}

// A member is lost, a write that says so gets no answer, and it is replaced on the same machine
// under the same attempt. The record as last confirmed says just that, so it was run at once; then
// the write was carried out late, and the next leader ran it a second time, elsewhere.
TEST(Placing, AReplacementOnTheSameMachineIsNotDurableWhileAWriteSaysOtherwise) {
    Bench w;
    w.lead({{"host-1", 0}, {"host-2", 0}});
    w.job(w.spec("j-1", 5, 2, true));
    w.pass(300);
    for (int round = 0; round < 2; ++round) {
        for (const char* host : {"host-1", "host-2"}) {
            w.heartbeat(host);
        }
        w.pass(300);
    }
    std::string lost = w.where("j-1", 1);
    ASSERT_FALSE(lost.empty());
    w.heartbeat(lost, {{"j-1", 1, 1, TaskState::waiting, "", false}});
    w.answer_writes = false;
    // Nothing else fits it for the moment, so its loss is written down.
    w.leader->context()
        .cluster.machines[w.leader->context().cluster.find_machine("host-1")]
        .health.backoff_until = w.now + 400;
    w.leader->context()
        .cluster.machines[w.leader->context().cluster.find_machine("host-2")]
        .health.backoff_until = w.now + 400;
    std::size_t before = w.written.size();
    w.heartbeat(lost, {}, 50, 2);
    w.pass(300);
    ASSERT_GT(w.written.size(), before);
    w.pass(300);
    ASSERT_EQ(w.where("j-1", 1), lost);
    auto runs = [&] {
        int n = 0;
        w.heartbeat(lost, {}, 50, 2);
        w.pass(600);  // an answer may be held for what it should carry
        for (auto& [request, answer] : w.answers) {
            for (const WorkerCommand& o : answer.commands) {
                n += request == w.sequence && o.type == WorkerCommandType::run && o.task == 1;
            }
        }
        return n;
    };
    EXPECT_EQ(runs(), 0);
    w.answer_writes = true;
    // The write that got no answer is given up, and what holds now is written and confirmed.
    StoreResponse none;
    for (none.call = 1; none.call < 40; ++none.call) {
        w.context->store.reply(w.now, none);
    }
    w.pass(600);
    EXPECT_EQ(runs(), 1);
}

TEST(Placing, RoomIsGatheredForALargeGangWithinABound) {
    Ms after = gang_begins_after(OperatorSettings{}.max_reserving_gangs);
    EXPECT_GE(after, 0);
    EXPECT_LE(after, 90000);
    EXPECT_EQ(gang_begins_after(0), -1) << "without gathering, arrays take every place";
}

TEST(Placing, ALargeTaskIsNotStarvedAtItsTeamsLimitBySmallOnes) {
    // The team may use 10 cores. What comes first waits for the limit; small tasks that come later
    // once took every context that freed up.
    Bench w([](Bench& b) { b.platform_settings.teams[0].quota = {10, 0, 0}; });
    w.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    w.job(w.spec("j-1", 4, 2));
    w.pass(500);
    w.job(w.spec("j-2", 6));
    w.job(w.spec("j-3", 1, 20));
    w.pass(1500);
    EXPECT_EQ(w.where("j-3"), "");
    std::string first = w.where("j-1");
    w.heartbeat(first);
    w.heartbeat(first, {{"j-1", 0, 1, TaskState::exited, "done", false}});
    w.pass(1000);
    EXPECT_NE(w.where("j-2"), "");
}

TEST(Placing, AGpuMachineIsLeftToThoseWhoNeedIt) {
    Bench w;
    w.lead({{"gpu-1", 1}, {"host-1", 0}});
    JobSpec gpu = w.spec("j-1", 10);
    gpu.each.gpus = 1;
    gpu.job_class = w.context->names.job_classes.intern("train");
    w.job(gpu);
    JobSpec plain = w.spec("j-2", 4);
    plain.job_class = w.context->names.job_classes.intern("batch");
    w.job(plain);
    w.pass(600);
    EXPECT_EQ(w.where("j-1"), "gpu-1");
    EXPECT_EQ(w.where("j-2"), "host-1");
}

TEST(Unacknowledged, NoOrderIsGivenOnAReportThatDoesNotShowOurToken) {
    // A late copy from before the election: nobody takes in the answer.
    Bench w;
    w.lead({{"host-1", 0}});
    w.job(w.spec("j-1", 4));
    w.pass(600);
    EXPECT_TRUE(w.heartbeat("host-1", {}, 40).empty());
    EXPECT_EQ(w.heartbeat("host-1").size(), 1U);
}

TEST(Unacknowledged, AMachineThatNeverTakesInItsOrdersIsGivenBackAndItsTaskRunsElsewhere) {
    Bench w([](Bench& b) { b.operator_settings.max_idle_cost = 0; });
    w.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    w.job(w.spec("j-1", 4));
    w.job(w.spec("j-2", 8));
    w.pass(600);
    std::string deaf = w.where("j-1");
    ASSERT_NE(deaf, "");
    std::string back;
    for (int i = 0; i < 60 && back.empty(); ++i) {
        w.pass(1000);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            w.heartbeat(host);
        }
        for (const CloudRequest& c : w.asked) {
            if (c.operation != CloudOperation::scale_in) {
                continue;
            }
            if (std::count(c.names.begin(), c.names.end(), deaf) > 0) {
                back = deaf;
                EXPECT_EQ(w.where("j-1"), deaf) << "counted there until the cloud has taken it";
            }
            CloudResponse r;
            r.call = c.call;
            r.status = CloudCallStatus::ok;
            w.context->cloud.reply(w.now, r);
        }
        w.asked.clear();
    }
    EXPECT_EQ(back, deaf);
    w.pass(1000);
    EXPECT_NE(w.where("j-1"), deaf);
}

// A new machine reports once, is given work, and ends before it reports again or the cloud lists
// it.
TEST(Unacknowledged, AMachineThatEndsAfterItsFirstReportIsGivenBack) {
    Bench w;
    w.lead({});
    w.job(w.spec("j-1", 4));
    auto answer_all = [&](CloudOperation operation, const std::vector<std::string>& names) {
        int answered = 0;
        for (const CloudRequest& call : std::exchange(w.asked, {})) {
            if (call.operation == operation) {
                CloudResponse reply;
                reply.call = call.call;
                reply.status = CloudCallStatus::ok;
                reply.names = names;
                w.context->cloud.reply(w.now, reply);
                ++answered;
            }
        }
        return answered;
    };
    for (int i = 0; i < 20 && w.cluster().machines.empty(); ++i) {
        w.pass(1000);
        answer_all(CloudOperation::scale_out, {"host-1"});
    }
    w.heartbeat("host-1", {}, 0);
    w.pass(1000);
    EXPECT_EQ(w.where("j-1"), "host-1");
    int released = 0;
    for (int i = 0; i < 120 && released == 0; ++i) {
        w.pass(1000);
        released = answer_all(CloudOperation::scale_in, {});
    }
    EXPECT_EQ(released, 1);
    EXPECT_EQ(w.where("j-1"), "");
}

TEST(Copies, AnOldNoticeHeardFirstIsNotForEver) {
    Bench w;
    w.lead({{"host-1", 0}});
    Id m = w.cluster().find_machine("host-1");
    HeartbeatRequest copy;
    copy.request = 900;
    copy.worker_status.machine = "host-1";
    copy.worker_status.incarnation = 1;
    copy.worker_status.sequence = w.sequence + 1;
    copy.worker_status.fencing_token = 50;
    copy.worker_status.notice_s = 5;
    w.leader->heartbeat(w.now, copy);
    EXPECT_GE(w.cluster().machines[m].worker.reclaim_at, 0);
    w.sequence += 2;
    w.heartbeat("host-1");
    EXPECT_LT(w.cluster().machines[m].worker.reclaim_at, 0);
}

TEST(Quarantine, AMachineThatFailsTwoJobsGoesAndAJobThatFailsTwiceIsBlamedItself) {
    Bench w;
    w.lead({{"host-1", 0}});
    w.job(w.spec("j-1", 2));
    w.job(w.spec("j-2", 2));
    w.pass(600);
    w.heartbeat("host-1");
    w.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "error", false},
                           {"j-2", 0, 1, TaskState::exited, "error", false}});
    w.pass(3000);
    bool returned = false;
    for (const CloudRequest& c : w.asked) {
        returned |= c.operation == CloudOperation::scale_in;
    }
    EXPECT_TRUE(returned);
}

TEST(Quarantine, AJobThatFailsOnSeveralMachinesExcusesNoneOfThem) {
    // With one machine in six sick every gang meets two: both were excused, and neither ever found.
    Bench w;
    w.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    auto fail_on = [&](const std::string& id, const std::string& host, std::uint32_t attempt) {
        w.heartbeat(host);
        w.heartbeat(host, {{id, 0, attempt, TaskState::exited, "error", false}});
        w.pass(200);
    };
    w.job(w.spec("j-1", 8));
    w.pass(600);
    std::string first = w.where("j-1");
    fail_on("j-1", first, 1);
    w.pass(3000);
    std::string second = w.where("j-1");
    ASSERT_NE(second, "");
    ASSERT_NE(second, first);
    fail_on("j-1", second, 2);
    w.job(w.spec("j-2", 8));
    w.job(w.spec("j-3", 8));
    for (int i = 0; i < 12; ++i) {
        w.pass(500);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            w.heartbeat(host);
        }
    }
    // j-2 or j-3 fails on a machine that j-1 failed on: that makes two, and it goes.
    for (const char* id : {"j-1", "j-2", "j-3"}) {
        std::string host = w.where(id);
        if (host != first && host != second) {
            continue;
        }
        Id job = w.leader->context().cluster.find_job(id);
        fail_on(id, host, w.leader->context().cluster.task({job, 0}).attempt);
    }
    int quarantined = 0;
    for (const Machine& m : w.cluster().machines) {
        quarantined += m.health.quarantined;
    }
    EXPECT_GE(quarantined, 1);
}

TEST(Quarantine, AJobThatFailsWhereOthersSucceedIsBlamedItself) {
    Bench w;
    w.lead({{"host-1", 0}, {"host-2", 0}});
    w.job(w.spec("j-9", 8));
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < 40 && w.where("j-9").empty(); ++i) {
            w.pass(500);
            for (const char* host : {"host-1", "host-2"}) {
                w.heartbeat(host);
            }
        }
        std::string host = w.where("j-9");
        if (host.empty()) {
            break;
        }
        Id job = w.leader->context().cluster.find_job("j-9");
        w.heartbeat(host);
        w.heartbeat(host, {{"j-9", 0, w.leader->context().cluster.task({job, 0}).attempt,
                            TaskState::exited, "error", false}});
        // Another job completes there.
        std::string good = "j-1" + std::to_string(round);
        w.job(w.spec(good, 8));
        for (int i = 0; i < 12 && w.where(good).empty(); ++i) {
            w.pass(500);
            for (const char* h : {"host-1", "host-2"}) {
                w.heartbeat(h);
            }
        }
        std::string at = w.where(good);
        if (at.empty()) {
            continue;
        }
        w.heartbeat(at);
        w.heartbeat(at, {{good, 0, 1, TaskState::exited, "done", false}});
        w.pass(300);
    }
    for (const Machine& m : w.cluster().machines) {
        EXPECT_FALSE(m.health.quarantined) << m.name;
    }
    EXPECT_GE(
        w.cluster().jobs[w.leader->context().cluster.find_job("j-9")].exonerated_machines.size(),
        1U);
}

TEST(Scaling, RentsAboveTheHighMarkOnceAnIntervalHasPassed) {
    Bench w;
    w.lead({});
    w.job(w.spec("j-1", 4));
    w.pass(1000);
    EXPECT_TRUE(w.scale_out_requests("small") == 0 && w.scale_out_requests("gpu") == 0)
        << "a new leader waits one interval";
    w.pass(5000);
    EXPECT_GE(w.scale_out_requests("small"), 1);
    EXPECT_EQ(w.scale_out_requests("gpu"), 0) << "the driving resource is cheaper without GPUs";
    const ScaleOutRequest h = decode_registry(*w.written.front().writes[0].value, w.context->names)
                                  ->scale_out_requests.at(0);
    EXPECT_TRUE(h.permanent)
        << "the first rented machine is permanent, and stands in the registry first";
}

TEST(Scaling, AKindThatIsRefusedMakesRoomForTheNextAtOnce) {
    Bench w;
    w.lead({});
    w.job(w.spec("j-1", 4));
    w.pass(5000);
    std::set<std::string> tried;
    for (int round = 0; round < 40; ++round) {
        std::vector<CloudRequest> calls = std::move(w.asked);
        w.asked.clear();
        for (const CloudRequest& c : calls) {
            if (c.operation != CloudOperation::scale_out) {
                continue;
            }
            tried.insert(c.machine_type + c.zone + (c.spot ? "s" : "o"));
            CloudResponse r;
            r.call = c.call;
            r.status = CloudCallStatus::no_capacity;
            w.context->cloud.reply(w.now, r);
        }
        w.pass(50);
    }
    EXPECT_EQ(tried.size(), 8U) << "two kinds, two zones, spot and ordinary, within two seconds";
}

TEST(Scaling, AnUnansweredHireIsRepeatedUnderItsName) {
    Bench w;
    w.lead({});
    w.job(w.spec("j-1", 4));
    w.pass(5000);
    ASSERT_GE(w.scale_out_requests("small"), 1);
    CloudRequest first;
    for (const CloudRequest& c : w.asked) {
        if (c.operation == CloudOperation::scale_out) {
            first = c;
        }
    }
    w.asked.clear();
    CloudResponse silence;
    silence.call = first.call;
    w.context->cloud.reply(w.now, silence);
    w.pass(3000);
    bool repeated = false;
    for (const CloudRequest& c : w.asked) {
        repeated |=
            c.operation == CloudOperation::scale_out && c.request_name == first.request_name;
    }
    EXPECT_TRUE(repeated);
}

// `run` travels in answers only. Answered at once, the report of an end found the next task of its
// machine not yet durable, and the place stood empty until the next report, 5 s later.
TEST(Reports, TheAnswerWaitsForWhatItShouldCarry) {
    for (bool hold : {true, false}) {
        Bench w([&](Bench& b) { b.operator_settings.response_hold_s = hold ? 0.4 : 0; });
        w.lead({{"host-1", 0}});
        w.job(w.spec("j-first", 8));
        w.pass(200);
        ASSERT_EQ(w.heartbeat("host-1").size(), 1U);
        w.job(w.spec("j-next", 8));
        w.pass(200);
        w.heartbeat("host-1", {{"j-first", 0, 1, TaskState::exited, "done", false}});
        bool at_once = w.answers.count(w.sequence) > 0;
        w.pass(200);
        ASSERT_TRUE(w.answers.count(w.sequence));
        std::vector<WorkerCommand> commands = w.answers[w.sequence].commands;
        EXPECT_EQ(at_once, !hold);
        EXPECT_EQ(commands.size(), hold ? 2U : 0U);
        if (commands.size() != 2) {
            continue;
        }
        EXPECT_EQ(commands[0].type, WorkerCommandType::clear);
        EXPECT_EQ(commands[1].type, WorkerCommandType::run);
        EXPECT_EQ(commands[1].job, "j-next");
    }
}

// ... and not for long: where the state service is slow, the worker's lease must not wait for it.
TEST(Reports, AnAnswerIsNotHeldForLong) {
    Bench w([](Bench& b) { b.operator_settings.response_hold_s = 0.4; });
    w.lead({{"host-1", 0}});
    w.job(w.spec("j-first", 8));
    w.pass(200);
    w.heartbeat("host-1");
    w.answer_writes = false;
    w.heartbeat("host-1", {{"j-first", 0, 1, TaskState::exited, "done", false}});
    w.pass(350);
    EXPECT_FALSE(w.answers.count(w.sequence));
    w.pass(100);
    ASSERT_TRUE(w.answers.count(w.sequence));
    EXPECT_EQ(w.answers[w.sequence].code, 200);
    EXPECT_TRUE(
        w.answers[w.sequence].commands.empty());  // the end is not durable: nothing is cleared
}

TEST(Reports, AnIdleMachineIsAnsweredOnceItIsGivenWork) {
    Bench w([](Bench& b) { b.operator_settings.idle_response_hold_s = 2.5; });
    w.lead({{"host-1", 0}});
    w.pass(2600);  // the first report is answered for want of work
    ASSERT_TRUE(w.answers.count(w.sequence));
    w.heartbeat("host-1");
    RequestId held = w.sequence;
    w.pass(1000);
    EXPECT_FALSE(w.answers.count(held));
    w.job(w.spec("j-work", 8));
    w.pass(100);
    ASSERT_TRUE(w.answers.count(held));
    ASSERT_EQ(w.answers[held].commands.size(), 1U);
    EXPECT_EQ(w.answers[held].commands[0].type, WorkerCommandType::run);
    // With a task it is answered at once: its news must not wait.
    w.heartbeat("host-1", {{"j-work", 0, 1, TaskState::running, "", false}});
    EXPECT_TRUE(w.answers.count(w.sequence));
}

// A machine that came back after its lease and whose report was held was taken for lost at once,
// since its last answer lay a lease back; its later reports then counted as older than the loss,
// and it stood there unused.
TEST(Reports, AMachineWhoseReportIsHeldIsNotLost) {
    Bench w([](Bench& b) {
        b.operator_settings.idle_response_hold_s = 2.5;
        b.operator_settings.mark_low = 0;  // it is kept
        b.operator_settings.max_idle_cost = 0;
    });
    w.lead({{"host-1", 0}});
    w.pass(14000);
    ASSERT_TRUE(w.cluster().machines[0].worker.lease_expired);
    w.heartbeat("host-1", {}, 50, 2);
    w.pass(500);
    EXPECT_FALSE(w.answers.count(w.sequence));
    EXPECT_FALSE(w.cluster().machines[0].worker.lease_expired);
}

// Who leads no more owes an answer to every report it holds.
TEST(Reports, HeldOnesAreSentElsewhereAtTheEndOfATerm) {
    Bench w([](Bench& b) { b.operator_settings.idle_response_hold_s = 2.5; });
    w.lead({{"host-1", 0}});
    w.heartbeat("host-1");
    RequestId held = w.sequence;
    ASSERT_FALSE(w.answers.count(held));
    w.leader.reset();
    w.drain();
    ASSERT_TRUE(w.answers.count(held));
    EXPECT_EQ(w.answers[held].code, 503);
}

// Twelve machines of twenty fall silent together and are back after their lease. A second fleet
// would be up when they are back; one that stays away is replaced.
TEST(Scaling, MachinesThatFallSilentTogetherAreNotReplacedAtOnce) {
    for (std::size_t silent : {std::size_t{12}, std::size_t{3}}) {
        Bench w([](Bench& b) {
            b.operator_settings.mark_low = 0.8;
            b.operator_settings.mark_high = 0.95;
            b.platform_settings.teams[0].quota = {0, 0, 0};
        });
        std::vector<std::pair<std::string, int>> hosts;
        hosts.reserve(20);
        for (int i = 0; i < 20; ++i) {
            hosts.emplace_back("host-" + std::to_string(10 + i), 0);
        }
        w.lead(hosts);
        w.job(w.spec("j-work", 8, 19));
        w.pass(500);
        auto all_heartbeat = [&](std::size_t from) {
            for (std::size_t i = from; i < hosts.size(); ++i) {
                std::vector<ReportedTask> tasks;
                for (std::uint32_t t = 0; t < 19; ++t) {
                    if (w.where("j-work", t) == hosts[i].first) {
                        tasks.push_back({"j-work", t, 1, TaskState::running, "", false});
                    }
                }
                w.heartbeat(hosts[i].first, tasks);
            }
        };
        all_heartbeat(0);
        all_heartbeat(0);
        Ms began = w.now;
        int early = 0;
        while (w.now < began + 60000) {
            w.pass(1000);
            all_heartbeat(silent);
            if (w.now <= began + 29000) {
                early = w.scale_out_requests("small");
            }
        }
        EXPECT_EQ(early > 0, silent == 3) << silent;
        EXPECT_GT(w.scale_out_requests("small"), 0) << silent;
    }
}

// Two thousand machines and twenty thousand tasks that wait, in jobs of one, of thirty and gangs of
// eight: no step looks at much more than its share, and those at the end of the line get their
// turn.
TEST(Fleet, NoStepIsLongAndNobodyStarves) {
    Bench w([](Bench& b) {
        for (Team& t : b.platform_settings.teams) {
            t.quota = {0, 0, 0};
        }
        b.operator_settings.mark_low = 0.8;
        b.operator_settings.mark_high = 0.95;
        b.operator_settings.scale_out_unplaceable = false;
        b.platform_settings.store_limits.writes_per_s = 1e6;
        b.platform_settings.report_s = 30;  // all are up all the time
        b.platform_settings.lease_s = 100;
    });
    std::vector<std::pair<std::string, int>> hosts;
    constexpr int kMachines = 4000;
    hosts.reserve(kMachines);
    for (int i = 0; i < kMachines; ++i) {
        hosts.emplace_back("host-" + std::to_string(10000 + i), i % 2);
    }
    w.lead(hosts);
    int next = 0;
    auto add = [&](int jobs, std::uint32_t tasks, double cpus, bool gang) {
        for (int i = 0; i < jobs; ++i) {
            JobSpec s = w.spec("j-" + std::to_string(next++), cpus, tasks, gang);
            s.team = static_cast<Id>(next % 2);
            s.one_zone = gang;
            w.job(s);
        }
    };
    add(8000, 1, 2, false);
    add(934, 30, 1, false);
    add(500, 8, 4, true);
    std::size_t placing = 0, packing = 0;
    for (int step = 0; step < 400; ++step) {
        w.pass(50);
        placing = std::max(placing, w.leader->context().work.placing);
        packing = std::max(packing, w.leader->context().work.packing);
    }
    EXPECT_GT(placing, 0U);
    EXPECT_GT(packing, 0U);
    // Shares are 400,000 looks each; one job's own part may come on top.
    EXPECT_LT(placing, 500000U);
    EXPECT_LT(packing, 500000U);
    std::size_t waiting = 0;
    for (const Job& j : w.cluster().jobs) {
        waiting += j.alive && j.assigned == 0;
    }
    EXPECT_EQ(waiting, 0U);
}

// Two thousand machines are listed in four pages; whoever rents or gives back does not wait behind
// them.
TEST(Pacing, RentsGoBeforeLists) {
    CloudClient pending(2.5);  // two calls a second
    Outputs out;
    for (CloudOperation operation : {CloudOperation::list, CloudOperation::list,
                                     CloudOperation::scale_in, CloudOperation::scale_out}) {
        CloudRequest c;
        c.operation = operation;
        pending.call(std::move(c), [](Ms, const CloudResponse&) {});
    }
    std::vector<CloudOperation> order;
    for (Ms now = 0; now <= 3000; now += 100) {
        pending.pump(now, out);
    }
    for (const Output& o : out) {
        order.push_back(std::get<CloudRequest>(o).operation);
    }
    EXPECT_EQ(order, (std::vector{CloudOperation::scale_in, CloudOperation::scale_out,
                                  CloudOperation::list, CloudOperation::list}));
}

TEST(ViewTest, AnOldChangeDoesNotUndoANewerDrop) {
    Names names;
    names.teams.intern("red");
    StoreReplica v(names);
    JobSpec s;
    s.id = "j-1";
    s.team = 0;
    Json job = encode_job({s, false}, names);
    v.apply({keys::job("j-1"), job, 5});
    v.apply({keys::job("j-1"), std::nullopt, 9});
    v.apply({keys::job("j-1"), job, 5});
    EXPECT_EQ(v.job("j-1"), nullptr);
}

// Changes asked for before a reading of the whole state, answered after it: a job that the reading
// no longer found (it had ended) was known as live again, for ever, and its end was taken back.
TEST(ViewTest, NewsFromBeforeAReadingDoesNotBringAnEndedJobBack) {
    spdlog::set_level(spdlog::level::off);
    PlatformSettings p;
    p.controller_name = "n0";
    p.zones = {"a"};
    ControllerContext context(p, {}, 1);
    StoreWatcher watcher(context.store, context.replica, context.out,
                         [&context](Ms most) { return context.jitter(most); });
    std::vector<StoreRequest> asked;
    auto collect = [&] {
        for (Output& o : context.out) {
            if (auto* c = std::get_if<StoreRequest>(&o)) {
                asked.push_back(*c);
            }
        }
        context.out.clear();
    };
    auto reply = [&](Ms now, const StoreRequest& c, StoreStatus status, std::uint64_t revision,
                     std::vector<StoreEntry> rows = {}) {
        StoreResponse r;
        r.call = c.call;
        r.status = status;
        r.revision = revision;
        r.rows = std::move(rows);
        context.store.reply(now, r);
        collect();
    };
    auto read_all = [&](Ms now, std::uint64_t revision) {
        watcher.tick(now);
        collect();
        ASSERT_EQ(asked.back().operation, StoreOperation::list);
        constexpr int kMostReadings = 20;
        for (int i = 0; i < kMostReadings && asked.back().operation == StoreOperation::list; ++i) {
            reply(now, StoreRequest(asked.back()), StoreStatus::ok, revision);
        }
        ASSERT_TRUE(watcher.ready());
    };
    read_all(1000, 10);
    StoreRequest watch = asked.back();
    ASSERT_EQ(watch.operation, StoreOperation::changes);
    int proven = 0, failed = 0;
    watcher.barrier(2000, [&](Ms, bool ok) { (ok ? proven : failed) += 1; });
    collect();
    StoreRequest barrier = asked.back();
    reply(2100, watch, StoreStatus::compacted, 10);
    read_all(2200, 12000);
    JobSpec s;
    s.id = "j-1";
    s.team = 0;
    context.names.teams.intern("red");
    StoreEntry old{keys::job("j-1"), encode_job({s, false}, context.names), 11};
    reply(2300, barrier, StoreStatus::ok, 11, {old});
    EXPECT_EQ(context.replica.job("j-1"), nullptr);
    EXPECT_EQ(proven, 0);
    EXPECT_EQ(failed, 1);
}

// Up to when all that a peer told is in our view (design.md, "Until when a leader may answer"); our
// own incarnation is "me", and message number n to it goes out at 1000 n.
struct Vouching : testing::Test {
    PeerMonitor peer;
    std::uint64_t number = 0;
    void SetUp() override {
        for (std::uint64_t n = 1; n <= 20; ++n) {
            peer.record_sent(static_cast<Ms>(1000 * n), n);
        }
    }
    bool tells(Ms now, const std::string& incarnation, Ms up, std::uint64_t echo,
               std::uint64_t revision, const std::string& to = "me") {
        PeerHeartbeat f;
        f.incarnation = incarnation;
        f.sequence = ++number;
        f.echo = echo;
        f.echo_incarnation = to;
        f.up_ms = up;
        f.revision = revision;
        return peer.receive(now, f, "me");
    }
};

TEST_F(Vouching, OnlyWhatIsInOurViewIsVouchedForAndItStaysSo) {
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);  // never heard: our own reading alone
    tells(5200, "a", 5000, 5, 101);
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);  // it may have told of change 101
    EXPECT_EQ(peer.responses_covered_until(500, 101), 5000);
    tells(6200, "a", 6000, 6, 102);
    EXPECT_EQ(peer.responses_covered_until(500, 101), 5000);
    EXPECT_EQ(peer.responses_covered_until(9000, 103), 9000);
}

TEST_F(Vouching, AnAnswerToAnotherProcessOfOursSaysNothing) {
    tells(5200, "a", 5000, 5, 0, "me before");
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
}

TEST_F(Vouching, AProcessKnowsNothingOfWhatAnEarlierOneTold) {
    tells(5200, "a", 5000, 5, 101);
    tells(7000, "b", 500, 6, 0);  // it began between 6500 and 7000
    EXPECT_EQ(peer.responses_covered_until(5900, 100), 5900);
    tells(8000, "b", 1500, 7, 0);
    EXPECT_EQ(peer.responses_covered_until(6400, 100), 6400);
    // Read up to its start: now it counts.
    EXPECT_EQ(peer.responses_covered_until(6600, 100), 7000);
    // ... and what an earlier one had vouched for is not taken back by its end.
    tells(9000, "c", 100, 8, 0);
    EXPECT_EQ(peer.responses_covered_until(6600, 100), 7000);
}

TEST_F(Vouching, ALateMessageOfAnEarlierProcessIsDropped) {
    tells(5200, "a", 5000, 3, 100);
    tells(7000, "b", 500, 6, 0);
    EXPECT_FALSE(tells(7100, "a", 5500, 5, 100));  // written at 5.6 s, held up
    EXPECT_TRUE(tells(8000, "b", 1500, 7, 0));
    EXPECT_EQ(peer.responses_covered_until(500, 100), 500);
}

// The first that is heard of a process may be a message held up until long after its end. The
// living one is heard again once it echoes what was sent after that.
TEST_F(Vouching, AProcessTakenForEndedIsHeardAgainOnceItShowsThatItLives) {
    EXPECT_TRUE(tells(5200, "b", 5000, 5, 100));
    EXPECT_TRUE(tells(6100, "a", 1000, 0, 50, "")) << "of an earlier process, never heard before";
    EXPECT_FALSE(tells(9000, "b", 8800, 5, 100)) << "an old echo proves nothing";
    EXPECT_TRUE(tells(9100, "b", 8900, 9, 100));
    EXPECT_EQ(peer.last().incarnation, "b");
    EXPECT_FALSE(tells(9200, "a", 1200, 0, 50, ""));
    EXPECT_EQ(peer.responses_covered_until(500, 100), 9000);
}

// Late messages at both ends: neither echoes the other any more, and the living ones go on.
TEST_F(Vouching, AProcessThatGoesOnWhileTheOtherIsSilentIsHeardAgain) {
    EXPECT_TRUE(tells(5200, "b", 5000, 5, 100));
    EXPECT_TRUE(tells(6100, "a", 1000, 0, 50, ""));
    EXPECT_FALSE(tells(7100, "b", 6900, 3, 101, "me before"));
    EXPECT_TRUE(tells(9200, "b", 9000, 3, 101, "me before"));
    EXPECT_EQ(peer.last().incarnation, "b");
    EXPECT_EQ(peer.responses_covered_until(500, 100), 5000) << "vouched for by echoes alone";
}

TEST(ControllerTest, TheVeryFirstChangeOfAnEmptyStoreIsSeen) {
    // A reading at revision 0 once made the node follow changes from 1 on: it never saw the
    // leader's key, the store's first change, and campaigned for ever.
    spdlog::set_level(spdlog::level::off);
    PlatformSettings p;
    p.controller_name = "n0";
    p.zones = {"a"};
    Controller controller(p, {}, 1);
    Outputs out = controller.step(1000, TickInput{});
    bool watched = false;
    for (int i = 0; i < 40; ++i) {
        Outputs next;
        for (Output& o : out) {
            auto* s = std::get_if<StoreRequest>(&o);
            if (!s) {
                continue;
            }
            if (s->operation == StoreOperation::changes) {
                EXPECT_EQ(s->after, 0U);
                watched = true;
            }
            if (s->operation != StoreOperation::list) {
                continue;
            }
            StoreResponse r;
            r.call = s->call;
            r.status = StoreStatus::ok;
            for (Output& n : controller.step(1000 + i, r)) {
                next.push_back(std::move(n));
            }
        }
        out = std::move(next);
    }
    EXPECT_TRUE(watched);
}

// What a follower at rest does is counted, since each message costs a small controller more than
// what is computed for it. (It woke 20 times a second, told everybody twice a second, and its watch
// returned with every single change.)
TEST(Pacing, AFollowerAtRestWakesTellsAndWatchesSeldom) {
    spdlog::set_level(spdlog::level::off);
    PlatformSettings p;
    p.controller_name = "n0";
    p.zones = {"a"};
    for (const char* name : {"n1", "n2", "n3", "n4"}) {
        p.peers.push_back({name, ""});
    }
    Controller controller(p, {}, 1);
    int wakes = 0, told_leader = 0, told_others = 0, polled_wakes = 0, watches = 0;
    std::uint64_t revision = 10;
    Ms now = 1000, end = 21000, wake = 1000;
    while (now < end) {
        std::vector<Output> out = controller.step(now, TickInput{});
        ++wakes;
        for (std::size_t i = 0; i < out.size(); ++i) {
            Output o = out[i];
            if (auto* s = std::get_if<StoreRequest>(&o);
                s && s->operation == StoreOperation::list) {
                StoreResponse r;
                r.call = s->call;
                r.status = StoreStatus::ok;
                r.revision = revision;
                if (s->key == keys::kLeader) {
                    r.rows = {{keys::kLeader, encode_leader({"n2", "n2-1"}), 9}};
                }
                for (Output& n : controller.step(now, r)) {
                    out.push_back(std::move(n));
                }
            } else if (s && s->operation == StoreOperation::changes) {
                // Something changes all the time: every watch is answered at once.
                ++watches;
                StoreResponse r;
                r.call = s->call;
                r.status = StoreStatus::ok;
                r.revision = ++revision;
                for (Output& n : controller.step(now, r)) {
                    out.push_back(std::move(n));
                }
            } else if (auto* t = std::get_if<PeerSend>(&o)) {
                (t->peer == 1 ? told_leader : told_others) += 1;
            } else if (auto* w = std::get_if<WakeAt>(&o)) {
                wake = w->at;
            }
        }
        ASSERT_GT(wake, now);
        now = wake;
    }
    EXPECT_LE(wakes, 20 * 7);  // 250 ms, when peers are told, and when the watch is due
    EXPECT_LE(told_leader, 21);
    EXPECT_GE(told_leader, 19);
    EXPECT_LE(told_others, 3 * 11);
    EXPECT_GE(told_others, 3 * 9);
    EXPECT_LE(watches, 20 * 2 + 1);
    EXPECT_GE(watches, 20 * 2 - 2);
    // With a question open it looks more often again: nobody waits for a follower's sleep.
    for (const Output& o : controller.step(now, PollRequest{1, "j-1"})) {
        if (auto* w = std::get_if<WakeAt>(&o)) {
            polled_wakes += w->at <= now + 50;
        }
    }
    EXPECT_EQ(polled_wakes, 1);
}

// The state service and its first leader, so far as one node needs them to be elected.
struct ElectedController {
    PlatformSettings platform_settings;
    std::unique_ptr<Controller> controller;
    Ms now = 1000;
    std::uint64_t revision = 10;
    Outputs seen;

    ElectedController() {
        spdlog::set_level(spdlog::level::off);
        platform_settings.controller_name = "n0";
        platform_settings.zones = {"a"};
        platform_settings.peers = {{"n1", ""}, {"n2", ""}};
        controller = std::make_unique<Controller>(platform_settings, test_operator_settings(), 1);
    }
    // One turn; what the state service is asked it answers at once, in turns of their own.
    void turn(const std::vector<Input>& inputs) {
        Outputs out = controller->step(now, inputs);
        for (std::size_t i = 0; i < out.size(); ++i) {
            if (const auto* call = std::get_if<StoreRequest>(&out[i]); call && call->wait_ms == 0) {
                StoreResponse reply;
                reply.call = call->call;
                reply.status = StoreStatus::ok;
                reply.lease = 7;
                reply.revision =
                    call->operation == StoreOperation::transaction ? ++revision : revision;
                for (Output& next : controller->step(now, Input{reply})) {
                    out.push_back(std::move(next));
                }
            }
        }
        seen.insert(seen.end(), out.begin(), out.end());
    }
    bool elect() {
        for (int i = 0; i < 40 && !controller->leading(); ++i) {
            now += 50;
            seen.clear();
            turn({TickInput{}});
        }
        return controller->leading();
    }
    std::ptrdiff_t told_peers() const {
        return std::count_if(seen.begin(), seen.end(),
                             [](const Output& o) { return std::holds_alternative<PeerSend>(o); });
    }
};

// With an election peers are told at once: a leader that only they reach hears of the higher token
// without waiting for the next regular message.
TEST(Pacing, AnElectionIsToldAtOnce) {
    ElectedController elected;
    ASSERT_TRUE(elected.elect());
    EXPECT_EQ(elected.told_peers(), 2);
}

// Under load one turn of the event loop brings many messages: one round of decisions serves them
// all, and what leases hang on is answered before health checks and users.
TEST(Overload, OneRoundServesAllThatCameTogetherMostUrgentFirst) {
    ElectedController elected;
    ASSERT_TRUE(elected.elect());
    std::vector<Input> inputs{CancelRequest{1, "j-1"}, ReadyRequest{2}};
    for (RequestId request = 3; request < 103; ++request) {
        HeartbeatRequest heartbeat;
        heartbeat.request = request;
        heartbeat.worker_status.machine = "host-" + std::to_string(request);
        heartbeat.worker_status.machine_type = "small";
        heartbeat.worker_status.zone = "a";
        heartbeat.worker_status.incarnation = 1;
        heartbeat.worker_status.sequence = 1;
        inputs.push_back(heartbeat);
    }
    elected.seen.clear();
    Outputs out = elected.controller->step(elected.now, inputs);
    int rounds = 0;
    int heartbeats_answered = 0;
    for (const Output& o : out) {
        rounds += std::holds_alternative<WakeAt>(o);
        heartbeats_answered += std::holds_alternative<HeartbeatResponse>(o);
        if (std::holds_alternative<UserResponse>(o)) {
            EXPECT_EQ(heartbeats_answered, 100) << "a health check was answered before reports";
        }
    }
    EXPECT_EQ(rounds, 1);
    EXPECT_EQ(heartbeats_answered, 100);
}

TEST(Pacing, SafetyWritesGoFirstAndTheAllowanceHolds) {
    StoreClient pending(StoreLimits{1000, 10, 4, 8}, std::nullopt, 3);
    pending.set_leading(true);
    Outputs out;
    pending.pump(0, out);
    std::vector<std::string> sent;
    auto put = [&](RequestPriority u, const std::string& key) {
        Transaction t;
        t.writes = {{key, Json(1), 0}};
        pending.transaction(u, std::move(t), [](Ms, const StoreResponse&) {});
    };
    for (int i = 0; i < 60; ++i) {
        put(RequestPriority::progress, "p");
    }
    put(RequestPriority::cancel, "c");
    for (Ms t = 0; t <= 3000; t += 50) {
        pending.pump(t, out);
    }
    for (Output& o : out) {
        sent.push_back(std::get<StoreRequest>(o).transaction.writes[0].key);
    }
    EXPECT_EQ(sent.at(0), "c");
    EXPECT_LE(sent.size(), 3 * 10 + 10U);
    EXPECT_GE(sent.size(), 15U);
}

}  // namespace
}  // namespace walkford
