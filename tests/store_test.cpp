// The replica of the store and its watcher, and the pacing of requests to store and cloud.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"
#include "test_operator_settings.hpp"

namespace walkford {
namespace {

// Two thousand machines are listed in four pages; whoever rents or gives back does not wait behind
// them.
TEST(CloudClient, SendsScaleOutRequestsBeforeLists) {
    CloudClient pending(2.5);  // two calls a second
    Outputs out;
    for (CloudOperation operation : {CloudOperation::list, CloudOperation::list,
                                     CloudOperation::scale_in, CloudOperation::scale_out}) {
        CloudRequest c;
        c.operation = operation;
        pending.call(std::move(c), [](Ms, const CloudResponse&) {});
    }
    std::vector<CloudOperation> order;
    for (Ms now = 0; now <= 3000; now += 100) {
        pending.send_queued(now, out);
    }
    for (const Output& o : out) {
        order.push_back(std::get<CloudRequest>(o).operation);
    }
    EXPECT_EQ(order, (std::vector{CloudOperation::scale_in, CloudOperation::scale_out,
                                  CloudOperation::list, CloudOperation::list}));
}

TEST(StoreReplica, IgnoresAChangeOlderThanADeletion) {
    Names names;
    names.teams.intern("red");
    StoreReplica v(names);
    JobSpec s;
    s.id = "j-1";
    s.team = 0;
    Json job = encode_job({s, false}, names);
    v.apply({keys::job("j-1"), job, 5});
    v.apply({keys::job("j-1"), std::nullopt, 9});
    v.apply({keys::job("j-1"), job, 5});
    EXPECT_EQ(v.job("j-1"), nullptr);
}

// Changes asked for before a reading of the whole state, answered after it: a job that the reading
// no longer found (it had ended) was known as live again, for ever, and its end was taken back.
TEST(StoreWatcher, DropsChangesRequestedBeforeAFullRead) {
    spdlog::set_level(spdlog::level::off);
    PlatformSettings p;
    p.controller_name = "n0";
    p.zones = {"a"};
    ControllerContext context(p, {}, 1);
    StoreWatcher watcher(context.store, context.replica, context.out,
                         [&context](Ms most) { return context.jitter(most); });
    std::vector<StoreRequest> asked;
    auto collect = [&] {
        for (Output& o : context.out) {
            if (auto* c = std::get_if<StoreRequest>(&o)) {
                asked.push_back(*c);
            }
        }
        context.out.clear();
    };
    auto reply = [&](Ms now, const StoreRequest& c, StoreStatus status, std::uint64_t revision,
                     std::vector<StoreEntry> rows = {}) {
        StoreResponse r;
        r.call = c.call;
        r.status = status;
        r.revision = revision;
        r.rows = std::move(rows);
        context.store.reply(now, r);
        collect();
    };
    auto read_all = [&](Ms now, std::uint64_t revision) {
        watcher.tick(now);
        collect();
        ASSERT_EQ(asked.back().operation, StoreOperation::list);
        constexpr int kMostReadings = 20;
        for (int i = 0; i < kMostReadings && asked.back().operation == StoreOperation::list; ++i) {
            reply(now, StoreRequest(asked.back()), StoreStatus::ok, revision);
        }
        ASSERT_TRUE(watcher.ready());
    };
    read_all(1000, 10);
    StoreRequest watch = asked.back();
    ASSERT_EQ(watch.operation, StoreOperation::changes);
    int proven = 0, failed = 0;
    watcher.barrier(2000, [&](Ms, bool ok) { (ok ? proven : failed) += 1; });
    collect();
    StoreRequest barrier = asked.back();
    reply(2100, watch, StoreStatus::compacted, 10);
    read_all(2200, 12000);
    JobSpec s;
    s.id = "j-1";
    s.team = 0;
    context.names.teams.intern("red");
    StoreEntry old{keys::job("j-1"), encode_job({s, false}, context.names), 11};
    reply(2300, barrier, StoreStatus::ok, 11, {old});
    EXPECT_EQ(context.replica.job("j-1"), nullptr);
    EXPECT_EQ(proven, 0);
    EXPECT_EQ(failed, 1);
}

TEST(StoreClient, SendsSafetyWritesFirstWithinTheRateLimit) {
    StoreClient pending(StoreLimits{1000, 10, 4, 8}, std::nullopt, 3);
    pending.set_leading(true);
    Outputs out;
    pending.send_queued(0, out);
    std::vector<std::string> sent;
    auto put = [&](RequestPriority u, const std::string& key) {
        Transaction t;
        t.writes = {{key, Json(1), 0}};
        pending.transaction(u, std::move(t), [](Ms, const StoreResponse&) {});
    };
    for (int i = 0; i < 60; ++i) {
        put(RequestPriority::progress, "p");
    }
    put(RequestPriority::cancel, "c");
    for (Ms t = 0; t <= 3000; t += 50) {
        pending.send_queued(t, out);
    }
    for (Output& o : out) {
        sent.push_back(std::get<StoreRequest>(o).transaction.writes[0].key);
    }
    EXPECT_EQ(sent.at(0), "c");
    EXPECT_LE(sent.size(), 3 * 10 + 10U);
    EXPECT_GE(sent.size(), 15U);
}

}  // namespace
}  // namespace walkford
