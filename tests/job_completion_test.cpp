// Tests of how jobs end.
#include <gtest/gtest.h>

#include "leader_harness.hpp"

namespace walkford {
namespace {

ReportedTask completed_task(const std::string& job, std::uint32_t task) {
    ReportedTask reported;
    reported.job = job;
    reported.task = task;
    reported.attempt = 1;
    reported.state = TaskState::exited;
    reported.cause = "done";
    return reported;
}

// Guards against telling users that no task of a job is done although the job is: the number of
// tasks was taken from memory when the write was confirmed, and the job may be gone from there.
TEST(JobCompletion, CachesTheNumberOfTasksThatTheWriteCarried) {
    LeaderHarness harness;
    harness.elect_with_machines({{"host-1", 0}});
    harness.submit_job(harness.make_job_spec("j-1", 4, 2));
    harness.advance_time(2000);
    harness.heartbeat("host-1");
    ASSERT_EQ(harness.machine_of("j-1", 1), "host-1");
    harness.held_key = keys::finished_job("j-1");
    harness.heartbeat("host-1", {completed_task("j-1", 0), completed_task("j-1", 1)});
    harness.advance_time(1000);
    ASSERT_EQ(harness.held_writes.size(), 1U);
    // The write was executed. A snapshot, which has no finished jobs, shows it before its answer.
    harness.context->replica.apply({keys::job("j-1"), std::nullopt, 1000});
    harness.leader->job_changed(harness.now, "j-1");
    ASSERT_EQ(harness.cluster().find_job("j-1"), kNone);
    harness.answer_held_write();
    auto ended = harness.context->replica.ended("j-1");
    ASSERT_TRUE(ended);
    EXPECT_FALSE(ended->cancelled);
    EXPECT_EQ(ended->tasks, 2U);
}

}  // namespace
}  // namespace walkford
