// Placement: order of jobs, gangs, reservations, quota, and machines left to those who need them.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "leader_bench.hpp"

namespace walkford {
namespace {

TEST(Placement, OrdersByPriorityThenAge) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    JobSpec old = bench.spec("j-1", 8), young = bench.spec("j-2", 8), urgent = bench.spec("j-3", 8);
    urgent.priority = Priority::high;
    bench.job(old);
    bench.job(young);
    bench.job(urgent);
    bench.pass(500);
    EXPECT_EQ(bench.where("j-3"), "host-1");
    EXPECT_EQ(bench.where("j-1"), "");
}

TEST(Placement, AssignsAGangWholeOrNotAtAll) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}, {"host-2", 0}});
    bench.job(bench.spec("j-1", 5, 3, true));
    bench.pass(1000);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_EQ(bench.where("j-1", i), "");
    }
    bench.job(bench.spec("j-2", 5, 2, true));
    bench.pass(1000);
    EXPECT_NE(bench.where("j-2", 0), "");
    EXPECT_NE(bench.where("j-2", 1), "");
}

// Work of higher priority keeps coming and ends every ten seconds; when does the low one begin?
Ms low_begins_after(double priority_aging_s) {
    LeaderBench bench(
        [&](LeaderBench& b) { b.operator_settings.priority_aging_s = priority_aging_s; });
    bench.lead({{"host-1", 0}});
    JobSpec low = bench.spec("j-low", 8);
    low.priority = Priority::best_effort;
    bench.job(bench.spec("j-0", 8));
    bench.job(low);
    Ms began = bench.now;
    for (int n = 0; bench.now < began + 400000; ++n) {
        std::string here = "j-" + std::to_string(n);
        bench.job(bench.spec("j-" + std::to_string(n + 1), 8));
        bench.heartbeat("host-1");
        for (int i = 0; i < 10; ++i) {
            bench.pass(1000);
            bench.heartbeat("host-1", {{here, 0, 1, TaskState::running, "", false}});
        }
        bench.heartbeat("host-1", {{here, 0, 1, TaskState::exited, "done", false}});
        bench.pass(1000);
        if (!bench.where("j-low").empty()) {
            return bench.now - began;
        }
    }
    return -1;
}

TEST(Placement, StartsLowPriorityWithinFourMinutesUnderSteadyLoad) {
    Ms after = low_begins_after(OperatorSettings{}.priority_aging_s);
    EXPECT_GE(after, 90000);  // it is still the lowest
    EXPECT_LE(after, 240000);
    EXPECT_EQ(low_begins_after(0), -1) << "without the rise it waits for ever";
}

// Keeps machines half full: short jobs run on them, end at different times, and each that ends is
// followed by another.
class ShortJobs {
  public:
    ShortJobs(LeaderBench& bench, std::vector<std::string> hosts)
        : bench_(bench), hosts_(std::move(hosts)) {}

    void submit() {
        JobSpec spec = bench_.spec("j-a" + std::to_string(next_++), 4);
        spec.estimate_s = 20;
        bench_.job(spec);
    }
    // Sends a heartbeat of every machine, with the ends of the jobs that are over by now.
    void step() {
        std::vector<std::string> over = find_over();
        send_heartbeats(over);
        for (const std::string& id : over) {
            runs_.erase(id);
            submit();
        }
    }

  private:
    struct Run {
        std::string host;
        Ms ends_at = 0;
    };

    std::vector<std::string> find_over() {
        std::vector<std::string> over;
        for (const Job& job : bench_.cluster().jobs) {
            const std::string& id = job.spec.id;
            if (!job.alive || id == "j-gang" || bench_.where(id).empty()) {
                continue;
            }
            Run run{bench_.where(id), bench_.now + 12000 + static_cast<Ms>(1700 * (next_++ % 9))};
            auto [it, inserted] = runs_.try_emplace(id, std::move(run));
            if (!inserted && bench_.now >= it->second.ends_at) {
                over.push_back(id);
            }
        }
        return over;
    }
    void send_heartbeats(const std::vector<std::string>& over) {
        std::map<std::string, std::vector<ReportedTask>> reports;
        for (const std::string& host : hosts_) {
            reports[host];
        }
        for (const auto& [id, run] : runs_) {
            bool ends = std::find(over.begin(), over.end(), id) != over.end();
            reports[run.host].push_back({id, 0, 1, ends ? TaskState::exited : TaskState::running,
                                         ends ? "done" : "", false});
        }
        for (auto& [host, tasks] : reports) {
            bench_.heartbeat(host, tasks);
        }
    }

    LeaderBench& bench_;
    std::vector<std::string> hosts_;
    std::map<std::string, Run> runs_;  // by job
    int next_ = 0;
};

// Twelve machines of one zone, each always half full of short tasks that end at different times;
// arrays keep coming. A gang of eight that needs eight empty halves at once, as on the grown
// deployments.
Ms gang_begins_after(std::uint32_t reserving_gangs) {
    LeaderBench bench([&](LeaderBench& b) {
        b.operator_settings.max_reserving_gangs = reserving_gangs;
        b.platform_settings.teams[0].quota = {0, 0, 0};
    });
    std::vector<std::string> hosts;
    std::vector<std::pair<std::string, int>> machines;
    for (int i = 0; i < 12; ++i) {
        hosts.push_back("host-" + std::to_string(10 + i));
        machines.emplace_back(hosts.back(), 0);
    }
    bench.lead(machines);
    ShortJobs short_jobs(bench, hosts);
    for (int i = 0; i < 30; ++i) {
        short_jobs.submit();
    }
    bench.pass(1000);
    JobSpec gang = bench.spec("j-gang", 8, 8, true);
    gang.one_zone = true;
    bench.job(gang);
    Ms submitted_at = bench.now;
    while (bench.now < submitted_at + 400000) {
        bench.pass(500);
        if (!bench.where("j-gang").empty()) {
            return bench.now - submitted_at;
        }
        short_jobs.step();
    }
    return -1;
}

// Two arrays, one place. The first has begun only after it had risen; what it has risen to protects
// its tasks, and is no reason why the other should wait for all of them. (On a day with six times
// the usual scoring jobs, 67 of 187 had begun; now 177.)
TEST(Placement, StartsAnArrayBeforeTheRestOfAnother) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    auto run = [&bench](const char* id, std::uint32_t task, Ms span) {
        bench.pass(500);
        for (Ms end = bench.now + span; bench.now < end; bench.pass(1000)) {
            bench.heartbeat("host-1", {{id, task, 1, TaskState::running, "", false}});
        }
        bench.heartbeat("host-1", {{id, task, 1, TaskState::exited, "done", false}});
        bench.pass(500);
    };
    bench.job(bench.spec("j-before", 8));
    bench.pass(500);
    bench.job(bench.spec("j-first", 8, 40));
    run("j-before", 0, 110000);
    ASSERT_EQ(bench.where("j-first"), "host-1");
    bench.job(bench.spec("j-other", 8, 40));
    Ms began = bench.now;
    std::uint32_t done = 0;
    while (bench.where("j-other").empty() && done < 30) {
        run("j-first", done++, 8000);
    }
    EXPECT_FALSE(bench.where("j-other").empty());
    EXPECT_GE(bench.now - began, 100000);
    EXPECT_LE(bench.now - began, 130000);
}

// A gang that lost a member holds a part of its team's limit, and one that waits for the whole
// limit comes first: kept back by it, the lost member was never replaced, and both waited for ever.
TEST(Placement, CompletesAGangBeforeJobsThatWaitForTheQuota) {
    LeaderBench bench([](LeaderBench& b) { b.platform_settings.teams[0].quota.cpus = 16; });
    bench.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    JobSpec first = bench.spec("j-1", 8, 2, true);
    first.any_machine_type = false;
    first.machine_types = {1};
    bench.job(first);
    bench.job(bench.spec("j-2", 6, 2, true));
    bench.pass(300);
    std::string lost = bench.where("j-2", 1);
    ASSERT_FALSE(lost.empty());
    for (int round = 0; round < 2; ++round) {
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            bench.heartbeat(host);
        }
        bench.pass(300);
    }
    bench.heartbeat(lost, {{"j-2", 1, 1, TaskState::waiting, "", false}});
    bench.heartbeat(lost, {}, 50, 2);  // a new session: all that was there is gone
    EXPECT_EQ(bench.where("j-2", 1), "");
    bench.pass(1000);
    EXPECT_FALSE(bench.where("j-2", 0).empty());
    EXPECT_FALSE(bench.where("j-2", 1).empty());
    ClusterState& b = bench.leader->context().cluster;
    EXPECT_EQ(b.task({b.find_job("j-2"), 1}).attempt, 1U);
}

// A member is lost, a write that says so gets no answer, and it is replaced on the same machine
// under the same attempt. The record as last confirmed says just that, so it was run at once; then
// the write was carried out late, and the next leader ran it a second time, elsewhere.
TEST(Placement, IsNotDurableWhileAnUnansweredWriteDiffers) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}, {"host-2", 0}});
    bench.job(bench.spec("j-1", 5, 2, true));
    bench.pass(300);
    for (int round = 0; round < 2; ++round) {
        for (const char* host : {"host-1", "host-2"}) {
            bench.heartbeat(host);
        }
        bench.pass(300);
    }
    std::string lost = bench.where("j-1", 1);
    ASSERT_FALSE(lost.empty());
    bench.heartbeat(lost, {{"j-1", 1, 1, TaskState::waiting, "", false}});
    bench.answer_writes = false;
    // Nothing else fits it for the moment, so its loss is written down.
    bench.leader->context()
        .cluster.machines[bench.leader->context().cluster.find_machine("host-1")]
        .health.backoff_until = bench.now + 400;
    bench.leader->context()
        .cluster.machines[bench.leader->context().cluster.find_machine("host-2")]
        .health.backoff_until = bench.now + 400;
    std::size_t before = bench.written.size();
    bench.heartbeat(lost, {}, 50, 2);
    bench.pass(300);
    ASSERT_GT(bench.written.size(), before);
    bench.pass(300);
    ASSERT_EQ(bench.where("j-1", 1), lost);
    auto runs = [&] {
        int n = 0;
        bench.heartbeat(lost, {}, 50, 2);
        bench.pass(600);  // an answer may be held for what it should carry
        for (auto& [request, answer] : bench.answers) {
            for (const WorkerCommand& o : answer.commands) {
                n += request == bench.sequence && o.type == WorkerCommandType::run && o.task == 1;
            }
        }
        return n;
    };
    EXPECT_EQ(runs(), 0);
    bench.answer_writes = true;
    // The write that got no answer is given up, and what holds now is written and confirmed.
    StoreResponse none;
    for (none.call = 1; none.call < 40; ++none.call) {
        bench.context->store.reply(bench.now, none);
    }
    bench.pass(600);
    EXPECT_EQ(runs(), 1);
}

TEST(Placement, ReservesMachinesForALargeGangWithinABound) {
    Ms after = gang_begins_after(OperatorSettings{}.max_reserving_gangs);
    EXPECT_GE(after, 0);
    EXPECT_LE(after, 90000);
    EXPECT_EQ(gang_begins_after(0), -1) << "without gathering, arrays take every place";
}

TEST(Placement, DoesNotStarveALargeTaskAtItsTeamsQuota) {
    // The team may use 10 cores. What comes first waits for the limit; small tasks that come later
    // once took every context that freed up.
    LeaderBench bench([](LeaderBench& b) { b.platform_settings.teams[0].quota = {10, 0, 0}; });
    bench.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    bench.job(bench.spec("j-1", 4, 2));
    bench.pass(500);
    bench.job(bench.spec("j-2", 6));
    bench.job(bench.spec("j-3", 1, 20));
    bench.pass(1500);
    EXPECT_EQ(bench.where("j-3"), "");
    std::string first = bench.where("j-1");
    bench.heartbeat(first);
    bench.heartbeat(first, {{"j-1", 0, 1, TaskState::exited, "done", false}});
    bench.pass(1000);
    EXPECT_NE(bench.where("j-2"), "");
}

TEST(Placement, LeavesGpuMachinesToGpuTasks) {
    LeaderBench bench;
    bench.lead({{"gpu-1", 1}, {"host-1", 0}});
    JobSpec gpu = bench.spec("j-1", 10);
    gpu.each.gpus = 1;
    gpu.job_class = bench.context->names.job_classes.intern("train");
    bench.job(gpu);
    JobSpec plain = bench.spec("j-2", 4);
    plain.job_class = bench.context->names.job_classes.intern("batch");
    bench.job(plain);
    bench.pass(600);
    EXPECT_EQ(bench.where("j-1"), "gpu-1");
    EXPECT_EQ(bench.where("j-2"), "host-1");
}

}  // namespace
}  // namespace walkford
