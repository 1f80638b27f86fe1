// Seeded simulation runs that show that no task starts a second time, whichever way its `run`
// command reaches the worker, when copies of old messages arrive late and controllers or machines
// are back within a second.
//
// On a service like this one, a late copy of a start command that had been carried out and answered
// before reached a machine once more: a task ran on two machines, and a cancelled task ran again.
#include <gtest/gtest.h>

#include "standin/test_support.hpp"

namespace walkford::standin {
namespace {

const testing::Environment* const kQuiet =
    testing::AddGlobalTestEnvironment(new LogLevelFromEnvironment);

constexpr int kRuns = 16;
constexpr std::uint64_t kFirstSeed = 17000;

// What happens to the messages and processes, beside moves, cancellations and ends of tasks.
struct Situation {
    const char* name;
    std::vector<Fault> faults;
    MessageCopies copies;
    int World::*occurrences;  // how often it happened, in all runs together
    int at_least;
};

// Names the situation in the list of tests.
std::ostream& operator<<(std::ostream& out, const Situation& situation) {
    return out << situation.name;
}

// Tasks move, are cancelled and end in all runs.
std::vector<Fault> with_moves(std::vector<Fault> faults) {
    faults.insert(faults.end(), {Fault::mass_cancellation, Fault::cancellation_at_end,
                                 Fault::machine_cut_off, Fault::zones_apart});
    return faults;
}

std::vector<Situation> situations() {
    MessageCopies refusals;
    refusals.refused_starts = 0.15;
    MessageCopies late_reports = refusals;
    late_reports.reports = 0.3;
    MessageCopies copied_responses = refusals;
    copied_responses.responses = 0.5;
    MessageCopies copied_commands = refusals;
    copied_commands.commands = 0.7;
    MessageCopies restarts = late_reports;
    restarts.machine_restart_interval = 6000;
    MessageCopies everything = restarts;
    everything.responses = 0.5;
    everything.commands = 0.7;
    const std::vector<Fault> leaders{Fault::controller_restarts, Fault::quick_restarts};
    return {
        {"late_copy_of_the_report",
         {Fault::late_reports, Fault::reports_for_next_leader, Fault::controller_restarts},
         late_reports,
         &World::duplicate_heartbeats,
         500},
        {"late_copy_of_the_response", leaders, copied_responses, &World::responses_copied, 200},
        {"late_copy_of_a_direct_command", leaders, copied_commands, &World::commands_copied, 50},
        {"leader_back_within_a_second",
         {Fault::quick_restarts, Fault::quick_restarts, Fault::reports_for_next_leader},
         late_reports,
         &World::elections,
         2 * kRuns},
        {"machine_back_within_a_second",
         {Fault::machine_reboots, Fault::controller_restarts, Fault::reports_for_next_leader},
         restarts,
         &World::machines_restarted,
         100},
        {"everything",
         {Fault::machine_reboots, Fault::quick_restarts, Fault::reports_for_next_leader,
          Fault::late_commands},
         everything,
         &World::machines_restarted,
         100},
    };
}

Options run_of(const Situation& situation, std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.only = with_moves(situation.faults);
    options.copies = situation.copies;
    options.jobs = 40;
    options.services = 2;
    options.duration = 120000;
    options.recovery_period = 200000;
    return options;
}

class RepeatedStart : public testing::TestWithParam<Situation> {};

TEST_P(RepeatedStart, NoTaskStartsTwice) {
    const Situation& situation = GetParam();
    int occurrences = 0;
    std::map<std::string, int> ways;
    for (int run = 0; run < kRuns; ++run) {
        World world(run_of(situation, kFirstSeed + static_cast<std::uint64_t>(run)));
        world.run();
        EXPECT_TRUE(world.violations.empty())
            << situation.name << " run " << run << join_violations(world);
        occurrences += world.*situation.occurrences;
        ways["in a response"] += world.runs_sent;
        ways["in a deferred response"] += world.runs_deferred;
        ways["again, after the response was lost"] += world.runs_repeated;
        ways["after a clear"] += world.runs_after_clear;
        ways["again, by the next leader"] += world.runs_by_next_leader;
        // A `run` in a relay or a direct command would be a violation.
        ways["relays"] += world.relayed;
        ways["direct commands"] += world.direct_commands;
        ways["cancelled while running"] += world.cancelled_running;
    }
    EXPECT_GE(occurrences, situation.at_least) << situation.name;
    for (const auto& [way, count] : ways) {
        EXPECT_GT(count, 0) << situation.name << ": no " << way;
    }
}
INSTANTIATE_TEST_SUITE_P(Each, RepeatedStart, testing::ValuesIn(situations()),
                         [](const testing::TestParamInfo<Situation>& situation) {
                             return std::string(situation.param.name);
                         });

// A longer search over chosen seeds, to be started manually:
//     SEEDS=from:to repeated_start_test --gtest_also_run_disabled_tests
//     --gtest_filter=DISABLED_Search.*
TEST(DISABLED_Search, RepeatedStarts) {
    std::vector<std::uint64_t> seeds = seeds_to_search();
    ASSERT_FALSE(seeds.empty());
    for (const Situation& situation : situations()) {
        for (std::uint64_t seed : seeds) {
            World world(run_of(situation, seed));
            world.run();
            EXPECT_TRUE(world.violations.empty())
                << situation.name << " seed " << seed << join_violations(world);
        }
    }
}

int count_violations(const std::string& rule, const Options& changed, std::uint64_t seeds) {
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= seeds && violations == 0; ++seed) {
        Options options = changed;
        options.seed = seed;
        World world(options);
        world.run();
        violations += static_cast<int>(
            std::count_if(world.violations.begin(), world.violations.end(),
                          [&](const std::string& text) { return text.rfind(rule, 0) == 0; }));
    }
    return violations;
}

// The checks must see a second start: here copies of responses arrive later than a worker accepts
// them, so that they start tasks that have since moved.
TEST(Mutation, CopiesOfResponsesBeyondTheTimeInWhichWorkersAcceptThemStartTasksTwice) {
    Situation situation = situations()[1];
    situation.copies.response_valid_ms = 40000;
    EXPECT_GT(count_violations("ran_twice", run_of(situation, 0), 40), 0);
}

}  // namespace
}  // namespace walkford::standin
