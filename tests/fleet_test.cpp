// The work of a step is bounded on a fleet of thousands of machines.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_bench.hpp"

namespace walkford {
namespace {

// Two thousand machines and twenty thousand tasks that wait, in jobs of one, of thirty and gangs of
// eight: no step looks at much more than its share, and those at the end of the line get their
// turn.
TEST(Fleet, BoundsTheWorkOfAStepAndStarvesNoJob) {
    LeaderBench bench([](LeaderBench& b) {
        for (Team& t : b.platform_settings.teams) {
            t.quota = {0, 0, 0};
        }
        b.operator_settings.mark_low = 0.8;
        b.operator_settings.mark_high = 0.95;
        b.operator_settings.scale_out_unplaceable = false;
        b.platform_settings.store_limits.writes_per_s = 1e6;
        b.platform_settings.report_s = 30;  // all are up all the time
        b.platform_settings.lease_s = 100;
    });
    std::vector<std::pair<std::string, int>> hosts;
    constexpr int kMachines = 4000;
    hosts.reserve(kMachines);
    for (int i = 0; i < kMachines; ++i) {
        hosts.emplace_back("host-" + std::to_string(10000 + i), i % 2);
    }
    bench.lead(hosts);
    int next = 0;
    auto add = [&](int jobs, std::uint32_t tasks, double cpus, bool gang) {
        for (int i = 0; i < jobs; ++i) {
            JobSpec s = bench.spec("j-" + std::to_string(next++), cpus, tasks, gang);
            s.team = static_cast<Id>(next % 2);
            s.one_zone = gang;
            bench.job(s);
        }
    };
    add(8000, 1, 2, false);
    add(934, 30, 1, false);
    add(500, 8, 4, true);
    std::size_t placing = 0, packing = 0;
    for (int step = 0; step < 400; ++step) {
        bench.pass(50);
        placing = std::max(placing, bench.leader->context().work.placing);
        packing = std::max(packing, bench.leader->context().work.packing);
    }
    EXPECT_GT(placing, 0U);
    EXPECT_GT(packing, 0U);
    // Shares are 400,000 looks each; one job's own part may come on top.
    EXPECT_LT(placing, 500000U);
    EXPECT_LT(packing, 500000U);
    std::size_t waiting = 0;
    for (const Job& j : bench.cluster().jobs) {
        waiting += j.alive && j.assigned == 0;
    }
    EXPECT_EQ(waiting, 0U);
}

}  // namespace
}  // namespace walkford
