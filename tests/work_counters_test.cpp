// Tests of the counters used to attribute a controller's CPU time.
#include "transport/work_counters.hpp"

#include <gtest/gtest.h>

namespace walkford::transport {
namespace {

StoreRequest changes_request(Ms wait_ms) {
    StoreRequest request;
    request.operation = StoreOperation::changes;
    request.wait_ms = wait_ms;
    return request;
}

TEST(WorkCounters, CountsByKindAndResetsEachPeriod) {
    WorkCounters counters;
    EXPECT_FALSE(counters.finish_period(1000, 0));
    counters.count_loop_iteration();
    counters.count_controller_step();
    counters.count_input(HeartbeatRequest{});
    counters.count_input(HeartbeatRequest{});
    counters.count_input(PollRequest{});
    counters.count_output(HeartbeatResponse{});
    counters.count_output(changes_request(0));
    counters.count_output(changes_request(20000));
    EXPECT_FALSE(counters.finish_period(1000 + WorkCounters::kPeriod - 1, 3));
    EXPECT_EQ(counters.finish_period(1000 + WorkCounters::kPeriod, 3),
              "work in 10000 ms: loop_turns=1 core_rounds=1 connections=3 poll=1 heartbeat=2 "
              "heartbeat_answer=1 state_call=2 proof=1 watch=1");
    EXPECT_EQ(counters.finish_period(1000 + 2 * WorkCounters::kPeriod, 3), "work in 10000 ms:");
}

}  // namespace
}  // namespace walkford::transport
