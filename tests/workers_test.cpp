// The leader's dialogue with workers: one-way partitions, stale heartbeats, quarantine, deferred
// responses.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_bench.hpp"

namespace walkford {
namespace {

TEST(OneWayPartition, SendsNoCommandOnAHeartbeatWithoutOurToken) {
    // A late copy from before the election: nobody takes in the answer.
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    bench.job(bench.spec("j-1", 4));
    bench.pass(600);
    EXPECT_TRUE(bench.heartbeat("host-1", {}, 40).empty());
    EXPECT_EQ(bench.heartbeat("host-1").size(), 1U);
}

TEST(OneWayPartition, ReleasesAMachineThatNeverAcknowledgesAndRerunsItsTask) {
    LeaderBench bench([](LeaderBench& b) { b.operator_settings.max_idle_cost = 0; });
    bench.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    bench.job(bench.spec("j-1", 4));
    bench.job(bench.spec("j-2", 8));
    bench.pass(600);
    std::string deaf = bench.where("j-1");
    ASSERT_NE(deaf, "");
    std::string back;
    for (int i = 0; i < 60 && back.empty(); ++i) {
        bench.pass(1000);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            bench.heartbeat(host);
        }
        for (const CloudRequest& c : bench.asked) {
            if (c.operation != CloudOperation::scale_in) {
                continue;
            }
            if (std::count(c.names.begin(), c.names.end(), deaf) > 0) {
                back = deaf;
                EXPECT_EQ(bench.where("j-1"), deaf) << "counted there until the cloud has taken it";
            }
            CloudResponse r;
            r.call = c.call;
            r.status = CloudCallStatus::ok;
            bench.context->cloud.reply(bench.now, r);
        }
        bench.asked.clear();
    }
    EXPECT_EQ(back, deaf);
    bench.pass(1000);
    EXPECT_NE(bench.where("j-1"), deaf);
}

// A new machine reports once, is given work, and ends before it reports again or the cloud lists
// it.
TEST(OneWayPartition, ReleasesAMachineThatEndsAfterItsFirstHeartbeat) {
    LeaderBench bench;
    bench.lead({});
    bench.job(bench.spec("j-1", 4));
    auto answer_all = [&](CloudOperation operation, const std::vector<std::string>& names) {
        int answered = 0;
        for (const CloudRequest& call : std::exchange(bench.asked, {})) {
            if (call.operation == operation) {
                CloudResponse reply;
                reply.call = call.call;
                reply.status = CloudCallStatus::ok;
                reply.names = names;
                bench.context->cloud.reply(bench.now, reply);
                ++answered;
            }
        }
        return answered;
    };
    for (int i = 0; i < 20 && bench.cluster().machines.empty(); ++i) {
        bench.pass(1000);
        answer_all(CloudOperation::scale_out, {"host-1"});
    }
    bench.heartbeat("host-1", {}, 0);
    bench.pass(1000);
    EXPECT_EQ(bench.where("j-1"), "host-1");
    int released = 0;
    for (int i = 0; i < 120 && released == 0; ++i) {
        bench.pass(1000);
        released = answer_all(CloudOperation::scale_in, {});
    }
    EXPECT_EQ(released, 1);
    EXPECT_EQ(bench.where("j-1"), "");
}

TEST(StaleHeartbeat, ReclaimNoticeEndsWithTheNextHeartbeat) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    Id m = bench.cluster().find_machine("host-1");
    HeartbeatRequest copy;
    copy.request = 900;
    copy.worker_status.machine = "host-1";
    copy.worker_status.incarnation = 1;
    copy.worker_status.sequence = bench.sequence + 1;
    copy.worker_status.fencing_token = 50;
    copy.worker_status.notice_s = 5;
    bench.leader->heartbeat(bench.now, copy);
    EXPECT_GE(bench.cluster().machines[m].worker.reclaim_at, 0);
    bench.sequence += 2;
    bench.heartbeat("host-1");
    EXPECT_LT(bench.cluster().machines[m].worker.reclaim_at, 0);
}

TEST(Quarantine, ReplacesAMachineThatFailsTwoJobs) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    bench.job(bench.spec("j-1", 2));
    bench.job(bench.spec("j-2", 2));
    bench.pass(600);
    bench.heartbeat("host-1");
    bench.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "error", false},
                               {"j-2", 0, 1, TaskState::exited, "error", false}});
    bench.pass(3000);
    bool returned = false;
    for (const CloudRequest& c : bench.asked) {
        returned |= c.operation == CloudOperation::scale_in;
    }
    EXPECT_TRUE(returned);
}

TEST(Quarantine, FindsFailingMachinesAmongJobsThatFailedOnSeveral) {
    // With one machine in six sick every gang meets two: both were excused, and neither ever found.
    LeaderBench bench;
    bench.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    auto fail_on = [&](const std::string& id, const std::string& host, std::uint32_t attempt) {
        bench.heartbeat(host);
        bench.heartbeat(host, {{id, 0, attempt, TaskState::exited, "error", false}});
        bench.pass(200);
    };
    bench.job(bench.spec("j-1", 8));
    bench.pass(600);
    std::string first = bench.where("j-1");
    fail_on("j-1", first, 1);
    bench.pass(3000);
    std::string second = bench.where("j-1");
    ASSERT_NE(second, "");
    ASSERT_NE(second, first);
    fail_on("j-1", second, 2);
    bench.job(bench.spec("j-2", 8));
    bench.job(bench.spec("j-3", 8));
    for (int i = 0; i < 12; ++i) {
        bench.pass(500);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            bench.heartbeat(host);
        }
    }
    // j-2 or j-3 fails on a machine that j-1 failed on: that makes two, and it goes.
    for (const char* id : {"j-1", "j-2", "j-3"}) {
        std::string host = bench.where(id);
        if (host != first && host != second) {
            continue;
        }
        Id job = bench.leader->context().cluster.find_job(id);
        fail_on(id, host, bench.leader->context().cluster.task({job, 0}).attempt);
    }
    int quarantined = 0;
    for (const Machine& m : bench.cluster().machines) {
        quarantined += m.health.quarantined;
    }
    EXPECT_GE(quarantined, 1);
}

TEST(Quarantine, BacksOffAJobThatFailsWhereOthersSucceed) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}, {"host-2", 0}});
    bench.job(bench.spec("j-9", 8));
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < 40 && bench.where("j-9").empty(); ++i) {
            bench.pass(500);
            for (const char* host : {"host-1", "host-2"}) {
                bench.heartbeat(host);
            }
        }
        std::string host = bench.where("j-9");
        if (host.empty()) {
            break;
        }
        Id job = bench.leader->context().cluster.find_job("j-9");
        bench.heartbeat(host);
        bench.heartbeat(host, {{"j-9", 0, bench.leader->context().cluster.task({job, 0}).attempt,
                                TaskState::exited, "error", false}});
        // Another job completes there.
        std::string good = "j-1" + std::to_string(round);
        bench.job(bench.spec(good, 8));
        for (int i = 0; i < 12 && bench.where(good).empty(); ++i) {
            bench.pass(500);
            for (const char* h : {"host-1", "host-2"}) {
                bench.heartbeat(h);
            }
        }
        std::string at = bench.where(good);
        if (at.empty()) {
            continue;
        }
        bench.heartbeat(at);
        bench.heartbeat(at, {{good, 0, 1, TaskState::exited, "done", false}});
        bench.pass(300);
    }
    for (const Machine& m : bench.cluster().machines) {
        EXPECT_FALSE(m.health.quarantined) << m.name;
    }
    EXPECT_GE(bench.cluster()
                  .jobs[bench.leader->context().cluster.find_job("j-9")]
                  .exonerated_machines.size(),
              1U);
}

// `run` travels in answers only. Answered at once, the report of an end found the next task of its
// machine not yet durable, and the place stood empty until the next report, 5 s later.
TEST(DeferredHeartbeat, IsAnsweredWithTheCommandsItWaitsFor) {
    for (bool hold : {true, false}) {
        LeaderBench bench(
            [&](LeaderBench& b) { b.operator_settings.response_hold_s = hold ? 0.4 : 0; });
        bench.lead({{"host-1", 0}});
        bench.job(bench.spec("j-first", 8));
        bench.pass(200);
        ASSERT_EQ(bench.heartbeat("host-1").size(), 1U);
        bench.job(bench.spec("j-next", 8));
        bench.pass(200);
        bench.heartbeat("host-1", {{"j-first", 0, 1, TaskState::exited, "done", false}});
        bool at_once = bench.answers.count(bench.sequence) > 0;
        bench.pass(200);
        ASSERT_TRUE(bench.answers.count(bench.sequence));
        std::vector<WorkerCommand> commands = bench.answers[bench.sequence].commands;
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
TEST(DeferredHeartbeat, IsAnsweredAtItsDeadline) {
    LeaderBench bench([](LeaderBench& b) { b.operator_settings.response_hold_s = 0.4; });
    bench.lead({{"host-1", 0}});
    bench.job(bench.spec("j-first", 8));
    bench.pass(200);
    bench.heartbeat("host-1");
    bench.answer_writes = false;
    bench.heartbeat("host-1", {{"j-first", 0, 1, TaskState::exited, "done", false}});
    bench.pass(350);
    EXPECT_FALSE(bench.answers.count(bench.sequence));
    bench.pass(100);
    ASSERT_TRUE(bench.answers.count(bench.sequence));
    EXPECT_EQ(bench.answers[bench.sequence].code, 200);
    EXPECT_TRUE(bench.answers[bench.sequence]
                    .commands.empty());  // the end is not durable: nothing is cleared
}

TEST(DeferredHeartbeat, OfAnIdleMachineIsAnsweredOnceItIsGivenWork) {
    LeaderBench bench([](LeaderBench& b) { b.operator_settings.idle_response_hold_s = 2.5; });
    bench.lead({{"host-1", 0}});
    bench.pass(2600);  // the first report is answered for want of work
    ASSERT_TRUE(bench.answers.count(bench.sequence));
    bench.heartbeat("host-1");
    RequestId held = bench.sequence;
    bench.pass(1000);
    EXPECT_FALSE(bench.answers.count(held));
    bench.job(bench.spec("j-work", 8));
    bench.pass(100);
    ASSERT_TRUE(bench.answers.count(held));
    ASSERT_EQ(bench.answers[held].commands.size(), 1U);
    EXPECT_EQ(bench.answers[held].commands[0].type, WorkerCommandType::run);
    // With a task it is answered at once: its news must not wait.
    bench.heartbeat("host-1", {{"j-work", 0, 1, TaskState::running, "", false}});
    EXPECT_TRUE(bench.answers.count(bench.sequence));
}

// A machine that came back after its lease and whose report was held was taken for lost at once,
// since its last answer lay a lease back; its later reports then counted as older than the loss,
// and it stood there unused.
TEST(DeferredHeartbeat, KeepsTheLeaseOfItsMachine) {
    LeaderBench bench([](LeaderBench& b) {
        b.operator_settings.idle_response_hold_s = 2.5;
        b.operator_settings.mark_low = 0;  // it is kept
        b.operator_settings.max_idle_cost = 0;
    });
    bench.lead({{"host-1", 0}});
    bench.pass(14000);
    ASSERT_TRUE(bench.cluster().machines[0].worker.lease_expired);
    bench.heartbeat("host-1", {}, 50, 2);
    bench.pass(500);
    EXPECT_FALSE(bench.answers.count(bench.sequence));
    EXPECT_FALSE(bench.cluster().machines[0].worker.lease_expired);
}

// Who leads no more owes an answer to every report it holds.
TEST(DeferredHeartbeat, IsRefusedAtTheEndOfATerm) {
    LeaderBench bench([](LeaderBench& b) { b.operator_settings.idle_response_hold_s = 2.5; });
    bench.lead({{"host-1", 0}});
    bench.heartbeat("host-1");
    RequestId held = bench.sequence;
    ASSERT_FALSE(bench.answers.count(held));
    bench.leader.reset();
    bench.drain();
    ASSERT_TRUE(bench.answers.count(held));
    EXPECT_EQ(bench.answers[held].code, 503);
}

}  // namespace
}  // namespace walkford
