// Seeded random runs: several cores against the stand-in world, every rule checked as it goes.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include "standin/world.hpp"

namespace walkford::standin {
namespace {

class Quiet : public testing::Environment {
  public:
    void SetUp() override {
        const char* level = std::getenv("LOG_LEVEL");
        spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
    }
};
const testing::Environment* const kQuiet = testing::AddGlobalTestEnvironment(new Quiet);

std::string all(const World& w) {
    std::string s;
    for (const std::string& v : w.violations) s += "\n  " + v;
    return s;
}

TEST(World, QuietDayRunsEveryJob) {
    Options o;
    o.seed = 5;
    o.faults = false;
    o.duration = 200000;
    World w(o);
    w.run();
    EXPECT_TRUE(w.violations.empty()) << all(w);
    EXPECT_EQ(w.elections, 1);
    EXPECT_GE(w.accepted, 20);
    EXPECT_GE(w.jobs_done, 12);
    EXPECT_GT(w.started, 30);
}

class RoughDays : public testing::TestWithParam<int> {};

TEST_P(RoughDays, KeepTheRules) {
    int started = 0, done = 0;
    for (int k = 0; k < 12; ++k) {
        Options o;
        o.seed = static_cast<std::uint64_t>(GetParam()) * 1000 + static_cast<std::uint64_t>(k);
        World w(o);
        w.run();
        EXPECT_TRUE(w.violations.empty()) << "seed " << o.seed << all(w);
        started += w.started;
        done += w.jobs_done;
    }
    EXPECT_GT(started, 100);  // a world in which nothing runs breaks no rule either
    EXPECT_GT(done, 40);
}
INSTANTIATE_TEST_SUITE_P(Seeds, RoughDays, testing::Range(1, 9));

// The checks must be able to fail: with a guard taken away, some seed breaks a rule.
int broken_in(Options o, int seeds) {
    int found = 0;
    for (int k = 1; k <= seeds && found == 0; ++k) {
        o.seed = static_cast<std::uint64_t>(k);
        World w(o);
        w.run();
        found += static_cast<int>(w.violations.size());
    }
    return found;
}

TEST(Mutation, WithoutConditionsOnWritesARuleBreaks) {
    Options o;
    o.strip_fence = true;
    EXPECT_GT(broken_in(o, 20), 0);
}

TEST(Mutation, WithALeaseBelievedTooShortARuleBreaks) {
    Options o;
    o.told_lease_s = 3;
    EXPECT_GT(broken_in(o, 40), 0);
}

// The leader and the workers on one side, everything else on the other: a cancellation told there
// must have ended its tasks in time here, although nobody can tell them.
Options split_day() {
    Options o;
    o.faults = false;
    o.longest_run = 120000;
    o.jobs = 40;
    o.split_at = 40000;
    return o;
}

TEST(Split, ACutOffLeaderLetsItsWorkersGoInTime) {
    EXPECT_EQ(broken_in(split_day(), 12), 0);
}

TEST(Mutation, WithTooMuchTimeToCancelARuleBreaks) {
    Options o = split_day();
    o.told_cancel_s = 300;
    EXPECT_GT(broken_in(o, 12), 0);
}

}  // namespace
}  // namespace walkford::standin
