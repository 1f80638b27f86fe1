// Tests how the leader handles workers: one-way partitions, stale heartbeats, quarantine and
// deferred responses.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_harness.hpp"

namespace walkford {
namespace {

TEST(OneWayPartition, SendsNoCommandOnAHeartbeatWithoutOurToken) {
    // This may be a delayed duplicate from before the election, whose response no worker processes.
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(600);
    EXPECT_TRUE(harness.heartbeat("host-1", {}, 40).empty());
    EXPECT_EQ(harness.heartbeat("host-1").size(), 1U);
}

TEST(OneWayPartition, ReleasesAMachineThatReceivesNoResponsesAndRerunsItsTask) {
    LeaderHarness harness(
        [](LeaderHarness& configured) { configured.operator_settings.max_idle_cost = 0; });
    harness.elect_with_machines({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.submit_job(harness.make_job_spec("j-2", 8));
    harness.advance_time(600);
    std::string unreachable = harness.machine_of("j-1");
    ASSERT_NE(unreachable, "");
    std::string released;
    for (int second = 0; second < 60 && released.empty(); ++second) {
        harness.advance_time(1000);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            harness.heartbeat(host);
        }
        for (const CloudRequest& request : harness.cloud_requests) {
            if (request.operation != CloudOperation::scale_in) {
                continue;
            }
            if (std::count(request.names.begin(), request.names.end(), unreachable) > 0) {
                released = unreachable;
                EXPECT_EQ(harness.machine_of("j-1"), unreachable)
                    << "the task left its machine before the cloud confirmed the release";
            }
            CloudResponse response;
            response.call = request.call;
            response.status = CloudCallStatus::ok;
            harness.context->cloud.reply(harness.now, response);
        }
        harness.cloud_requests.clear();
    }
    EXPECT_EQ(released, unreachable);
    harness.advance_time(1000);
    EXPECT_NE(harness.machine_of("j-1"), unreachable);
}

// A new machine sends one heartbeat, is given a task, and terminates before it sends another one
// and before the cloud lists it.
TEST(OneWayPartition, ReleasesAMachineThatTerminatesAfterItsFirstHeartbeat) {
    LeaderHarness harness;
    harness.elect_with_machines({});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    auto complete_cloud_requests = [&](CloudOperation operation,
                                       const std::vector<std::string>& names) {
        int completed = 0;
        for (const CloudRequest& request : std::exchange(harness.cloud_requests, {})) {
            if (request.operation == operation) {
                CloudResponse response;
                response.call = request.call;
                response.status = CloudCallStatus::ok;
                response.names = names;
                harness.context->cloud.reply(harness.now, response);
                ++completed;
            }
        }
        return completed;
    };
    for (int second = 0; second < 20 && harness.cluster().machines.empty(); ++second) {
        harness.advance_time(1000);
        complete_cloud_requests(CloudOperation::scale_out, {"host-1"});
    }
    harness.heartbeat("host-1", {}, 0);
    harness.advance_time(1000);
    EXPECT_EQ(harness.machine_of("j-1"), "host-1");
    int released = 0;
    for (int second = 0; second < 120 && released == 0; ++second) {
        harness.advance_time(1000);
        released = complete_cloud_requests(CloudOperation::scale_in, {});
    }
    EXPECT_EQ(released, 1);
    EXPECT_EQ(harness.machine_of("j-1"), "");
}

TEST(StaleHeartbeat, ReclaimNoticeIsRevokedByTheNextHeartbeatWithoutOne) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    Id machine_id = harness.cluster().find_machine("host-1");
    HeartbeatRequest request_with_notice;
    request_with_notice.request = 900;
    request_with_notice.worker_status.machine = "host-1";
    request_with_notice.worker_status.incarnation = 1;
    request_with_notice.worker_status.sequence = harness.sequence + 1;
    request_with_notice.worker_status.fencing_token = 50;
    request_with_notice.worker_status.notice_s = 5;
    harness.leader->heartbeat(harness.now, request_with_notice);
    EXPECT_GE(harness.cluster().machines[machine_id].worker.reclaim_at, 0);
    harness.sequence += 2;
    harness.heartbeat("host-1");
    EXPECT_LT(harness.cluster().machines[machine_id].worker.reclaim_at, 0);
}

TEST(Quarantine, ReplacesAMachineThatFailsTwoJobs) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 2));
    harness.submit_job(harness.make_job_spec("j-2", 2));
    harness.advance_time(600);
    harness.heartbeat("host-1");
    harness.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "error", false},
                                 {"j-2", 0, 1, TaskState::exited, "error", false}});
    harness.advance_time(3000);
    bool released = false;
    for (const CloudRequest& request : harness.cloud_requests) {
        released |= request.operation == CloudOperation::scale_in;
    }
    EXPECT_TRUE(released);
}

TEST(Quarantine, QuarantinesFaultyMachinesWhenJobsHaveFailedOnSeveral) {
    // With one machine in six faulty, every gang fails on two of them. Jobs that had failed on two
    // machines once counted against no machine, so the faulty machines were never quarantined.
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}, {"host-2", 0}, {"host-3", 0}});
    auto fail_on = [&](const std::string& id, const std::string& host, std::uint32_t attempt) {
        harness.heartbeat(host);
        harness.heartbeat(host, {{id, 0, attempt, TaskState::exited, "error", false}});
        harness.advance_time(200);
    };
    harness.submit_job(harness.make_job_spec("j-1", 8));
    harness.advance_time(600);
    std::string first = harness.machine_of("j-1");
    fail_on("j-1", first, 1);
    harness.advance_time(3000);
    std::string second = harness.machine_of("j-1");
    ASSERT_NE(second, "");
    ASSERT_NE(second, first);
    fail_on("j-1", second, 2);
    harness.submit_job(harness.make_job_spec("j-2", 8));
    harness.submit_job(harness.make_job_spec("j-3", 8));
    for (int step = 0; step < 12; ++step) {
        harness.advance_time(500);
        for (const char* host : {"host-1", "host-2", "host-3"}) {
            harness.heartbeat(host);
        }
    }
    // j-2 or j-3 fails on a machine that j-1 failed on. Two jobs have then failed there, which
    // quarantines the machine.
    for (const char* id : {"j-1", "j-2", "j-3"}) {
        std::string host = harness.machine_of(id);
        if (host != first && host != second) {
            continue;
        }
        Id job_id = harness.leader->context().cluster.find_job(id);
        fail_on(id, host, harness.leader->context().cluster.task({job_id, 0}).attempt);
    }
    int quarantined = 0;
    for (const Machine& machine : harness.cluster().machines) {
        quarantined += machine.health.quarantined;
    }
    EXPECT_GE(quarantined, 1);
}

TEST(Quarantine, BacksOffAJobThatFailsWhereOthersSucceed) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}, {"host-2", 0}});
    harness.submit_job(harness.make_job_spec("j-9", 8));
    for (int round = 0; round < 6; ++round) {
        for (int step = 0; step < 40 && harness.machine_of("j-9").empty(); ++step) {
            harness.advance_time(500);
            for (const char* host : {"host-1", "host-2"}) {
                harness.heartbeat(host);
            }
        }
        std::string host = harness.machine_of("j-9");
        if (host.empty()) {
            break;
        }
        Id job_id = harness.leader->context().cluster.find_job("j-9");
        harness.heartbeat(host);
        harness.heartbeat(host,
                          {{"j-9", 0, harness.leader->context().cluster.task({job_id, 0}).attempt,
                            TaskState::exited, "error", false}});
        // Another job completes on one of the machines.
        std::string completing_job = "j-1" + std::to_string(round);
        harness.submit_job(harness.make_job_spec(completing_job, 8));
        for (int step = 0; step < 12 && harness.machine_of(completing_job).empty(); ++step) {
            harness.advance_time(500);
            for (const char* machine : {"host-1", "host-2"}) {
                harness.heartbeat(machine);
            }
        }
        std::string completing_host = harness.machine_of(completing_job);
        if (completing_host.empty()) {
            continue;
        }
        harness.heartbeat(completing_host);
        harness.heartbeat(completing_host,
                          {{completing_job, 0, 1, TaskState::exited, "done", false}});
        harness.advance_time(300);
    }
    for (const Machine& machine : harness.cluster().machines) {
        EXPECT_FALSE(machine.health.quarantined) << machine.name;
    }
    EXPECT_GE(harness.cluster()
                  .jobs[harness.leader->context().cluster.find_job("j-9")]
                  .exonerated_machines.size(),
              1U);
}

// `run` commands are sent only in responses to heartbeats. When a heartbeat that reported a
// completed task was answered at once, the machine's next task was not durable yet, and the machine
// stayed idle until its next heartbeat, 5 s later.
TEST(DeferredHeartbeat, IsAnsweredWithTheCommandsItWaitsFor) {
    for (bool defer : {true, false}) {
        LeaderHarness harness([&](LeaderHarness& configured) {
            configured.operator_settings.response_hold_s = defer ? 0.4 : 0;
        });
        harness.elect_with_machines({{"host-1", 0}});
        harness.submit_job(harness.make_job_spec("j-first", 8));
        harness.advance_time(200);
        ASSERT_EQ(harness.heartbeat("host-1").size(), 1U);
        harness.submit_job(harness.make_job_spec("j-next", 8));
        // The task runs for longer than a copy of its start command may take to arrive.
        harness.advance_time(4200);
        harness.heartbeat("host-1", {{"j-first", 0, 1, TaskState::exited, "done", false}});
        bool answered_at_once = harness.heartbeat_responses.count(harness.sequence) > 0;
        harness.advance_time(200);
        ASSERT_TRUE(harness.heartbeat_responses.count(harness.sequence));
        std::vector<WorkerCommand> commands =
            harness.heartbeat_responses[harness.sequence].commands;
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
    LeaderHarness harness(
        [](LeaderHarness& configured) { configured.operator_settings.response_hold_s = 0.4; });
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-first", 8));
    harness.advance_time(200);
    harness.heartbeat("host-1");
    harness.complete_writes = false;
    harness.heartbeat("host-1", {{"j-first", 0, 1, TaskState::exited, "done", false}});
    harness.advance_time(350);
    EXPECT_FALSE(harness.heartbeat_responses.count(harness.sequence));
    harness.advance_time(100);
    ASSERT_TRUE(harness.heartbeat_responses.count(harness.sequence));
    EXPECT_EQ(harness.heartbeat_responses[harness.sequence].code, 200);
    // The completion is not durable yet, so the worker may not clear the task.
    EXPECT_TRUE(harness.heartbeat_responses[harness.sequence].commands.empty());
}

TEST(DeferredHeartbeat, OfAnIdleMachineIsAnsweredOnceItIsGivenWork) {
    LeaderHarness harness(
        [](LeaderHarness& configured) { configured.operator_settings.idle_response_hold_s = 2.5; });
    harness.elect_with_machines({{"host-1", 0}});
    harness.advance_time(
        2600);  // the first heartbeat is answered at its deadline, as there is no work
    ASSERT_TRUE(harness.heartbeat_responses.count(harness.sequence));
    harness.heartbeat("host-1");
    RequestId deferred = harness.sequence;
    harness.advance_time(1000);
    EXPECT_FALSE(harness.heartbeat_responses.count(deferred));
    harness.submit_job(harness.make_job_spec("j-work", 8));
    harness.advance_time(100);
    ASSERT_TRUE(harness.heartbeat_responses.count(deferred));
    ASSERT_EQ(harness.heartbeat_responses[deferred].commands.size(), 1U);
    EXPECT_EQ(harness.heartbeat_responses[deferred].commands[0].type, WorkerCommandType::run);
    // A machine that runs a task is answered at once, so that its next heartbeat is not delayed.
    harness.heartbeat("host-1", {{"j-work", 0, 1, TaskState::running, "", false}});
    EXPECT_TRUE(harness.heartbeat_responses.count(harness.sequence));
}

// A machine reported again after its lease had expired, and the response was deferred. The previous
// response was more than a lease duration old, so the lease expired again at once. Later heartbeats
// of the same incarnation were then rejected as stale, and the machine stayed unused.
TEST(DeferredHeartbeat, KeepsTheLeaseOfItsMachine) {
    LeaderHarness harness([](LeaderHarness& configured) {
        configured.operator_settings.idle_response_hold_s = 2.5;
        configured.operator_settings.mark_low = 0;  // the idle machine is not scaled in
        configured.operator_settings.max_idle_cost = 0;
    });
    harness.elect_with_machines({{"host-1", 0}});
    harness.advance_time(14000);
    ASSERT_TRUE(harness.cluster().machines[0].worker.lease_expired);
    harness.heartbeat("host-1", {}, 50, 2);
    harness.advance_time(500);
    EXPECT_FALSE(harness.heartbeat_responses.count(harness.sequence));
    EXPECT_FALSE(harness.cluster().machines[0].worker.lease_expired);
}

// A leader whose term ends must answer every deferred heartbeat.
TEST(DeferredHeartbeat, IsRefusedAtTheEndOfATerm) {
    LeaderHarness harness(
        [](LeaderHarness& configured) { configured.operator_settings.idle_response_hold_s = 2.5; });
    harness.elect_with_machines({{"host-1", 0}});
    harness.heartbeat("host-1");
    RequestId deferred = harness.sequence;
    ASSERT_FALSE(harness.heartbeat_responses.count(deferred));
    harness.leader.reset();
    harness.process_outputs();
    ASSERT_TRUE(harness.heartbeat_responses.count(deferred));
    EXPECT_EQ(harness.heartbeat_responses[deferred].code, 503);
}

}  // namespace
}  // namespace walkford
