// Seeded random simulation runs: several controllers against the simulated world, which checks
// every rule during the run.
#include "standin/world.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "standin/test_support.hpp"

namespace walkford::standin {
namespace {

const testing::Environment* const kQuiet =
    testing::AddGlobalTestEnvironment(new LogLevelFromEnvironment);

TEST(World, CompletesJobsWithoutFaults) {
    Options options;
    options.seed = 5;
    options.faults = false;
    options.duration = 200000;
    World world(options);
    world.run();
    EXPECT_TRUE(world.violations.empty()) << join_violations(world);
    EXPECT_EQ(world.elections, 1);
    EXPECT_GE(world.accepted, 20);
    EXPECT_GE(world.jobs_done, 12);
    EXPECT_GT(world.started, 30);
    EXPECT_GT(world.largest_input_batch, 2U)
        << "a controller must handle several inputs in one turn, as in the real event loop";
}

class RandomFaults : public testing::TestWithParam<int> {};

TEST_P(RandomFaults, BreakNoRule) {
    int started = 0, done = 0;
    for (int run = 0; run < 12; ++run) {
        Options options;
        options.seed =
            static_cast<std::uint64_t>(GetParam()) * 1000 + static_cast<std::uint64_t>(run);
        World world(options);
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << options.seed << join_violations(world);
        started += world.started;
        done += world.jobs_done;
    }
    // A run in which no task starts breaks no rule either, so enough tasks must have run.
    EXPECT_GT(started, 100);
    EXPECT_GT(done, 40);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RandomFaults, testing::Range(1, 9));

// Runs seeds 1 to `seeds` until one of them breaks a rule, and returns the number of violations.
// The Mutation tests disable one safeguard each and expect violations, which shows that the rule
// checks are able to fail.
int count_violations(Options options, int seeds) {
    int violations = 0;
    for (int seed = 1; seed <= seeds && violations == 0; ++seed) {
        options.seed = static_cast<std::uint64_t>(seed);
        World world(options);
        world.run();
        violations += static_cast<int>(world.violations.size());
    }
    return violations;
}

TEST(Mutation, WritesWithoutComparisonsBreakARule) {
    Options options;
    options.drop_transaction_conditions = true;
    EXPECT_GT(count_violations(options, 20), 0);
}

TEST(Mutation, TooShortConfiguredLeaseBreaksARule) {
    Options options;
    options.configured_lease_s = 3;
    EXPECT_GT(count_violations(options, 40), 0);
}

// The rule waits_beside_room must detect a scheduler that delays jobs although resources are free.
TEST(Mutation, TooLowConfiguredTeamLimitLeavesJobsWaitingDespiteFreeResources) {
    Options options;
    options.seed = 3;
    options.faults = false;
    options.recovery_period = 200000;
    options.configured_quota_cpus = 6;
    World world(options);
    world.run();
    EXPECT_TRUE(std::any_of(
        world.violations.begin(), world.violations.end(),
        [](const std::string& violation) { return violation.rfind("waits_beside_room", 0) == 0; }))
        << join_violations(world);
}

// Injects one kind of fault per run. Every job must have been served by the end of the fault-free
// phase that follows the faults.
class SingleFault : public testing::TestWithParam<Fault> {};

Options faulty_run(std::vector<Fault> only, std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.only = std::move(only);
    options.duration = 120000;
    options.recovery_period = 200000;
    return options;
}

// The counter of a fault's occurrences, and the number that all runs together must exceed for the
// test to be meaningful.
struct FaultOccurrence {
    int World::*count;
    int threshold;
};
const std::map<Fault, FaultOccurrence>& fault_occurrences() {
    static const std::map<Fault, FaultOccurrence> table{
        {Fault::machine_hears_nothing, {&World::machines_not_receiving, 10}},
        {Fault::late_writes, {&World::writes_applied_late, 10}},
        {Fault::late_reports, {&World::duplicate_heartbeats, 150}},
        {Fault::machines_mute, {&World::undelivered_heartbeats, 100}},
        {Fault::mass_cancellation, {&World::cancelled_running, 30}},
        {Fault::cancellation_at_end, {&World::cancelled_at_end, 30}},
        {Fault::leaders_end_in_turn, {&World::elections, 60}},
        {Fault::all_controllers_away, {&World::elections, 20}},
        {Fault::isolated_leader_and_cancellations, {&World::cancelled_running, 30}},
        {Fault::odd_requests, {&World::refused_jobs, 100}},
        {Fault::lost_answers, {&World::write_replies_lost, 50}},
        {Fault::close_looks, {&World::close_looks, 200}},
        {Fault::late_commands, {&World::commands_applied_late, 5}},
        {Fault::reports_for_next_leader, {&World::heartbeats_replayed_to_leader, 50}},
        {Fault::cancellation_in_handover, {&World::cancelled_in_handover, 10}},
        {Fault::limit_and_hanging_machines, {&World::cancelled_running, 30}},
        {Fault::fast_machines_slow_writes, {&World::fast_boots, 30}},
        {Fault::small_job_flood, {&World::small_jobs, 1000}},
        {Fault::zone_loses_machines, {&World::zone_bound_machines_lost, 10}},
        {Fault::zones_apart, {&World::relayed, 100}},
    };
    return table;
}

TEST_P(SingleFault, BreaksNoRuleAndEveryJobIsServed) {
    auto expected = fault_occurrences().find(GetParam());
    int duplicate_heartbeats = 0;
    int occurrences = 0;
    for (std::uint64_t run = 0; run < 6; ++run) {
        World world(faulty_run({GetParam()}, 7000 + run));
        world.run();
        EXPECT_TRUE(world.violations.empty())
            << name_of(GetParam()) << " seed " << 7000 + run << join_violations(world);
        duplicate_heartbeats += world.duplicate_heartbeats;
        if (expected != fault_occurrences().end()) {
            occurrences += world.*(expected->second.count);
        }
    }
    EXPECT_GT(duplicate_heartbeats,
              15);  // every run with faults delivers some messages again later
    if (expected != fault_occurrences().end()) {
        EXPECT_GT(occurrences, expected->second.threshold);
    }
}
std::vector<Fault> all_faults() {
    std::vector<Fault> faults;
    for (std::size_t fault = 0; fault < kFaults; ++fault) {
        faults.push_back(static_cast<Fault>(fault));
    }
    return faults;
}
INSTANTIATE_TEST_SUITE_P(Each, SingleFault, testing::ValuesIn(all_faults()),
                         [](const testing::TestParamInfo<Fault>& fault) {
                             return std::string(name_of(fault.param));
                         });

TEST(CombinedFaults, BreakNoRuleAndEveryJobIsServed) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        World world(faulty_run({}, 9000 + seed));
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << join_violations(world);
    }
}

// The store executes writes late while leaders end one after the other and machines reboot. The
// next leader must find in the store what the previous one considered durable.
TEST(CombinedFaults, LateWritesDuringLeaderChangesBreakNoRule) {
    int late_writes = 0, elections = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        World world(faulty_run({Fault::controller_restarts, Fault::machine_reboots,
                                Fault::late_writes, Fault::late_writes, Fault::leaders_end_in_turn},
                               11000 + seed));
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << join_violations(world);
        late_writes += world.writes_applied_late;
        elections += world.elections;
    }
    EXPECT_GT(late_writes, 100);
    EXPECT_GT(elections, 200);
}

// Combinations of two or three faults that random selection would seldom produce.
TEST(CombinedFaults, SelectedCombinationsBreakNoRule) {
    const std::vector<std::vector<Fault>> combinations{
        {Fault::lost_answers, Fault::close_looks, Fault::mass_cancellation},
        {Fault::close_looks, Fault::cancellation_at_end, Fault::controller_restarts},
        {Fault::late_commands, Fault::leaders_end_in_turn, Fault::mass_cancellation},
        {Fault::reports_for_next_leader, Fault::late_writes, Fault::machine_cut_off},
        {Fault::cancellation_in_handover, Fault::lost_answers, Fault::machines_hang},
        {Fault::limit_and_hanging_machines, Fault::late_commands, Fault::late_reports},
        {Fault::fast_machines_slow_writes, Fault::reports_for_next_leader, Fault::spot_notice},
        {Fault::small_job_flood, Fault::close_looks, Fault::controller_restarts},
        {Fault::zone_loses_machines, Fault::zone_cut_off, Fault::cancellation_in_handover},
        {Fault::zones_apart, Fault::mass_cancellation, Fault::controller_restarts},
        {Fault::zones_apart, Fault::leaders_end_in_turn, Fault::late_writes},
        {Fault::zones_apart, Fault::state_refuses_controller, Fault::machine_reboots},
        {Fault::zones_apart, Fault::controller_cut_from_all, Fault::cancellation_in_handover},
    };
    for (std::size_t index = 0; index < combinations.size(); ++index) {
        for (std::uint64_t run = 0; run < 6; ++run) {
            World world(faulty_run(combinations[index], 13000 + 100 * index + run));
            world.run();
            EXPECT_TRUE(world.violations.empty())
                << "combination " << index << " run " << run << join_violations(world);
        }
    }
}

// A longer search over chosen seeds, to be started manually:
//     SEEDS=from:to world_test --gtest_also_run_disabled_tests --gtest_filter=DISABLED_Search.*
TEST(DISABLED_Search, AllFaultsCombined) {
    std::vector<std::uint64_t> seeds = seeds_to_search();
    ASSERT_FALSE(seeds.empty());
    for (std::uint64_t seed : seeds) {
        World world(faulty_run({}, seed));
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << join_violations(world);
    }
}

// A machine that receives no commands must be returned to the cloud; otherwise the tasks assigned
// to it wait forever.
TEST(Mutation, KeepingUnreachableMachinesLeavesAJobUnserved) {
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= 24 && violations == 0; ++seed) {
        Options options = faulty_run({Fault::machine_hears_nothing}, 7000 + seed);
        options.unacknowledged_release_s = 3600;
        World world(options);
        world.run();
        violations += static_cast<int>(world.violations.size());
    }
    EXPECT_GT(violations, 0);
}

// Partitions two zones for longer than a worker lease, and returns the number of worker leases that
// expired. Tasks in the zone without the leader must keep running, because the controllers of that
// zone answer the workers' heartbeats on behalf of the leader.
int count_expired_leases_in_partition(bool hide_relay_records, int& violations, int& relayed) {
    int expired_leases = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Options options = faulty_run({Fault::zones_apart}, 15000 + seed);
        options.max_run_duration = 60000;
        options.recovery_period = 400000;
        options.hide_relay_records = hide_relay_records;
        World world(options);
        world.run();
        violations += static_cast<int>(world.violations.size());
        if (!hide_relay_records) {
            EXPECT_TRUE(world.violations.empty())
                << "seed " << options.seed << join_violations(world);
        }
        relayed += world.relayed;
        expired_leases += world.expired_leases_with_tasks;
    }
    return expired_leases;
}

TEST(LeaseRelay, KeepsTasksRunningInAZonePartitionedFromTheLeader) {
    int violations = 0, relayed = 0;
    int expired_leases = count_expired_leases_in_partition(false, violations, relayed);
    EXPECT_EQ(violations, 0);
    EXPECT_GT(relayed, 500);
    EXPECT_LE(expired_leases, 60);
}

// The leader must take relay records into account; otherwise it declares machines lost whose tasks
// are still running.
TEST(Mutation, IgnoringRelaysBreaksARule) {
    int violations = 0, relayed = 0;
    count_expired_leases_in_partition(true, violations, relayed);
    EXPECT_GT(violations, 0);
}

// During a store outage of any length, no job can have been cancelled as long as all controllers
// run and confirm this to each other by heartbeats, so no worker lease has to expire.
TEST(StoreOutage, ExpiresHardlyAnyLeaseWhileAllControllersRun) {
    constexpr std::uint64_t kRuns = 60;
    int expired_leases = 0, started = 0;
    for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
        Options options;
        options.seed = seed;
        options.faults = false;
        options.max_run_duration = 120000;
        options.duration = 200000;
        options.outage_at = 40000 + static_cast<Ms>(seed) * 333;
        options.outage_duration = 80000;
        World world(options);
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << join_violations(world);
        expired_leases += world.expired_leases_with_tasks;
        started += world.started;
    }
    EXPECT_GT(started, 500);
    // A write that is in flight when the outage begins can leave one controller's replica behind,
    // and then the worker leases of that run expire. This happens in about one run of twelve, so
    // the limit applies to the sum over many runs. (The limit was once 6 for 12 runs; version 0.3.0
    // had 112 expired leases in 300 runs.)
    EXPECT_LE(expired_leases, 30);
}

// A network partition leaves the leader and the workers on one side and everything else on the
// other. A cancellation that is confirmed to a user on the other side must stop its tasks in time,
// although neither the leader nor the workers can be told of it.
Options leader_partition_run() {
    Options options;
    options.faults = false;
    options.max_run_duration = 120000;
    options.jobs = 40;
    options.leader_isolated_at = 40000;
    return options;
}

TEST(LeaderPartition, IsolatedLeaderStopsRenewingWorkerLeasesInTime) {
    EXPECT_EQ(count_violations(leader_partition_run(), 12), 0);
}

TEST(Mutation, TooLongConfiguredCancellationTimeBreaksARule) {
    Options options = leader_partition_run();
    options.configured_cancel_s = 300;
    EXPECT_GT(count_violations(options, 12), 0);
}

// The store refuses only the leader, while another controller confirms cancellations to users. Then
// no controller reaches the store any more, so the leader can't learn of these cancellations, while
// its workers continue to send it heartbeats.
struct LeaderRefusalResult {
    int violations = 0, cancelled = 0, restarted = 0;
    std::string first_violations;
};
LeaderRefusalResult run_leader_refusals(bool restarts, double configured_cancel_s, int seeds) {
    LeaderRefusalResult sum;
    for (int seed = 1; seed <= seeds; ++seed) {
        Options options;
        options.seed = static_cast<std::uint64_t>(seed);
        options.faults = false;
        options.max_run_duration = 120000;
        options.jobs = 40;
        options.cancellation_gap_at = 50000 + 337 * seed;
        options.gap_restarts_followers = restarts;
        options.configured_cancel_s = configured_cancel_s;
        World world(options);
        world.run();
        sum.violations += static_cast<int>(world.violations.size());
        sum.cancelled += world.cancelled_in_gap;
        sum.restarted += world.restarted_in_gap;
        if (sum.first_violations.empty()) {
            sum.first_violations = join_violations(world);
        }
    }
    return sum;
}

TEST(LeaderRefusedByStore, CancelledTasksStopInTime) {
    LeaderRefusalResult result = run_leader_refusals(false, 0, 20);
    EXPECT_EQ(result.violations, 0) << result.first_violations;
    EXPECT_GT(result.cancelled, 20);  // otherwise the test proves nothing
}

// A restarted controller has received nothing from the store, but the responses of its earlier
// process remain valid. Having received nothing since its start once counted as covering the
// earlier process too, which let tasks of cancelled jobs run on (rule ran_cancelled).
TEST(LeaderRefusedByStore, RestartedControllerCoversOnlyItsOwnProcess) {
    LeaderRefusalResult result = run_leader_refusals(true, 0, 20);
    EXPECT_EQ(result.violations, 0) << result.first_violations;
    EXPECT_GT(result.cancelled, 20);
    EXPECT_GT(result.restarted, 20);
}

TEST(Mutation, TooLongConfiguredCancellationTimeBreaksARuleWhenTheStoreRefusesTheLeader) {
    EXPECT_GT(run_leader_refusals(false, 300, 10).violations, 0);
}

}  // namespace
}  // namespace walkford::standin
