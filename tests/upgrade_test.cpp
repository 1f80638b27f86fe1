// Rolling upgrades: seeded simulation runs in which the controllers change version one after
// another while they serve requests. Services are submitted afterwards, and the store lowers its
// limits during the run.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "standin/test_support.hpp"
#include "standin/world.hpp"

namespace walkford::standin {
namespace {

const testing::Environment* const kQuietLog =
    testing::AddGlobalTestEnvironment(new LogLevelFromEnvironment);

Options rollout_options(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.duration = 150000;
    options.recovery_period = 200000;
    options.services = 8;
    options.rollout_at = 20000;
    options.limits_lowered_at = 60000;
    return options;
}

struct Totals {
    int upgraded = 0, accepted = 0, replicas_restarted = 0, too_large = 0, too_frequent = 0,
        elections = 0;
    void add(const World& world) {
        upgraded += world.upgraded;
        accepted += world.accepted;
        replicas_restarted += world.replica_restarts;
        too_large += world.state().refused_for_size;
        too_frequent += world.state().refused_for_rate;
        elections += world.elections;
    }
};

// Without injected faults, every job and every replica is served, and no write is too large.
TEST(Rollout, ServesEveryJobWithoutFaults) {
    Totals totals;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Options options = rollout_options(seed);
        options.faults = false;
        World world(options);
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << join_violations(world);
        totals.add(world);
    }
    EXPECT_EQ(totals.upgraded, 30);
    EXPECT_GT(totals.accepted, 200);
    EXPECT_EQ(totals.too_large, 0);
}

class RolloutWithFaults : public testing::TestWithParam<int> {};

TEST_P(RolloutWithFaults, BreaksNoRuleAndServesEveryJob) {
    Totals totals;
    for (std::uint64_t run = 0; run < 8; ++run) {
        std::uint64_t seed = 20000 + 100 * static_cast<std::uint64_t>(GetParam()) + run;
        World world(rollout_options(seed));
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << join_violations(world);
        totals.add(world);
    }
    EXPECT_EQ(totals.upgraded, 24);
    EXPECT_GT(totals.replicas_restarted, 20) << "too few replicas were restarted after they ended";
    EXPECT_EQ(totals.too_large, 0);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RolloutWithFaults, testing::Range(0, 4));

// The faults that are most likely to break an upgrade: controllers that end outside their turn,
// elections, network partitions, delayed writes and outages of the store.
TEST(Rollout, BreaksNoRuleWithControllerAndStoreFaults) {
    Totals totals;
    for (std::uint64_t run = 0; run < 12; ++run) {
        Options options = rollout_options(30000 + run);
        options.only = {Fault::controller_restarts,
                        Fault::quick_restarts,
                        Fault::late_writes,
                        Fault::state_outage,
                        Fault::state_refuses_controller,
                        Fault::controller_cut_from_all,
                        Fault::leaders_end_in_turn,
                        Fault::lost_answers,
                        Fault::all_controllers_restart,
                        Fault::controller_freezes,
                        Fault::controller_cut_from_state,
                        Fault::mass_cancellation};
        World world(options);
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << options.seed << join_violations(world);
        totals.add(world);
    }
    EXPECT_EQ(totals.upgraded, 36);
    EXPECT_GT(totals.elections, 40);
    EXPECT_EQ(totals.too_large, 0);
}

// While one controller is not upgraded, services are refused at once and all other jobs run as
// usual.
TEST(Rollout, RefusesServicesUntilAllControllersAreUpgraded) {
    for (bool one_controller_stays_old : {true, false}) {
        Options options = rollout_options(7);
        options.faults = false;
        options.recovery_period = 0;
        options.limits_lowered_at = -1;
        options.one_controller_stays_old = one_controller_stays_old;
        World world(options);
        world.run();
        EXPECT_TRUE(world.violations.empty()) << join_violations(world);
        EXPECT_EQ(world.upgraded, one_controller_stays_old ? 2 : 3);
        EXPECT_EQ(world.services_accepted > 0, !one_controller_stays_old);
        EXPECT_EQ(world.services_refused > 8, one_controller_stays_old);
        EXPECT_GT(world.jobs_done, 8);
    }
}

// Replicas of services are restarted after every kind of fault, in runs without an upgrade.
TEST(Services, RestartReplicasAfterEveryKindOfFault) {
    int replicas_restarted = 0;
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        Options options;
        options.seed = 40000 + seed;
        options.duration = 120000;
        options.recovery_period = 200000;
        options.services = 12;
        World world(options);
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << options.seed << join_violations(world);
        replicas_restarted += world.replica_restarts;
    }
    EXPECT_GT(replicas_restarted, 60);
}

// For a longer manual search: SEEDS=from:to upgrade_test --gtest_also_run_disabled_tests
//     --gtest_filter=DISABLED_Search.*
TEST(DISABLED_Search, RolloutWithAllFaults) {
    std::vector<std::uint64_t> seeds = seeds_to_search();
    ASSERT_FALSE(seeds.empty());
    for (std::uint64_t seed : seeds) {
        World world(rollout_options(seed));
        world.run();
        EXPECT_TRUE(world.violations.empty()) << "seed " << seed << join_violations(world);
    }
}

}  // namespace
}  // namespace walkford::standin
