// Bounds on the work of one leader step on a fleet of thousands of machines.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_harness.hpp"

namespace walkford {
namespace {

// Four thousand machines and forty thousand waiting tasks: single tasks, arrays of thirty and gangs
// of eight. No step may examine much more than its limit, and the jobs that are served last must
// start too.
TEST(Fleet, BoundsTheWorkOfAStepAndStarvesNoJob) {
    LeaderHarness harness([](LeaderHarness& setup) {
        for (Team& team : setup.platform_settings.teams) {
            team.quota = {0, 0, 0};
        }
        setup.operator_settings.mark_low = 0.8;
        setup.operator_settings.mark_high = 0.95;
        setup.operator_settings.scale_out_unplaceable = false;
        setup.platform_settings.store_limits.writes_per_s = 1e6;
        setup.platform_settings.report_s = 30;  // no heartbeat is overdue during the test
        setup.platform_settings.lease_s = 100;
    });
    std::vector<std::pair<std::string, int>> hosts;
    constexpr int kMachines = 4000;
    hosts.reserve(kMachines);
    for (int i = 0; i < kMachines; ++i) {
        hosts.emplace_back("host-" + std::to_string(10000 + i), i % 2);
    }
    harness.elect_with_machines(hosts);
    int next_job = 0;
    auto submit_jobs = [&](int jobs, std::uint32_t tasks, double cpus, bool gang) {
        for (int i = 0; i < jobs; ++i) {
            JobSpec spec =
                harness.make_job_spec("j-" + std::to_string(next_job++), cpus, tasks, gang);
            spec.team = static_cast<Id>(next_job % 2);
            spec.one_zone = gang;
            harness.submit_job(spec);
        }
    };
    submit_jobs(8000, 1, 2, false);
    submit_jobs(934, 30, 1, false);
    submit_jobs(500, 8, 4, true);
    std::size_t max_placing_work = 0;
    std::size_t max_packing_work = 0;
    for (int step = 0; step < 400; ++step) {
        harness.advance_time(50);
        max_placing_work = std::max(
            max_placing_work, harness.leader->context().candidate_counts.placement_candidates);
        max_packing_work = std::max(max_packing_work,
                                    harness.leader->context().candidate_counts.packing_candidates);
    }
    EXPECT_GT(max_placing_work, 0U);
    EXPECT_GT(max_packing_work, 0U);
    // Each limit is 400,000 examinations; the job at which it is reached may exceed it.
    EXPECT_LT(max_placing_work, 500000U);
    EXPECT_LT(max_packing_work, 500000U);
    std::size_t unstarted_jobs = 0;
    for (const Job& job : harness.cluster().jobs) {
        unstarted_jobs += job.alive && job.assigned == 0;
    }
    EXPECT_EQ(unstarted_jobs, 0U);
}

}  // namespace
}  // namespace walkford
