// Tests, for each way by which a `run` command reaches a worker, that no late copy of a message and
// no restart makes a task start a second time: one leader, and a worker that the test plays.
#include <gtest/gtest.h>

#include "leader_harness.hpp"

namespace walkford {
namespace {

constexpr Ms kResponseValidFor = 4100;  // for which a worker accepts a response, with a margin

std::size_t count_commands(const std::vector<WorkerCommand>& commands, WorkerCommandType type) {
    return static_cast<std::size_t>(
        std::count_if(commands.begin(), commands.end(),
                      [type](const WorkerCommand& command) { return command.type == type; }));
}

ReportedTask reported(const std::string& job, std::uint64_t attempt, TaskState state,
                      const std::string& cause = "") {
    return {job, 0, attempt, state, cause, false};
}

// A leader with one machine that runs the task of j-1, at the sequence 100.
struct RunningTask : LeaderHarness {
    RunningTask() {
        worker_address = "10.0.0.1:9000";
        elect_with_machines({{"host-1", 0}, {"host-2", 0}});
        submit_job(make_job_spec("j-1", 8));
        advance_time(600);
        machine = machine_of("j-1");
        EXPECT_EQ(count_commands(heartbeat(machine), WorkerCommandType::run), 1U);
        sequence = 99;
        heartbeat(machine, {reported("j-1", 1, TaskState::running)});
    }
    // A heartbeat of the machine with a sequence of the test's choice.
    std::vector<WorkerCommand> heartbeat_at(std::uint64_t at, std::vector<ReportedTask> tasks,
                                            std::uint64_t token = 50) {
        std::uint64_t saved = std::exchange(sequence, at - 1);
        auto commands = heartbeat(machine, std::move(tasks), token);
        sequence = std::max(saved, at);
        return commands;
    }
    const WorkerState& worker() {
        return cluster().machines[cluster().find_machine(machine)].worker;
    }
    std::string machine;
};

// A start that was refused is reported at once. If it is cleared while a copy of the response with
// `run` may arrive, the copy starts the task, which is on another machine by then.
// A task that has completed would count against its team's quota once more.
TEST(RepeatedRun, AnAttemptIsNotClearedWhileACopyOfItsRunMayArrive) {
    for (const char* cause : {"no_room", "error", "done"}) {
        LeaderHarness harness;
        harness.elect_with_machines({{"host-1", 0}});
        harness.submit_job(harness.make_job_spec("j-1", 4));
        harness.advance_time(600);
        ASSERT_EQ(harness.heartbeat("host-1").size(), 1U);
        const ReportedTask exited = reported("j-1", 1, TaskState::exited, cause);
        auto cleared = [&] {
            return count_commands(harness.heartbeat("host-1", {exited}), WorkerCommandType::clear);
        };
        for (Ms waited = 0; waited + 500 < kResponseValidFor; waited += 500) {
            harness.advance_time(500);
            EXPECT_EQ(cleared(), 0U) << cause << " " << waited;
        }
        harness.advance_time(1000);
        EXPECT_EQ(cleared(), 1U) << cause;
    }
}

TEST(RepeatedRun, ACancelledTaskIsNotClearedWhileACopyOfItsRunMayArrive) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    JobSpec spec = harness.make_job_spec("j-1", 4);
    harness.submit_job(spec);
    harness.advance_time(600);
    ASSERT_EQ(harness.heartbeat("host-1").size(), 1U);
    harness.context->replica.apply({keys::job("j-1"),
                                    encode_job({spec, true}, harness.context->names),
                                    harness.next_created_version++});
    harness.leader->job_changed(harness.now, "j-1");
    const ReportedTask stopped = reported("j-1", 1, TaskState::exited, "stopped");
    harness.advance_time(500);
    harness.heartbeat("host-1", {stopped});
    harness.advance_time(1000);
    EXPECT_EQ(count_commands(harness.heartbeat("host-1", {stopped}), WorkerCommandType::clear), 0U);
    harness.advance_time(kResponseValidFor);
    EXPECT_EQ(count_commands(harness.heartbeat("host-1", {stopped}), WorkerCommandType::clear), 1U);
}

// A copy of a response that clears the attempt and runs it again starts it whatever the worker
// knows, so the task must not move before such a copy can no longer arrive.
TEST(RepeatedRun, ATaskThatRunsAgainAfterAClearStaysWhileACopyMayArrive) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}, {"host-2", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 6, 2, true));
    harness.advance_time(600);
    std::string machine = harness.machine_of("j-1", 0);
    ASSERT_EQ(harness.heartbeat(machine).size(), 1U);
    for (int second = 0; second < 15; ++second) {
        harness.advance_time(1000);
        harness.heartbeat(machine, {reported("j-1", 1, TaskState::waiting)});
    }
    auto commands = harness.heartbeat(machine, {reported("j-1", 1, TaskState::exited, "alone")});
    ASSERT_EQ(count_commands(commands, WorkerCommandType::clear), 1U);
    ASSERT_EQ(count_commands(commands, WorkerCommandType::run), 1U);
    const ReportedTask stopped = reported("j-1", 1, TaskState::exited, "stopped");
    harness.advance_time(1000);
    harness.heartbeat(machine, {stopped});
    EXPECT_EQ(harness.machine_of("j-1", 0), machine);
    harness.advance_time(kResponseValidFor);
    harness.heartbeat(machine, {stopped});
    EXPECT_NE(harness.cluster().jobs[harness.cluster().find_job("j-1")].assigned, 2U);
}

// The next leader receives a copy of a report in which the task has exited. The attempt was started
// again since, in a later incarnation of the worker.
TEST(RepeatedRun, AnExitUnderAnOlderTokenDoesNotMoveATask) {
    for (const char* cause : {"error", "no_room", "stopped", "busy", "unknown"}) {
        LeaderHarness harness;
        harness.context->replica.apply(
            {keys::job("j-1"),
             encode_job({harness.make_job_spec("j-1", 4), false}, harness.context->names), 8});
        harness.context->replica.apply(
            {keys::placement_record("j-1", 0), encode_placement_record({{1, false, "host-1"}}), 9});
        RegistryRecord registry;
        registry.machines = {{"host-1", 0, 0, false, false, false},
                             {"host-2", 0, 0, false, false, false}};
        harness.context->replica.apply(
            {keys::kRegistry, encode_registry(registry, harness.context->names), 5});
        harness.elect(50);
        harness.heartbeat("host-2");
        harness.heartbeat("host-1", {reported("j-1", 1, TaskState::exited, cause)}, 40);
        harness.advance_time(500);
        EXPECT_EQ(harness.machine_of("j-1"), "host-1") << cause;
        harness.heartbeat("host-1", {reported("j-1", 1, TaskState::running)}, 50, 2);
        harness.advance_time(500);
        EXPECT_EQ(harness.machine_of("j-1"), "host-1") << cause;
        harness.heartbeat("host-1", {reported("j-1", 1, TaskState::exited, cause)}, 50, 2);
        EXPECT_EQ(harness.machine_of("j-1"), "") << cause << ": seen under our token";
    }
}

// A completed task keeps its result: it need not wait for a report under the new leader's token.
TEST(RepeatedRun, ACompletionUnderAnOlderTokenCounts) {
    LeaderHarness harness;
    harness.context->replica.apply(
        {keys::job("j-1"),
         encode_job({harness.make_job_spec("j-1", 4), false}, harness.context->names), 8});
    harness.context->replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record({{1, false, "host-1"}}), 9});
    RegistryRecord registry;
    registry.machines = {{"host-1", 0, 0, false, false, false}};
    harness.context->replica.apply(
        {keys::kRegistry, encode_registry(registry, harness.context->names), 5});
    harness.elect(50);
    harness.heartbeat("host-1", {reported("j-1", 1, TaskState::exited, "done")}, 40);
    EXPECT_EQ(harness.cluster().jobs[0].done, 1U);
}

// Direct calls are carried out however late they arrive, as long as token and session match.
TEST(RepeatedRun, DirectCallsOnlyStop) {
    RunningTask harness;
    harness.submit_job(harness.make_job_spec("j-2", 8));
    harness.advance_time(600);
    JobSpec spec = harness.make_job_spec("j-1", 8);
    harness.context->replica.apply({keys::job("j-1"),
                                    encode_job({spec, true}, harness.context->names),
                                    harness.next_created_version++});
    harness.leader->job_changed(harness.now, "j-1");
    harness.advance_time(3000);
    std::size_t stops = 0;
    for (const WorkerRequest& call : harness.direct_calls) {
        EXPECT_EQ(count_commands(call.commands, WorkerCommandType::stop), call.commands.size());
        stops += call.commands.size();
    }
    EXPECT_GT(stops, 0U);
}

}  // namespace
}  // namespace walkford
