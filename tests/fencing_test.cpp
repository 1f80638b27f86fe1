// Tests that no task runs twice: durable placements, fencing tokens and stale heartbeats.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_harness.hpp"

namespace walkford {
namespace {

TEST(Fencing, SendsRunOnlyOnceThePlacementIsDurable) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.complete_writes = false;
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(600);
    EXPECT_EQ(harness.machine_of("j-1"), "host-1");
    EXPECT_TRUE(harness.heartbeat("host-1").empty());
    ASSERT_FALSE(harness.written_transactions.empty());
    EXPECT_EQ(harness.written_transactions.back().comparisons[0].key, keys::kLeader);
    EXPECT_EQ(harness.written_transactions.back().comparisons[0].version, 50U);
}

TEST(Fencing, RepeatsRunOnlyAfterALaterHeartbeatLacksTheTask) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(600);
    auto commands = harness.heartbeat("host-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].type, WorkerCommandType::run);
    EXPECT_EQ(commands[0].attempt, 1U);
    // The response was lost: the next heartbeat still lacks the task.
    commands = harness.heartbeat("host-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].attempt, 1U);
    commands = harness.heartbeat("host-1", {{"j-1", 0, 1, TaskState::running, "", false}});
    EXPECT_TRUE(commands.empty());
}

TEST(Fencing, IgnoresAStaleHeartbeat) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(600);
    std::uint64_t saved_sequence = harness.sequence;
    harness.sequence = 0;  // lower than that of a heartbeat already received
    EXPECT_TRUE(harness.heartbeat("host-1").empty());
    harness.sequence = saved_sequence;
    EXPECT_EQ(harness.heartbeat("host-1").size(), 1U);
}

TEST(Fencing, KeepsAnInheritedTaskUntilItsWorkerReportsUnderOurToken) {
    LeaderHarness harness;
    JobSpec job_spec = harness.make_job_spec("j-1", 4);
    harness.context->replica.apply(
        {keys::job("j-1"), encode_job({job_spec, false}, harness.context->names), 8});
    harness.context->replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record({{3, false, "host-1"}}), 9});
    harness.elect_with_machines({});
    // The registry lists the machine.
    harness.leader.reset();
    RegistryRecord registry;
    registry.machines.push_back({"host-1", 0, 0, false, false, false});
    harness.context->replica.apply(
        {keys::kRegistry, encode_registry(registry, harness.context->names), 20});
    harness.elect(60);
    EXPECT_EQ(harness.machine_of("j-1"), "host-1");
    // The worker has seen only the older token, so the missing task may still be started there.
    harness.heartbeat("host-1", {}, 50);
    EXPECT_EQ(harness.machine_of("j-1"), "host-1");
    harness.advance_time(
        12000);  // longer than the lease, which an older leader may still be renewing
    EXPECT_EQ(harness.machine_of("j-1"), "host-1");
}

// A gang member that gave up waiting is run again under the same attempt number. A status from
// before the rerun reached the next leader, which then considered the task lost while it was
// running with the rest of its gang.
TEST(Fencing, DoesNotTakeAGangMemberForLostByAStatusUnderAnOlderToken) {
    LeaderHarness harness;
    JobSpec job_spec = harness.make_job_spec("j-1", 2, 2, true);
    harness.context->replica.apply(
        {keys::job("j-1"), encode_job({job_spec, false}, harness.context->names), 20});
    std::vector<TaskRecord> stored(2);
    stored[0] = {1, false, "host-1"};
    stored[1] = {1, false, "host-2"};
    harness.context->replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record(stored), 21});
    RegistryRecord registry;
    registry.first_scale_out_done = true;
    registry.machines = {{"host-1", 0, 0, false, false, false},
                         {"host-2", 0, 0, false, false, false}};
    harness.context->replica.apply(
        {keys::kRegistry, encode_registry(registry, harness.context->names), 5});
    harness.elect(50);
    harness.heartbeat("host-2", {{"j-1", 1, 1, TaskState::running, "", false}}, 40);
    harness.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "alone", false}}, 40);
    harness.advance_time(500);
    EXPECT_EQ(harness.machine_of("j-1", 0), "host-1");
    EXPECT_EQ(harness.machine_of("j-1", 1), "host-2");
    // Nor does the status show that the task was never started: when the job is cancelled, the task
    // stays on its machine until it is proven stopped.
    harness.context->replica.apply(
        {keys::job("j-1"), encode_job({job_spec, true}, harness.context->names), 30});
    harness.leader->job_changed(harness.now, "j-1");
    EXPECT_EQ(harness.machine_of("j-1", 0), "host-1");
    // A status under our token proves that the task is gone. Its gang had begun and can't continue
    // without it, so the task is not run again in place.
    harness.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "alone", false}}, 50);
    EXPECT_EQ(harness.machine_of("j-1", 0), "");
}

TEST(Fencing, MakesCompletionDurableBeforeTheWorkerClearsTheTask) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(600);
    harness.heartbeat("host-1");
    harness.complete_writes = false;
    auto commands = harness.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "done", false}});
    harness.advance_time(300);
    commands = harness.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "done", false}});
    for (const WorkerCommand& command : commands) {
        EXPECT_NE(command.type, WorkerCommandType::clear);
    }
}

}  // namespace
}  // namespace walkford
