// Scaling out and in by utilization, and for machines that fall silent together.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>

#include "leader_bench.hpp"

namespace walkford {
namespace {

TEST(Scaling, ScalesOutAboveTheHighMarkOnceAnIntervalHasPassed) {
    LeaderBench bench;
    bench.lead({});
    bench.job(bench.spec("j-1", 4));
    bench.pass(1000);
    EXPECT_TRUE(bench.scale_out_requests("small") == 0 && bench.scale_out_requests("gpu") == 0)
        << "a new leader waits one interval";
    bench.pass(5000);
    EXPECT_GE(bench.scale_out_requests("small"), 1);
    EXPECT_EQ(bench.scale_out_requests("gpu"), 0) << "the driving resource is cheaper without GPUs";
    const ScaleOutRequest h =
        decode_registry(*bench.written.front().writes[0].value, bench.context->names)
            ->scale_out_requests.at(0);
    EXPECT_TRUE(h.permanent)
        << "the first rented machine is permanent, and stands in the registry first";
}

TEST(Scaling, RequestsTheNextMachineTypeAtOnceAfterARefusal) {
    LeaderBench bench;
    bench.lead({});
    bench.job(bench.spec("j-1", 4));
    bench.pass(5000);
    std::set<std::string> tried;
    for (int round = 0; round < 40; ++round) {
        std::vector<CloudRequest> calls = std::move(bench.asked);
        bench.asked.clear();
        for (const CloudRequest& c : calls) {
            if (c.operation != CloudOperation::scale_out) {
                continue;
            }
            tried.insert(c.machine_type + c.zone + (c.spot ? "s" : "o"));
            CloudResponse r;
            r.call = c.call;
            r.status = CloudCallStatus::no_capacity;
            bench.context->cloud.reply(bench.now, r);
        }
        bench.pass(50);
    }
    EXPECT_EQ(tried.size(), 8U) << "two kinds, two zones, spot and ordinary, within two seconds";
}

TEST(Scaling, RepeatsAnUnansweredRequestUnderItsName) {
    LeaderBench bench;
    bench.lead({});
    bench.job(bench.spec("j-1", 4));
    bench.pass(5000);
    ASSERT_GE(bench.scale_out_requests("small"), 1);
    CloudRequest first;
    for (const CloudRequest& c : bench.asked) {
        if (c.operation == CloudOperation::scale_out) {
            first = c;
        }
    }
    bench.asked.clear();
    CloudResponse silence;
    silence.call = first.call;
    bench.context->cloud.reply(bench.now, silence);
    bench.pass(3000);
    bool repeated = false;
    for (const CloudRequest& c : bench.asked) {
        repeated |=
            c.operation == CloudOperation::scale_out && c.request_name == first.request_name;
    }
    EXPECT_TRUE(repeated);
}

// Twelve machines of twenty fall silent together and are back after their lease. A second fleet
// would be up when they are back; one that stays away is replaced.
TEST(Scaling, DoesNotReplaceMachinesThatFallSilentTogether) {
    for (std::size_t silent : {std::size_t{12}, std::size_t{3}}) {
        LeaderBench bench([](LeaderBench& b) {
            b.operator_settings.mark_low = 0.8;
            b.operator_settings.mark_high = 0.95;
            b.platform_settings.teams[0].quota = {0, 0, 0};
        });
        std::vector<std::pair<std::string, int>> hosts;
        hosts.reserve(20);
        for (int i = 0; i < 20; ++i) {
            hosts.emplace_back("host-" + std::to_string(10 + i), 0);
        }
        bench.lead(hosts);
        bench.job(bench.spec("j-work", 8, 19));
        bench.pass(500);
        auto all_heartbeat = [&](std::size_t from) {
            for (std::size_t i = from; i < hosts.size(); ++i) {
                std::vector<ReportedTask> tasks;
                for (std::uint32_t t = 0; t < 19; ++t) {
                    if (bench.where("j-work", t) == hosts[i].first) {
                        tasks.push_back({"j-work", t, 1, TaskState::running, "", false});
                    }
                }
                bench.heartbeat(hosts[i].first, tasks);
            }
        };
        all_heartbeat(0);
        all_heartbeat(0);
        Ms began = bench.now;
        int early = 0;
        while (bench.now < began + 60000) {
            bench.pass(1000);
            all_heartbeat(silent);
            if (bench.now <= began + 29000) {
                early = bench.scale_out_requests("small");
            }
        }
        EXPECT_EQ(early > 0, silent == 3) << silent;
        EXPECT_GT(bench.scale_out_requests("small"), 0) << silent;
    }
}

}  // namespace
}  // namespace walkford
