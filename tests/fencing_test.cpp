// Tests that no task runs twice: durable placements, fencing tokens and stale heartbeats.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_bench.hpp"

namespace walkford {
namespace {

TEST(Fencing, SendsRunOnlyOnceThePlacementIsDurable) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    bench.answer_writes = false;
    bench.job(bench.spec("j-1", 4));
    bench.pass(600);
    EXPECT_EQ(bench.where("j-1"), "host-1");
    EXPECT_TRUE(bench.heartbeat("host-1").empty());
    ASSERT_FALSE(bench.written.empty());
    EXPECT_EQ(bench.written.back().comparisons[0].key, keys::kLeader);
    EXPECT_EQ(bench.written.back().comparisons[0].version, 50U);
}

TEST(Fencing, RepeatsRunOnlyAfterALaterHeartbeatLacksTheTask) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    bench.job(bench.spec("j-1", 4));
    bench.pass(600);
    auto commands = bench.heartbeat("host-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].type, WorkerCommandType::run);
    EXPECT_EQ(commands[0].attempt, 1U);
    // The response was lost: the next heartbeat still lacks the task.
    commands = bench.heartbeat("host-1");
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(commands[0].attempt, 1U);
    commands = bench.heartbeat("host-1", {{"j-1", 0, 1, TaskState::running, "", false}});
    EXPECT_TRUE(commands.empty());
}

TEST(Fencing, IgnoresAStaleHeartbeat) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    bench.job(bench.spec("j-1", 4));
    bench.pass(600);
    std::uint64_t saved_sequence = bench.sequence;
    bench.sequence = 0;  // lower than that of a heartbeat already received
    EXPECT_TRUE(bench.heartbeat("host-1").empty());
    bench.sequence = saved_sequence;
    EXPECT_EQ(bench.heartbeat("host-1").size(), 1U);
}

TEST(Fencing, KeepsAnInheritedTaskUntilItsWorkerReportsUnderOurToken) {
    LeaderBench bench;
    JobSpec job_spec = bench.spec("j-1", 4);
    bench.context->replica.apply(
        {keys::job("j-1"), encode_job({job_spec, false}, bench.context->names), 8});
    bench.context->replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record({{3, false, "host-1"}}), 9});
    bench.lead({});
    // The registry lists the machine.
    bench.leader.reset();
    RegistryRecord registry;
    registry.machines.push_back({"host-1", 0, 0, false, false, false});
    bench.context->replica.apply(
        {keys::kRegistry, encode_registry(registry, bench.context->names), 20});
    bench.elect(60);
    EXPECT_EQ(bench.where("j-1"), "host-1");
    // The worker has seen only the older token, so the missing task may still be started there.
    bench.heartbeat("host-1", {}, 50);
    EXPECT_EQ(bench.where("j-1"), "host-1");
    bench.pass(12000);  // longer than the lease, which an older leader may still be renewing
    EXPECT_EQ(bench.where("j-1"), "host-1");
}

// A gang member that gave up waiting is run again under the same attempt number. A status from
// before the rerun reached the next leader, which then considered the task lost while it was
// running with the rest of its gang.
TEST(Fencing, DoesNotTakeAGangMemberForLostByAStatusUnderAnOlderToken) {
    LeaderBench bench;
    JobSpec job_spec = bench.spec("j-1", 2, 2, true);
    bench.context->replica.apply(
        {keys::job("j-1"), encode_job({job_spec, false}, bench.context->names), 20});
    std::vector<TaskRecord> stored(2);
    stored[0] = {1, false, "host-1"};
    stored[1] = {1, false, "host-2"};
    bench.context->replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record(stored), 21});
    RegistryRecord registry;
    registry.first_scale_out_done = true;
    registry.machines = {{"host-1", 0, 0, false, false, false},
                         {"host-2", 0, 0, false, false, false}};
    bench.context->replica.apply(
        {keys::kRegistry, encode_registry(registry, bench.context->names), 5});
    bench.elect(50);
    bench.heartbeat("host-2", {{"j-1", 1, 1, TaskState::running, "", false}}, 40);
    bench.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "alone", false}}, 40);
    bench.pass(500);
    EXPECT_EQ(bench.where("j-1", 0), "host-1");
    EXPECT_EQ(bench.where("j-1", 1), "host-2");
    // Nor does the status show that the task was never started: when the job is cancelled, the task
    // stays on its machine until it is proven stopped.
    bench.context->replica.apply(
        {keys::job("j-1"), encode_job({job_spec, true}, bench.context->names), 30});
    bench.leader->job_changed(bench.now, "j-1");
    EXPECT_EQ(bench.where("j-1", 0), "host-1");
    // A status under our token proves that the task is gone. Its gang had begun and can't continue
    // without it, so the task is not run again in place.
    bench.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "alone", false}}, 50);
    EXPECT_EQ(bench.where("j-1", 0), "");
}

TEST(Fencing, MakesCompletionDurableBeforeTheWorkerClearsTheTask) {
    LeaderBench bench;
    bench.lead({{"host-1", 0}});
    bench.job(bench.spec("j-1", 4));
    bench.pass(600);
    bench.heartbeat("host-1");
    bench.answer_writes = false;
    auto commands = bench.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "done", false}});
    bench.pass(300);
    commands = bench.heartbeat("host-1", {{"j-1", 0, 1, TaskState::exited, "done", false}});
    for (const WorkerCommand& command : commands) {
        EXPECT_NE(command.type, WorkerCommandType::clear);
    }
}

}  // namespace
}  // namespace walkford
