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

// Starts a leader that finds, of an earlier one, two machines in the registry and the task of j-1
// on the first of them.
void elect_with_inherited_task(LeaderHarness& harness) {
    Names& names = harness.context->names;
    StoreReplica& replica = harness.context->replica;
    JobSpec spec = harness.make_job_spec("j-1", 4);
    replica.apply({keys::job("j-1"), encode_job({spec, false}, names), 8});
    replica.apply(
        {keys::placement_record("j-1", 0), encode_placement_record({{1, false, "host-1"}}), 9});
    RegistryRecord registry;
    registry.machines = {{"host-1", 0, 0, false, false, false},
                         {"host-2", 0, 0, false, false, false}};
    replica.apply({keys::kRegistry, encode_registry(registry, names), 5});
    harness.elect(50);
}

// The next leader receives a copy of a report in which the task has exited. The attempt was started
// again since, in a later incarnation of the worker.
TEST(RepeatedRun, AnExitUnderAnOlderTokenDoesNotMoveATask) {
    for (const char* cause : {"error", "no_room", "stopped", "busy", "unknown"}) {
        LeaderHarness harness;
        elect_with_inherited_task(harness);
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
    elect_with_inherited_task(harness);
    harness.heartbeat("host-1", {reported("j-1", 1, TaskState::exited, "done")}, 40);
    EXPECT_EQ(harness.cluster().jobs[0].done, 1U);
}

// A worker that has shown our token never shows a lower one: the heartbeat is a copy from before.
TEST(RepeatedRun, AReportUnderATokenBelowOneThatWasShownIsACopy) {
    RunningTask harness;
    harness.heartbeat_at(200, {}, 40);
    harness.heartbeat_at(201, {reported("j-1", 1, TaskState::exited, "error")}, 40);
    EXPECT_EQ(harness.machine_of("j-1"), harness.machine);
    EXPECT_EQ(harness.worker().sequence, 100U);
}

// The machine is back within a second, and its worker counts from 1 again. A direct call shows it.
TEST(RepeatedRun, ADirectCallShowsThatTheCountersOfAWorkerStartedAnew) {
    RunningTask harness;
    harness.direct_calls.clear();
    EXPECT_TRUE(harness.heartbeat_at(1, {}, 0).empty());
    EXPECT_EQ(harness.machine_of("j-1"), harness.machine) << "it may be a copy of the first report";
    ASSERT_EQ(harness.direct_calls.size(), 1U);
    EXPECT_TRUE(harness.direct_calls[0].commands.empty());
    harness.answer_direct_calls(harness.machine, 1, 2);
    EXPECT_EQ(harness.machine_of("j-1"), "") << "the new process knows no task";
    EXPECT_TRUE(harness.worker().counters_restarted);
    // The machine is used again, and the task never under the same attempt.
    harness.advance_time(600);
    harness.heartbeat_at(3, {});
    harness.advance_time(600);
    EXPECT_EQ(harness.leader->context().cluster.task({0, 0}).attempt, 2U);
}

TEST(RepeatedRun, ADirectCallShowsThatAnOldReportWasACopy) {
    RunningTask harness;
    harness.direct_calls.clear();
    harness.heartbeat_at(7, {});
    ASSERT_EQ(harness.direct_calls.size(), 1U);
    harness.answer_direct_calls(harness.machine, 1, 101, {reported("j-1", 1, TaskState::running)});
    EXPECT_EQ(harness.machine_of("j-1"), harness.machine);
    EXPECT_FALSE(harness.worker().counters_restarted);
    EXPECT_LT(harness.worker().counters_suspect_since, 0);
}

// Until the call is answered, the counters of the new process could pass those that are known.
TEST(RepeatedRun, NoRunIsSentWhileTheCountersOfAWorkerAreInDoubt) {
    RunningTask harness;
    harness.heartbeat_at(7, {});
    harness.heartbeat_at(102, {reported("j-1", 1, TaskState::exited, "done")});
    harness.submit_job(harness.make_job_spec("j-2", 8));
    harness.submit_job(harness.make_job_spec("j-3", 8));
    harness.advance_time(600);
    for (std::uint64_t at = 103; at < 110; ++at) {
        EXPECT_EQ(count_commands(harness.heartbeat_at(at, {}), WorkerCommandType::run), 0U);
        harness.advance_time(300);
    }
    harness.answer_direct_calls(harness.machine, 1, 111);
    harness.heartbeat("host-2");
    harness.advance_time(600);
    EXPECT_EQ(count_commands(harness.heartbeat_at(112, {}), WorkerCommandType::run), 1U);
}

TEST(RepeatedRun, ATaskPlacedBeforeTheDoubtWaitsForItsEnd) {
    LeaderHarness harness;
    harness.worker_address = "10.0.0.1:9000";
    harness.elect_with_machines({{"host-1", 0}});
    harness.sequence = 100;
    harness.heartbeat("host-1");
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(600);
    ASSERT_EQ(harness.machine_of("j-1"), "host-1");
    harness.sequence = 6;
    harness.heartbeat("host-1");
    harness.sequence = 101;
    EXPECT_EQ(count_commands(harness.heartbeat("host-1"), WorkerCommandType::run), 0U);
    harness.answer_direct_calls("host-1", 1, 103);
    harness.sequence = 103;
    EXPECT_EQ(count_commands(harness.heartbeat("host-1"), WorkerCommandType::run), 1U);
}

// After such a restart, a copy from the earlier process looks like a new report.
TEST(RepeatedRun, ACopyFromBeforeARestartMovesNoTask) {
    RunningTask harness;
    harness.heartbeat_at(1, {}, 0);
    harness.answer_direct_calls(harness.machine, 1, 2);
    std::uint64_t at = 2;
    for (int step = 0; step < 20 && harness.machine_of("j-1") != harness.machine; ++step) {
        harness.heartbeat_at(++at, {});
        harness.advance_time(400);
    }
    if (harness.machine_of("j-1") != harness.machine) {
        GTEST_SKIP() << "placed on the other machine";
    }
    harness.heartbeat_at(++at, {});
    harness.heartbeat_at(++at, {reported("j-1", 2, TaskState::running)});
    // The copies lack attempt 2, or say that attempt 1 has exited.
    harness.heartbeat_at(300, {});
    harness.heartbeat_at(301, {reported("j-1", 1, TaskState::exited, "error")});
    harness.advance_time(3000);
    EXPECT_EQ(harness.machine_of("j-1"), harness.machine);
    harness.answer_direct_calls(harness.machine, 1, ++at, {reported("j-1", 2, TaskState::running)});
    EXPECT_EQ(harness.machine_of("j-1"), harness.machine);
    EXPECT_EQ(harness.worker().sequence, at) << "the counters are those of the new process again";
}

// After a restart, a direct call that lacks a task shows that it is gone only once the response
// with its `run` can no longer arrive.
TEST(RepeatedRun, ARunOnItsWayAfterARestartIsNotTakenForLost) {
    LeaderHarness harness;
    harness.worker_address = "10.0.0.1:9000";
    harness.elect_with_machines({{"host-1", 0}});
    harness.sequence = 100;
    harness.heartbeat("host-1");
    auto heartbeat_at = [&](std::uint64_t at) {
        harness.sequence = at - 1;
        return harness.heartbeat("host-1");
    };
    heartbeat_at(1);
    harness.answer_direct_calls("host-1", 1, 2);
    heartbeat_at(3);
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(3000);
    ASSERT_EQ(count_commands(heartbeat_at(4), WorkerCommandType::run), 1U);
    heartbeat_at(5);
    harness.advance_time(300);
    ASSERT_FALSE(harness.direct_calls.empty());
    harness.answer_direct_calls("host-1", 1, 6);
    EXPECT_EQ(harness.leader->context().cluster.task({0, 0}).attempt, 1U);
    EXPECT_EQ(harness.machine_of("j-1"), "host-1");
    // The first of these calls may have been sent within that time, the last one was not.
    for (std::uint64_t at = 7; at < 10; ++at) {
        harness.advance_time(kResponseValidFor);
        harness.answer_direct_calls("host-1", 1, at);
    }
    EXPECT_EQ(harness.machine_of("j-1"), "");
}

TEST(RepeatedRun, ACancelledTaskIsNotCommandedToRun) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    JobSpec spec = harness.make_job_spec("j-1", 4);
    harness.submit_job(spec);
    harness.advance_time(600);
    ASSERT_EQ(harness.machine_of("j-1"), "host-1");
    harness.context->replica.apply({keys::job("j-1"),
                                    encode_job({spec, true}, harness.context->names),
                                    harness.next_created_version++});
    harness.leader->job_changed(harness.now, "j-1");
    for (int step = 0; step < 5; ++step) {
        EXPECT_EQ(count_commands(harness.heartbeat("host-1"), WorkerCommandType::run), 0U);
        harness.advance_time(500);
    }
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
