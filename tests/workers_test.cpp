// Tests how the leader handles workers: one-way partitions, stale heartbeats, quarantine and
// deferred responses.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_bench.hpp"

namespace walkford {
namespace {

TEST(OneWayPartition, SendsNoCommandOnAHeartbeatWithoutOurToken) {
    // This may be a delayed duplicate from before the election, whose response no worker processes.
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    bench.job(bench.spec("j-1", 4));
    bench.pass(600);
    EXPECT_TRUE(bench.heartbeat("host-1", {}, 40).empty());
    EXPECT_EQ(bench.heartbeat("host-1").size(), 1U);
}

TEST(OneWayPartition, ReleasesAMachineThatReceivesNoResponsesAndRerunsItsTask) {
    LeaderBench bench(
        [](LeaderBench& configured) { configured.operator_settings.max_idle_cost = 0; });
    bench.lead({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    bench.job(bench.spec("j-1", 4));
    bench.job(bench.spec("j-2", 8));
    bench.pass(600);
    std::string unreachable = bench.where("j-1");
    ASSERT_NE(unreachable, "");
    std::string released;
    for (int second = 0; second < 60 && released.empty(); ++second) {
        bench.pass(1000);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            bench.heartbeat(host);
        }
        for (const CloudRequest& request : bench.asked) {
            if (request.operation != CloudOperation::scale_in) {
                continue;
            }
            if (std::count(request.names.begin(), request.names.end(), unreachable) > 0) {
                released = unreachable;
                EXPECT_EQ(bench.where("j-1"), unreachable)
                    << "the task left its machine before the cloud confirmed the release";
            }
            CloudResponse response;
            response.call = request.call;
            response.status = CloudCallStatus::ok;
            bench.context->cloud.reply(bench.now, response);
        }
        bench.asked.clear();
    }
    EXPECT_EQ(released, unreachable);
    bench.pass(1000);
    EXPECT_NE(bench.where("j-1"), unreachable);
}

// A new machine sends one heartbeat, is given a task, and terminates before it sends another one
// and before the cloud lists it.
TEST(OneWayPartition, ReleasesAMachineThatTerminatesAfterItsFirstHeartbeat) {
    LeaderBench bench;
    bench.lead({});
    bench.job(bench.spec("j-1", 4));
    auto complete_cloud_requests = [&](CloudOperation operation,
                                       const std::vector<std::string>& names) {
        int completed = 0;
        for (const CloudRequest& request : std::exchange(bench.asked, {})) {
            if (request.operation == operation) {
                CloudResponse response;
                response.call = request.call;
                response.status = CloudCallStatus::ok;
                response.names = names;
                bench.context->cloud.reply(bench.now, response);
                ++completed;
            }
        }
        return completed;
    };
    for (int second = 0; second < 20 && bench.cluster().machines.empty(); ++second) {
        bench.pass(1000);
        complete_cloud_requests(CloudOperation::scale_out, {"host-1"});
    }
    bench.heartbeat("host-1", {}, 0);
    bench.pass(1000);
    EXPECT_EQ(bench.where("j-1"), "host-1");
    int released = 0;
    for (int second = 0; second < 120 && released == 0; ++second) {
        bench.pass(1000);
        released = complete_cloud_requests(CloudOperation::scale_in, {});
    }
    EXPECT_EQ(released, 1);
    EXPECT_EQ(bench.where("j-1"), "");
}

TEST(StaleHeartbeat, ReclaimNoticeIsRevokedByTheNextHeartbeatWithoutOne) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    Id machine_id = bench.cluster().find_machine("host-1");
    HeartbeatRequest request_with_notice;
    request_with_notice.request = 900;
    request_with_notice.worker_status.machine = "host-1";
    request_with_notice.worker_status.incarnation = 1;
    request_with_notice.worker_status.sequence = bench.sequence + 1;
    request_with_notice.worker_status.fencing_token = 50;
    request_with_notice.worker_status.notice_s = 5;
    bench.leader->heartbeat(bench.now, request_with_notice);
    EXPECT_GE(bench.cluster().machines[machine_id].worker.reclaim_at, 0);
    bench.sequence += 2;
    bench.heartbeat("host-1");
    EXPECT_LT(bench.cluster().machines[machine_id].worker.reclaim_at, 0);
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
    bool released = false;
    for (const CloudRequest& request : bench.asked) {
        released |= request.operation == CloudOperation::scale_in;
    }
    EXPECT_TRUE(released);
}

TEST(Quarantine, QuarantinesFaultyMachinesWhenJobsHaveFailedOnSeveral) {
    // With one machine in six faulty, every gang fails on two of them. Jobs that had failed on two
    // machines once counted against no machine, so the faulty machines were never quarantined.
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
    for (int step = 0; step < 12; ++step) {
        bench.pass(500);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            bench.heartbeat(host);
        }
    }
    // j-2 or j-3 fails on a machine that j-1 failed on. Two jobs have then failed there, which
    // quarantines the machine.
    for (const char* id : {"j-1", "j-2", "j-3"}) {
        std::string host = bench.where(id);
        if (host != first && host != second) {
            continue;
        }
        Id job_id = bench.leader->context().cluster.find_job(id);
        fail_on(id, host, bench.leader->context().cluster.task({job_id, 0}).attempt);
    }
    int quarantined = 0;
    for (const Machine& machine : bench.cluster().machines) {
        quarantined += machine.health.quarantined;
    }
    EXPECT_GE(quarantined, 1);
}

TEST(Quarantine, BacksOffAJobThatFailsWhereOthersSucceed) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}, {"host-2", 0}});
    bench.job(bench.spec("j-9", 8));
    for (int round = 0; round < 6; ++round) {
        for (int step = 0; step < 40 && bench.where("j-9").empty(); ++step) {
            bench.pass(500);
            for (const char* host : {"host-1", "host-2"}) {
                bench.heartbeat(host);
            }
        }
        std::string host = bench.where("j-9");
        if (host.empty()) {
            break;
        }
        Id job_id = bench.leader->context().cluster.find_job("j-9");
        bench.heartbeat(host);
        bench.heartbeat(host, {{"j-9", 0, bench.leader->context().cluster.task({job_id, 0}).attempt,
                                TaskState::exited, "error", false}});
        // Another job completes on one of the machines.
        std::string completing_job = "j-1" + std::to_string(round);
        bench.job(bench.spec(completing_job, 8));
        for (int step = 0; step < 12 && bench.where(completing_job).empty(); ++step) {
            bench.pass(500);
            for (const char* machine : {"host-1", "host-2"}) {
                bench.heartbeat(machine);
            }
        }
        std::string completing_host = bench.where(completing_job);
        if (completing_host.empty()) {
            continue;
        }
        bench.heartbeat(completing_host);
        bench.heartbeat(completing_host,
                        {{completing_job, 0, 1, TaskState::exited, "done", false}});
        bench.pass(300);
    }
    for (const Machine& machine : bench.cluster().machines) {
        EXPECT_FALSE(machine.health.quarantined) << machine.name;
    }
    EXPECT_GE(bench.cluster()
                  .jobs[bench.leader->context().cluster.find_job("j-9")]
                  .exonerated_machines.size(),
              1U);
}

// `run` commands are sent only in responses to heartbeats. When a heartbeat that reported a
// completed task was answered at once, the machine's next task was not durable yet, and the machine
// stayed idle until its next heartbeat, 5 s later.
TEST(DeferredHeartbeat, IsAnsweredWithTheCommandsItWaitsFor) {
    for (bool defer : {true, false}) {
        LeaderBench bench([&](LeaderBench& configured) {
            configured.operator_settings.response_hold_s = defer ? 0.4 : 0;
        });
        bench.lead({{"host-1", 0}});
        bench.job(bench.spec("j-first", 8));
        bench.pass(200);
        ASSERT_EQ(bench.heartbeat("host-1").size(), 1U);
        bench.job(bench.spec("j-next", 8));
        bench.pass(200);
        bench.heartbeat("host-1", {{"j-first", 0, 1, TaskState::exited, "done", false}});
        bool answered_at_once = bench.answers.count(bench.sequence) > 0;
        bench.pass(200);
        ASSERT_TRUE(bench.answers.count(bench.sequence));
        std::vector<WorkerCommand> commands = bench.answers[bench.sequence].commands;
        EXPECT_EQ(answered_at_once, !defer);
        EXPECT_EQ(commands.size(), defer ? 2U : 0U);
        if (commands.size() != 2) {
            continue;
        }
        EXPECT_EQ(commands[0].type, WorkerCommandType::clear);
        EXPECT_EQ(commands[1].type, WorkerCommandType::run);
        EXPECT_EQ(commands[1].job, "j-next");
    }
}

// The deferral is bounded: when the store is slow, the renewal of the worker's lease must not wait
// for it.
TEST(DeferredHeartbeat, IsAnsweredAtItsDeadline) {
    LeaderBench bench(
        [](LeaderBench& configured) { configured.operator_settings.response_hold_s = 0.4; });
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
    // The completion is not durable yet, so the worker may not clear the task.
    EXPECT_TRUE(bench.answers[bench.sequence].commands.empty());
}

TEST(DeferredHeartbeat, OfAnIdleMachineIsAnsweredOnceItIsGivenWork) {
    LeaderBench bench(
        [](LeaderBench& configured) { configured.operator_settings.idle_response_hold_s = 2.5; });
    bench.lead({{"host-1", 0}});
    bench.pass(2600);  // the first heartbeat is answered at its deadline, as there is no work
    ASSERT_TRUE(bench.answers.count(bench.sequence));
    bench.heartbeat("host-1");
    RequestId deferred = bench.sequence;
    bench.pass(1000);
    EXPECT_FALSE(bench.answers.count(deferred));
    bench.job(bench.spec("j-work", 8));
    bench.pass(100);
    ASSERT_TRUE(bench.answers.count(deferred));
    ASSERT_EQ(bench.answers[deferred].commands.size(), 1U);
    EXPECT_EQ(bench.answers[deferred].commands[0].type, WorkerCommandType::run);
    // A machine that runs a task is answered at once, so that its next heartbeat is not delayed.
    bench.heartbeat("host-1", {{"j-work", 0, 1, TaskState::running, "", false}});
    EXPECT_TRUE(bench.answers.count(bench.sequence));
}

// A machine reported again after its lease had expired, and the response was deferred. The previous
// response was more than a lease duration old, so the lease expired again at once. Later heartbeats
// of the same incarnation were then rejected as stale, and the machine stayed unused.
TEST(DeferredHeartbeat, KeepsTheLeaseOfItsMachine) {
    LeaderBench bench([](LeaderBench& configured) {
        configured.operator_settings.idle_response_hold_s = 2.5;
        configured.operator_settings.mark_low = 0;  // the idle machine is not scaled in
        configured.operator_settings.max_idle_cost = 0;
    });
    bench.lead({{"host-1", 0}});
    bench.pass(14000);
    ASSERT_TRUE(bench.cluster().machines[0].worker.lease_expired);
    bench.heartbeat("host-1", {}, 50, 2);
    bench.pass(500);
    EXPECT_FALSE(bench.answers.count(bench.sequence));
    EXPECT_FALSE(bench.cluster().machines[0].worker.lease_expired);
}

// A leader whose term ends must answer every deferred heartbeat.
TEST(DeferredHeartbeat, IsRefusedAtTheEndOfATerm) {
    LeaderBench bench(
        [](LeaderBench& configured) { configured.operator_settings.idle_response_hold_s = 2.5; });
    bench.lead({{"host-1", 0}});
    bench.heartbeat("host-1");
    RequestId deferred = bench.sequence;
    ASSERT_FALSE(bench.answers.count(deferred));
    bench.leader.reset();
    bench.drain();
    ASSERT_TRUE(bench.answers.count(deferred));
    EXPECT_EQ(bench.answers[deferred].code, 503);
}

}  // namespace
}  // namespace walkford
