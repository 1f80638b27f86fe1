// Seeded random runs: several cores against the stand-in world, every rule checked as it goes.
#include "standin/world.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>

#include "standin/test_support.hpp"

namespace walkford::standin {
namespace {

const testing::Environment* const kQuiet = testing::AddGlobalTestEnvironment(new QuietLog);

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
    EXPECT_GT(w.largest_turn, 2U) << "inputs are taken in together, as by the real event loop";
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

// The check of waits beside free room sees a service that holds work back for no reason.
TEST(Mutation, WithALimitBelievedTooLowJobsWaitBesideRoom) {
    Options o;
    o.seed = 3;
    o.faults = false;
    o.calm = 200000;
    o.told_quota_cpus = 6;
    World w(o);
    w.run();
    EXPECT_TRUE(std::any_of(w.violations.begin(), w.violations.end(), [](const std::string& v) {
        return v.rfind("waits_beside_room", 0) == 0;
    })) << all(w);
}

// What PROTOCOL adds: each trouble alone and all together; every job served once all is well again.
class Troubles : public testing::TestWithParam<Fault> {};

Options troubled(std::vector<Fault> only, std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.only = std::move(only);
    o.duration = 120000;
    o.calm = 200000;
    return o;
}

// How often the fault came about, and how often it must for the days to show anything.
struct Evidence {
    int World::*count;
    int least;
};
const std::map<Fault, Evidence>& evidence() {
    static const std::map<Fault, Evidence> table{
        {Fault::machine_hears_nothing, {&World::machines_deaf, 10}},
        {Fault::late_writes, {&World::written_late, 10}},
        {Fault::late_reports, {&World::copies, 150}},
        {Fault::machines_mute, {&World::muted, 100}},
        {Fault::mass_cancellation, {&World::cancelled_running, 30}},
        {Fault::cancellation_at_end, {&World::cancelled_at_end, 30}},
        {Fault::leaders_end_in_turn, {&World::elections, 60}},
        {Fault::all_controllers_away, {&World::elections, 20}},
        {Fault::isolated_leader_and_cancellations, {&World::cancelled_running, 30}},
        {Fault::odd_requests, {&World::refused_jobs, 100}},
        {Fault::lost_answers, {&World::answers_lost, 50}},
        {Fault::close_looks, {&World::close_looks, 200}},
        {Fault::late_commands, {&World::commands_late, 5}},
        {Fault::reports_for_next_leader, {&World::reports_for_next, 50}},
        {Fault::cancellation_in_handover, {&World::cancelled_in_handover, 10}},
        {Fault::limit_and_hanging_machines, {&World::cancelled_running, 30}},
        {Fault::fast_machines_slow_writes, {&World::started_fast, 30}},
        {Fault::small_job_flood, {&World::small_jobs, 1000}},
        {Fault::zone_loses_machines, {&World::zone_bound_losses, 10}},
        {Fault::zones_apart, {&World::relayed, 100}},
    };
    return table;
}

TEST_P(Troubles, KeepTheRulesAndEveryJobIsServed) {
    auto wanted = evidence().find(GetParam());
    int copies = 0;
    int came_about = 0;
    for (std::uint64_t day = 0; day < 6; ++day) {
        World w(troubled({GetParam()}, 7000 + day));
        w.run();
        EXPECT_TRUE(w.violations.empty()) << name_of(GetParam()) << " seed " << day << all(w);
        copies += w.copies;
        if (wanted != evidence().end()) {
            came_about += w.*(wanted->second.count);
        }
    }
    EXPECT_GT(copies, 15);  // late copies come on every day with faults
    if (wanted != evidence().end()) {
        EXPECT_GT(came_about, wanted->second.least);
    }
}
std::vector<Fault> all_faults() {
    std::vector<Fault> faults;
    for (std::size_t fault = 0; fault < kFaults; ++fault) {
        faults.push_back(static_cast<Fault>(fault));
    }
    return faults;
}
INSTANTIATE_TEST_SUITE_P(Alone, Troubles, testing::ValuesIn(all_faults()),
                         [](const testing::TestParamInfo<Fault>& fault) {
                             return std::string(name_of(fault.param));
                         });

TEST(TroublesTogether, KeepTheRulesAndEveryJobIsServed) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        World w(troubled({}, 9000 + seed));
        w.run();
        EXPECT_TRUE(w.violations.empty()) << "seed " << seed << all(w);
    }
}

// Writes carried out late while leaders end one after the other and machines lose what they hold:
// what a leader took for durable must be what the next one finds.
TEST(TroublesTogether, LateWritesAndLeadersThatEnd) {
    int late = 0, elections = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        World w(troubled({Fault::controller_restarts, Fault::machine_reboots, Fault::late_writes,
                          Fault::late_writes, Fault::leaders_end_in_turn},
                         11000 + seed));
        w.run();
        EXPECT_TRUE(w.violations.empty()) << "seed " << seed << all(w);
        late += w.written_late;
        elections += w.elections;
    }
    EXPECT_GT(late, 100);
    EXPECT_GT(elections, 200);
}

// The meetings in which two or three faults fall together, beyond what chance brings.
TEST(TroublesTogether, MeetingsKeepTheRules) {
    const std::vector<std::vector<Fault>> meetings{
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
    for (std::size_t meeting = 0; meeting < meetings.size(); ++meeting) {
        for (std::uint64_t day = 0; day < 6; ++day) {
            World w(troubled(meetings[meeting], 13000 + 100 * meeting + day));
            w.run();
            EXPECT_TRUE(w.violations.empty()) << "meeting " << meeting << " day " << day << all(w);
        }
    }
}

// For a longer search by hand: SEEDS=from:to world_test --gtest_also_run_disabled_tests
//     --gtest_filter=DISABLED_Search.*
TEST(DISABLED_Search, AllTroublesTogether) {
    std::vector<std::uint64_t> seeds = seeds_to_search();
    ASSERT_FALSE(seeds.empty());
    for (std::uint64_t seed : seeds) {
        World w(troubled({}, seed));
        w.run();
        EXPECT_TRUE(w.violations.empty()) << "seed " << seed << all(w);
    }
}

// A machine that hears nothing must go back to the cloud, or what is bound to it waits for ever.
TEST(Mutation, WithDeafMachinesKeptAJobIsNotServed) {
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 24 && found == 0; ++seed) {
        Options o = troubled({Fault::machine_hears_nothing}, 7000 + seed);
        o.unacknowledged_release_s = 3600;
        World w(o);
        w.run();
        found += static_cast<int>(w.violations.size());
    }
    EXPECT_GT(found, 0);
}

// Two zones that can't reach each other for longer than a lease: work on the far side goes on, as
// its controllers answer for the leader.
int leases_over_apart(bool hide_relays, int& broken, int& relayed) {
    int over = 0;
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        Options o = troubled({Fault::zones_apart}, 15000 + seed);
        o.longest_run = 60000;
        o.calm = 400000;
        o.hide_relays = hide_relays;
        World w(o);
        w.run();
        broken += static_cast<int>(w.violations.size());
        if (!hide_relays) {
            EXPECT_TRUE(w.violations.empty()) << "seed " << o.seed << all(w);
        }
        relayed += w.relayed;
        over += w.leases_over;
    }
    return over;
}

TEST(Relay, WorkInAZoneCutOffFromTheLeaderGoesOn) {
    int broken = 0, relayed = 0;
    int over = leases_over_apart(false, broken, relayed);
    EXPECT_EQ(broken, 0);
    EXPECT_GT(relayed, 500);
    EXPECT_LE(over, 60);
}

// The leader must heed who answers for it, or it takes machines for lost whose work goes on.
TEST(Mutation, WithRelaysUnseenARuleBreaks) {
    int broken = 0, relayed = 0;
    leases_over_apart(true, broken, relayed);
    EXPECT_GT(broken, 0);
}

// However long nobody reaches the state service: while all controllers live and vouch for one
// another, nothing can have been cancelled, and no lease need run out.
TEST(Outage, WithAllControllersUpCostsNoTask) {
    constexpr std::uint64_t kDays = 60;
    int over = 0, began = 0;
    for (std::uint64_t seed = 1; seed <= kDays; ++seed) {
        Options o;
        o.seed = seed;
        o.faults = false;
        o.longest_run = 120000;
        o.duration = 200000;
        o.outage_at = 40000 + static_cast<Ms>(seed) * 333;
        o.outage_for = 80000;
        World w(o);
        w.run();
        EXPECT_TRUE(w.violations.empty()) << "seed " << seed << all(w);
        over += w.leases_over;
        began += w.started;
    }
    EXPECT_GT(began, 500);
    // A write on its way when the outage began leaves one node behind, and with it a day's leases:
    // one day in a dozen, so that the bound is on the mean of many. (It was 6 for 12 days; version
    // 0.3.0 had 112 in 300.)
    EXPECT_LE(over, 30);
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

TEST(Split, ACutOffLeaderLetsItsWorkersGoInTime) { EXPECT_EQ(broken_in(split_day(), 12), 0); }

TEST(Mutation, WithTooMuchTimeToCancelARuleBreaks) {
    Options o = split_day();
    o.told_cancel_s = 300;
    EXPECT_GT(broken_in(o, 12), 0);
}

// Another controller confirms cancellations while the leader alone is refused; then nobody can tell
// it, and its workers report to it on and on.
struct GapResult {
    int broken = 0, cancelled = 0, restarted = 0;
    std::string first;
};
GapResult gap_days(bool restarts, double told_cancel_s, int seeds) {
    GapResult sum;
    for (int k = 1; k <= seeds; ++k) {
        Options o;
        o.seed = static_cast<std::uint64_t>(k);
        o.faults = false;
        o.longest_run = 120000;
        o.jobs = 40;
        o.gap_at = 50000 + 337 * k;
        o.gap_restarts = restarts;
        o.told_cancel_s = told_cancel_s;
        World w(o);
        w.run();
        sum.broken += static_cast<int>(w.violations.size());
        sum.cancelled += w.gap_cancelled;
        sum.restarted += w.gap_restarted;
        if (sum.first.empty()) {
            sum.first = all(w);
        }
    }
    return sum;
}

TEST(Gap, WhatWasCalledOffWhileOnlyTheLeaderWasRefusedIsGoneInTime) {
    GapResult r = gap_days(false, 0, 20);
    EXPECT_EQ(r.broken, 0) << r.first;
    EXPECT_GT(r.cancelled, 20);  // the meeting came about
}

// A controller that comes back has heard nothing, but what its earlier process told still holds: a
// silence that begins at its start once vouched for that process too.
TEST(Gap, AControllerThatComesBackVouchesForItsOwnLifeOnly) {
    GapResult r = gap_days(true, 0, 20);
    EXPECT_EQ(r.broken, 0) << r.first;
    EXPECT_GT(r.cancelled, 20);
    EXPECT_GT(r.restarted, 20);
}

TEST(Mutation, WithTooMuchTimeToCancelTheGapBreaksARule) {
    EXPECT_GT(gap_days(false, 300, 10).broken, 0);
}

}  // namespace
}  // namespace walkford::standin
