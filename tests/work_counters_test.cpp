// The counters by which a controller's processor time is attributed.
#include "transport/work_counters.hpp"

#include <gtest/gtest.h>

namespace walkford::transport {
namespace {

StoreRequest changes_call(Ms wait) {
    StoreRequest call;
    call.operation = StoreOperation::changes;
    call.wait_ms = wait;
    return call;
}

TEST(WorkCounters, CountByKindAndBeginAnewEachPeriod) {
    WorkCounters counters;
    EXPECT_FALSE(counters.finish_period(1000, 0));
    counters.count_loop_turn();
    counters.count_core_round();
    counters.count_input(HeartbeatRequest{});
    counters.count_input(HeartbeatRequest{});
    counters.count_input(PollRequest{});
    counters.count_output(HeartbeatResponse{});
    counters.count_output(changes_call(0));
    counters.count_output(changes_call(20000));
    EXPECT_FALSE(counters.finish_period(1000 + WorkCounters::kPeriod - 1, 3));
    EXPECT_EQ(counters.finish_period(1000 + WorkCounters::kPeriod, 3),
              "work in 10000 ms: loop_turns=1 core_rounds=1 connections=3 poll=1 heartbeat=2 "
              "heartbeat_answer=1 state_call=2 proof=1 watch=1");
    EXPECT_EQ(counters.finish_period(1000 + 2 * WorkCounters::kPeriod, 3), "work in 10000 ms:");
}

}  // namespace
}  // namespace walkford::transport
