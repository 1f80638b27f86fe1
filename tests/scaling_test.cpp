// Tests of the scaler: scale-out by utilization, retries of scale-out requests, and machines that
// fall silent together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_harness.hpp"

namespace walkford {
namespace {

TEST(Scaling, ScalesOutAboveTheHighMarkOnceAnIntervalHasPassed) {
    LeaderHarness harness;
    harness.elect_with_machines({});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(1000);
    EXPECT_TRUE(harness.scale_out_requests("small") == 0 && harness.scale_out_requests("gpu") == 0)
        << "a new leader scaled out before the first interval had passed";
    harness.advance_time(5000);
    EXPECT_GE(harness.scale_out_requests("small"), 1);
    EXPECT_EQ(harness.scale_out_requests("gpu"), 0)
        << "GPU machines cost more per core, and cores are the dominant resource";
    const ScaleOutRequest request =
        decode_registry(*harness.written_transactions.front().writes[0].value,
                        harness.context->names)
            ->scale_out_requests.at(0);
    EXPECT_TRUE(request.permanent)
        << "the first scale-out must request permanent machines, and write the registry first";
}

TEST(Scaling, RequestsTheNextMachineTypeAtOnceAfterARefusal) {
    LeaderHarness harness;
    harness.elect_with_machines({});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(5000);
    std::set<std::string> tried_groups;
    for (int round = 0; round < 40; ++round) {
        std::vector<CloudRequest> requests = std::move(harness.cloud_requests);
        harness.cloud_requests.clear();
        for (const CloudRequest& request : requests) {
            if (request.operation != CloudOperation::scale_out) {
                continue;
            }
            tried_groups.insert(request.machine_type + request.zone + (request.spot ? "s" : "o"));
            CloudResponse response;
            response.call = request.call;
            response.status = CloudCallStatus::no_capacity;
            harness.context->cloud.reply(harness.now, response);
        }
        harness.advance_time(50);
    }
    EXPECT_EQ(tried_groups.size(), 8U)
        << "2 machine types in 2 zones, spot and on demand, tried within 2 s";
}

TEST(Scaling, RepeatsAnUnansweredRequestUnderTheSameName) {
    LeaderHarness harness;
    harness.elect_with_machines({});
    harness.submit_job(harness.make_job_spec("j-1", 4));
    harness.advance_time(5000);
    ASSERT_GE(harness.scale_out_requests("small"), 1);
    CloudRequest first;
    for (const CloudRequest& request : harness.cloud_requests) {
        if (request.operation == CloudOperation::scale_out) {
            first = request;
        }
    }
    harness.cloud_requests.clear();
    CloudResponse no_answer;
    no_answer.call = first.call;
    harness.context->cloud.reply(harness.now, no_answer);
    harness.advance_time(3000);
    bool repeated = false;
    for (const CloudRequest& request : harness.cloud_requests) {
        repeated |= request.operation == CloudOperation::scale_out &&
                    request.request_name == first.request_name;
    }
    EXPECT_TRUE(repeated);
}

// Guards against replacing machines that hang or are partitioned together and recover soon after
// their lease has ended: the replacements would be up only when the machines are back. If 12 of 20
// fall silent, nothing is requested in the first 29 s, but replacements are once the machines stay
// silent; if 3 of 20 do, replacements are requested within the 29 s.
TEST(Scaling, ReplacesMachinesThatFallSilentTogetherOnlyIfTheyStaySilent) {
    for (std::size_t silent_count : {std::size_t{12}, std::size_t{3}}) {
        LeaderHarness harness([](LeaderHarness& configured_harness) {
            configured_harness.operator_settings.mark_low = 0.8;
            configured_harness.operator_settings.mark_high = 0.95;
            configured_harness.platform_settings.teams[0].quota = {0, 0, 0};
        });
        std::vector<std::pair<std::string, int>> machines;
        machines.reserve(20);
        for (int i = 0; i < 20; ++i) {
            machines.emplace_back("host-" + std::to_string(10 + i), 0);
        }
        harness.elect_with_machines(machines);
        harness.submit_job(harness.make_job_spec("j-work", 8, 19));
        harness.advance_time(500);
        auto send_heartbeats_from = [&](std::size_t first_machine) {
            for (std::size_t i = first_machine; i < machines.size(); ++i) {
                std::vector<ReportedTask> tasks;
                for (std::uint32_t task = 0; task < 19; ++task) {
                    if (harness.machine_of("j-work", task) == machines[i].first) {
                        tasks.push_back({"j-work", task, 1, TaskState::running, "", false});
                    }
                }
                harness.heartbeat(machines[i].first, tasks);
            }
        };
        send_heartbeats_from(0);
        send_heartbeats_from(0);
        Ms start = harness.now;
        int early_requests = 0;
        while (harness.now < start + 60000) {
            harness.advance_time(1000);
            send_heartbeats_from(silent_count);
            if (harness.now <= start + 29000) {
                early_requests = harness.scale_out_requests("small");
            }
        }
        EXPECT_EQ(early_requests > 0, silent_count == 3) << silent_count << " silent machines";
        EXPECT_GT(harness.scale_out_requests("small"), 0) << silent_count << " silent machines";
    }
}

}  // namespace
}  // namespace walkford
