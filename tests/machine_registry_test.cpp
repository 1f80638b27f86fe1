// The machine registry in one value and in several, against a small state service.
#include "coordination/cloud/machine_registry.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <random>

#include "coordination/controller/leader.hpp"
#include "standin/key_value_store.hpp"
#include "test_operator_settings.hpp"

namespace walkford {
namespace {

constexpr std::uint64_t kFencingToken = 1;

// One leader after another keeps the registry in one state service.
class MachineRegistryTest : public testing::Test {
  protected:
    MachineRegistryTest() {
        spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::off);
        StoreRequest leader;
        leader.operation = StoreOperation::transaction;
        leader.transaction.writes = {{keys::kLeader, encode_leader({"n0", "n0-1"}), 0}};
        EXPECT_EQ(service.execute(now, "n0", leader).revision, kFencingToken);
    }

    void set_limits(const StoreLimits& current, const std::optional<StoreLimits>& next) {
        limits = current;
        next_limits = next;
        service.set_limits(current);
    }

    // A new leader, with what the state service holds.
    void take_over(std::uint32_t level) {
        store.reset();
        leader_context.reset();
        PlatformSettings platform_settings;
        platform_settings.controller_name = "n0";
        platform_settings.zones = {"a", "b", "c", "d"};
        platform_settings.store_limits = limits;
        platform_settings.next_store_limits = next_limits;
        context =
            std::make_unique<ControllerContext>(platform_settings, test_operator_settings(), 1);
        context->cluster_level = level;
        context->store.set_leading(true);
        for (const StoreEntry& row : read_all()) {
            context->replica.apply(row);
        }
        leader_context = std::make_unique<LeaderContext>(*context, kFencingToken, now);
        store = std::make_unique<MachineRegistry>(*leader_context);
        store->load();
    }

    std::vector<StoreEntry> read_all() {
        std::vector<StoreEntry> rows;
        StoreRequest list;
        list.operation = StoreOperation::list;
        list.key = keys::kRoot;
        StoreResponse reply;
        do {
            reply = service.execute(now, "n0", list);
            rows.insert(rows.end(), reply.rows.begin(), reply.rows.end());
            list.after_key = rows.empty() ? "" : rows.back().key;
        } while (reply.more);
        return rows;
    }

    // Carries out what is due, at most so many transactions; the answers of `lost` of them are
    // lost.
    void run(int most = 1000, int lost = 0) {
        for (int i = 0; i < 4000 && most > 0; ++i) {
            now += 50;
            store->write(now);
            context->store.pump(now, context->out);
            Outputs out = std::move(context->out);
            context->out.clear();
            for (Output& o : out) {
                auto* call = std::get_if<StoreRequest>(&o);
                if (!call) {
                    continue;
                }
                StoreResponse reply = service.execute(now, "n0", *call);
                if (call->operation == StoreOperation::transaction) {
                    ++transactions;
                    --most;
                    if (lost > 0) {
                        --lost;
                        reply = {};
                        reply.call = call->call;
                    }
                }
                context->store.reply(now, reply);
            }
        }
    }

    RegisteredMachine machine(int number) {
        RegisteredMachine m;
        m.name = "host-" + std::to_string(100000 + number);
        m.machine_type = context->names.machine_types.intern(number % 3 ? "chhota" : "gajraj");
        m.zone = static_cast<Id>(number / 50 % 4);
        m.spot = number / 200 % 2 == 0;
        m.permanent = number % 40 == 0;
        return m;
    }

    std::set<std::string> stored_names() {
        take_over(kFeatureServices);
        std::set<std::string> names;
        for (const RegisteredMachine& m : store->machines()) {
            names.insert(m.name);
        }
        return names;
    }

    Ms now = 1000;
    StoreLimits limits{1000, 1000, 4, 8};
    std::optional<StoreLimits> next_limits;
    standin::KeyValueStore service;
    std::unique_ptr<ControllerContext> context;
    std::unique_ptr<LeaderContext> leader_context;
    std::unique_ptr<MachineRegistry> store;
    int transactions = 0;
};

// 4,000 machines left of 12,000 rented, in four zones, with rentals open, in values of 1 KiB and
// transactions of four changes.
TEST_F(MachineRegistryTest, HoldsFourThousandMachinesInValuesOfOneKilobyte) {
    set_limits({1000, 1000, 1, 4}, std::nullopt);
    take_over(kFeatureServices);
    store->create();
    std::mt19937 rng(11);
    std::set<std::string> expected;
    for (int number = 0; number < 12000; ++number) {
        RegisteredMachine m = machine(number);
        store->add_machine(m);
        expected.insert(m.name);
        if (expected.size() > 4000) {
            auto gone = expected.begin();
            std::advance(gone, static_cast<int>(rng() % expected.size()));
            store->remove_machine(*gone);
            expected.erase(gone);
        }
        if (number % 50 == 0) {
            run(2);
        }
    }
    for (int i = 0; i < 12; ++i) {
        ScaleOutRequest scale_out_request;
        scale_out_request.name = "w1234567-" + std::to_string(i);
        scale_out_request.machine_type = context->names.machine_types.intern("chhota");
        scale_out_request.zone = 0;
        scale_out_request.count = 50;
        EXPECT_TRUE(store->add_scale_out_request(scale_out_request));
    }
    int returning = 0;
    for (const std::string& name : expected) {
        if (++returning % 10 == 0) {
            store->mark_releasing(name);
        }
    }
    run();
    EXPECT_EQ(service.refused_for_size, 0);
    EXPECT_EQ(expected.size(), 4000U);
    EXPECT_EQ(stored_names(), expected);
    EXPECT_EQ(store->scale_out_requests().size(), 12U);
    int marked = 0;
    for (const RegisteredMachine& m : store->machines()) {
        marked += m.releasing;
    }
    EXPECT_EQ(marked, 400);
}

// While a controller is old the registry stays in its one value, and what does not fit there is not
// rented; parts are written as soon as all read them.
TEST_F(MachineRegistryTest, IsDividedOnlyOnceAllControllersReadParts) {
    set_limits({1000, 1000, 2, 8}, std::nullopt);
    take_over(kFeatureNone);
    store->create();
    for (int number = 0; number < 600; ++number) {
        store->add_machine(machine(number * 7));
    }
    ScaleOutRequest scale_out_request;
    scale_out_request.name = "w1-1";
    scale_out_request.machine_type = context->names.machine_types.intern("chhota");
    scale_out_request.zone = 0;
    scale_out_request.count = 50;
    int admitted = 0;
    while (admitted < 100 && store->add_scale_out_request(scale_out_request)) {
        ++admitted;
    }
    EXPECT_LT(admitted, 100) << "one value can't hold them";
    run();
    EXPECT_EQ(store->parts(), 1U);
    for (const StoreEntry& row : read_all()) {
        EXPECT_FALSE(row.key.rfind(keys::kRegistryParts, 0) == 0) << row.key;
    }
    context->cluster_level = kFeatureServices;
    EXPECT_TRUE(store->add_scale_out_request(scale_out_request));
    EXPECT_GT(store->parts(), 1U);
    run();
    EXPECT_EQ(service.refused_for_size, 0);
    EXPECT_EQ(stored_names().size(), 600U);
}

// The limits fall, and leaders end, in the midst of the division: no machine is lost, at whatever
// transaction it happens and whatever answers are.
TEST_F(MachineRegistryTest, ADivisionCutShortIsCompletedByTheNextLeader) {
    for (int cut = 1; cut <= 8; ++cut) {
        SCOPED_TRACE(cut);
        service = standin::KeyValueStore();
        StoreRequest leader;
        leader.operation = StoreOperation::transaction;
        leader.transaction.writes = {{keys::kLeader, encode_leader({"n0", "n0-1"}), 0}};
        service.execute(now, "n0", leader);
        const StoreLimits lower{1000, 1000, 1, 3};
        set_limits({1000, 1000, 4, 8}, lower);
        take_over(kFeatureNone);
        store->create();
        for (int number = 0; number < 1200; ++number) {
            store->add_machine(machine(number * 3));
        }
        run();
        std::set<std::string> all = stored_names();
        ASSERT_EQ(all.size(), 1200U);
        run(cut, cut % 3);
        if (cut % 2 == 0) {
            service.set_limits(lower);
        }
        EXPECT_EQ(stored_names(), all) << "a reader between two writes misses none";
        std::string gone = *all.begin();
        store->remove_machine(gone);
        all.erase(gone);
        service.set_limits(lower);
        bool durable = false;
        store->after_write([&](Ms) { durable = true; });
        run();
        EXPECT_TRUE(durable);
        EXPECT_EQ(stored_names(), all);
        EXPECT_GT(store->parts(), 2U);
    }
}

// What has changed is written, and nothing else.
TEST_F(MachineRegistryTest, OnlyChangedPartsAreWritten) {
    set_limits({1000, 1000, 1, 8}, std::nullopt);
    take_over(kFeatureServices);
    store->create();
    for (int number = 0; number < 2000; ++number) {
        store->add_machine(machine(number));
    }
    store->add_scale_out_request(
        {"w1-1", context->names.machine_types.intern("chhota"), 0, false, 50, false});
    run();
    ASSERT_GT(store->parts(), 8U);
    std::map<std::string, std::uint64_t> before;
    for (const StoreEntry& row : read_all()) {
        before[row.key] = row.version;
    }
    store->mark_releasing(machine(77).name);
    run();
    int changed = 0;
    for (const StoreEntry& row : read_all()) {
        changed += before[row.key] != row.version;
    }
    EXPECT_EQ(changed, 1);
}

// A part that can't be read: nothing is rented or given back on its account.
TEST_F(MachineRegistryTest, AGarbledPartIsNotTakenForAnEmptyOne) {
    take_over(kFeatureServices);
    context->replica.apply({keys::registry_part(3), Json{{"m", "garbled"}}, 99});
    MachineRegistry other(*leader_context);
    EXPECT_FALSE(other.load());
    EXPECT_EQ(other.size(), 0U);
}

}  // namespace
}  // namespace walkford
