// Tests of the store replica and its watcher, and of the rate limits for requests to the store and
// to the cloud.
#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <random>

#include "bookkeeping/registry_record.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"
#include "test_operator_settings.hpp"

namespace walkford {
namespace {

// A list of 2000 machines takes four calls. Requests that add or remove machines must not wait
// behind these calls.
TEST(CloudClient, SendsScaleOutRequestsBeforeLists) {
    CloudClient client(2.5);  // two calls per second
    Outputs out;
    for (CloudOperation operation : {CloudOperation::list, CloudOperation::list,
                                     CloudOperation::scale_in, CloudOperation::scale_out}) {
        CloudRequest request;
        request.operation = operation;
        client.call(std::move(request), [](Ms, const CloudResponse&) {});
    }
    std::vector<CloudOperation> order;
    for (Ms now = 0; now <= 3000; now += 100) {
        client.send_queued(now, out);
    }
    for (const Output& output : out) {
        order.push_back(std::get<CloudRequest>(output).operation);
    }
    EXPECT_EQ(order, (std::vector{CloudOperation::scale_in, CloudOperation::scale_out,
                                  CloudOperation::list, CloudOperation::list}));
}

TEST(StoreReplica, IgnoresAChangeOlderThanADeletion) {
    Names names;
    names.teams.intern("red");
    StoreReplica replica(names);
    JobSpec spec;
    spec.id = "j-1";
    spec.team = 0;
    Json job = encode_job({spec, false}, names);
    replica.apply({keys::job("j-1"), job, 5});
    replica.apply({keys::job("j-1"), std::nullopt, 9});
    replica.apply({keys::job("j-1"), job, 5});
    EXPECT_EQ(replica.job("j-1"), nullptr);
}

// Returns the value with one random node replaced by a value of another type or size.
Json with_random_damage(const Json& value, std::mt19937& rng) {
    static const Json replacements = Json::parse(
        R"([null, true, -1, 1e300, 2147483647, 4294967295, 18446744073709551615, "x", "", [], {}, [[]], [7],
            {"host-1": 5}, {"d": [9, 1]}])");
    const Json flat = value.flatten();
    auto node = flat.begin();
    std::advance(node, static_cast<long>(rng() % flat.size()));
    Json::json_pointer pointer(node.key());
    for (unsigned ancestors = rng() % 3; ancestors > 0 && !pointer.empty(); --ancestors) {
        pointer.pop_back();
    }
    Json damaged = value;
    damaged[pointer] = replacements[rng() % replacements.size()];
    return damaged;
}

// Guards against controllers that end by themselves: an exception while a stored value is read
// would end every controller, again and again, as all of them read the same store.
TEST(StoreReplica, DamagedValuesCauseNoException) {
    std::mt19937 rng(42);
    Names names;
    JobSpec spec;
    spec.id = "j-1";
    spec.team = names.teams.intern("red");
    spec.tasks = 130;
    spec.machine_types = {names.machine_types.intern("small")};
    spec.any_machine_type = false;
    Json job = encode_job({spec, false}, names);
    std::vector<TaskRecord> tasks(64);
    tasks[0].done = tasks[1].done = true;
    tasks[2] = {3, false, "host-1"};
    tasks[3] = {1, false, ""};
    Json placements = encode_placement_record(tasks);
    RegistryRecord registry;
    registry.machines = {{"host-000231", 0, names.zones.intern("a"), true, true, true}};
    registry.scale_out_requests = {{"w1-1", 0, 0, false, 5, true}};
    Json machines = encode_registry(registry, names);
    for (int round = 0; round < 20000; ++round) {
        Json damaged_job = round % 2 == 0 ? with_random_damage(job, rng) : job;
        Json damaged_placements = with_random_damage(placements, rng);
        StoreReplica replica(names);
        replica.apply({keys::job("j-1"), damaged_job, 5});
        replica.apply({keys::placement_record("j-1", 0), damaged_placements, 6});
        ASSERT_NO_THROW(replica.counts("j-1")) << damaged_placements;
        if (const StoredJob* stored = replica.job("j-1")) {
            ClusterState cluster(names, {});
            ASSERT_NO_THROW(cluster.load_job(*stored, replica.placement_records("j-1"), 0))
                << damaged_job << damaged_placements;
        }
        Json damaged_machines = with_random_damage(machines, rng);
        ASSERT_NO_THROW(decode_registry(damaged_machines, names)) << damaged_machines;
    }
}

// Guards against a finished job becoming live again permanently. This happened when changes were
// requested before a snapshot and the response arrived after it: the job had finished and was no
// longer in the snapshot, and the old change restored it.
TEST(StoreWatcher, IgnoresChangesRequestedBeforeASnapshot) {
    spdlog::set_level(spdlog::level::off);
    PlatformSettings settings;
    settings.controller_name = "n0";
    settings.zones = {"a"};
    ControllerContext context(settings, {}, 1);
    StoreWatcher watcher(context.store, context.replica, context.out,
                         [&context](Ms max_delay) { return context.jitter(max_delay); });
    std::vector<StoreRequest> requests;
    auto collect_requests = [&] {
        for (Output& output : context.out) {
            if (auto* request = std::get_if<StoreRequest>(&output)) {
                requests.push_back(*request);
            }
        }
        context.out.clear();
    };
    auto respond = [&](Ms now, const StoreRequest& request, StoreStatus status,
                       std::uint64_t revision, std::vector<StoreEntry> rows = {}) {
        StoreResponse response;
        response.call = request.call;
        response.status = status;
        response.revision = revision;
        response.rows = std::move(rows);
        context.store.reply(now, response);
        collect_requests();
    };
    auto load_snapshot = [&](Ms now, std::uint64_t revision) {
        watcher.tick(now);
        collect_requests();
        ASSERT_EQ(requests.back().operation, StoreOperation::list);
        constexpr int kMaxPages = 20;
        for (int page = 0; page < kMaxPages && requests.back().operation == StoreOperation::list;
             ++page) {
            respond(now, StoreRequest(requests.back()), StoreStatus::ok, revision);
        }
        ASSERT_TRUE(watcher.ready());
    };
    load_snapshot(1000, 10);
    StoreRequest watch_request = requests.back();
    ASSERT_EQ(watch_request.operation, StoreOperation::changes);
    int confirmed_count = 0, unconfirmed_count = 0;
    watcher.barrier(
        2000, [&](Ms, bool confirmed) { (confirmed ? confirmed_count : unconfirmed_count) += 1; });
    collect_requests();
    StoreRequest barrier_request = requests.back();
    respond(2100, watch_request, StoreStatus::compacted, 10);
    load_snapshot(2200, 12000);
    JobSpec spec;
    spec.id = "j-1";
    spec.team = 0;
    context.names.teams.intern("red");
    StoreEntry outdated_row{keys::job("j-1"), encode_job({spec, false}, context.names), 11};
    respond(2300, barrier_request, StoreStatus::ok, 11, {outdated_row});
    EXPECT_EQ(context.replica.job("j-1"), nullptr);
    EXPECT_EQ(confirmed_count, 0);
    EXPECT_EQ(unconfirmed_count, 1);
}

TEST(StoreClient, SendsSafetyWritesFirstWithinTheRateLimit) {
    StoreClient client(StoreLimits{1000, 10, 4, 8}, std::nullopt, 3);
    client.set_leading(true);
    Outputs out;
    client.send_queued(0, out);
    std::vector<std::string> sent_keys;
    auto queue_write = [&](RequestPriority priority, const std::string& key) {
        Transaction transaction;
        transaction.writes = {{key, Json(1), 0}};
        client.transaction(priority, std::move(transaction), [](Ms, const StoreResponse&) {});
    };
    for (int i = 0; i < 60; ++i) {
        queue_write(RequestPriority::progress, "p");
    }
    queue_write(RequestPriority::cancel, "c");
    for (Ms now = 0; now <= 3000; now += 50) {
        client.send_queued(now, out);
    }
    for (Output& output : out) {
        sent_keys.push_back(std::get<StoreRequest>(output).transaction.writes[0].key);
    }
    EXPECT_EQ(sent_keys.at(0), "c");
    EXPECT_LE(sent_keys.size(), 3 * 10 + 10U);
    EXPECT_GE(sent_keys.size(), 15U);
}

}  // namespace
}  // namespace walkford
