// The machine registry in one value and in several, against a small state service.
#include "coordination/registry_store.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <random>

#include "coordination/leader.hpp"
#include "standin/state_service.hpp"
#include "test_policy.hpp"

namespace walkford {
namespace {

constexpr std::uint64_t kToken = 1;

// One leader after another keeps the registry in one state service.
class RegistryStoreTest : public testing::Test {
  protected:
    RegistryStoreTest() {
        spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::off);
        StateCall leader;
        leader.verb = StateVerb::txn;
        leader.txn.writes = {{keys::kLeader, encode_leader({"n0", "n0-1"}), 0}};
        EXPECT_EQ(service.execute(now, "n0", leader).revision, kToken);
    }

    void set_limits(const StateLimits& current, const std::optional<StateLimits>& next) {
        limits = current;
        next_limits = next;
        service.set_limits(current);
    }

    // A new leader, with what the state service holds.
    void take_over(std::uint32_t level) {
        store.reset();
        term.reset();
        Platform platform;
        platform.node_name = "n0";
        platform.zones = {"a", "b", "c", "d"};
        platform.state_limits = limits;
        platform.next_state_limits = next_limits;
        core = std::make_unique<Core>(platform, test_policy(), 1);
        core->cluster_level = level;
        core->state.set_leading(true);
        for (const StateRow& row : read_all()) {
            core->view.apply(row);
        }
        term = std::make_unique<Term>(*core, kToken, now);
        store = std::make_unique<RegistryStore>(*term);
        store->load();
    }

    std::vector<StateRow> read_all() {
        std::vector<StateRow> rows;
        StateCall list;
        list.verb = StateVerb::list;
        list.key = keys::kRoot;
        StateReply reply;
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
            core->state.pump(now, core->out);
            Outputs out = std::move(core->out);
            core->out.clear();
            for (Output& o : out) {
                auto* call = std::get_if<StateCall>(&o);
                if (!call) {
                    continue;
                }
                StateReply reply = service.execute(now, "n0", *call);
                if (call->verb == StateVerb::txn) {
                    ++transactions;
                    --most;
                    if (lost > 0) {
                        --lost;
                        reply = {};
                        reply.call = call->call;
                    }
                }
                core->state.reply(now, reply);
            }
        }
    }

    HeldMachine machine(int number) {
        HeldMachine m;
        m.name = "host-" + std::to_string(100000 + number);
        m.kind = core->names.kinds.intern(number % 3 ? "chhota" : "gajraj");
        m.zone = static_cast<Id>(number / 50 % 4);
        m.spot = number / 200 % 2 == 0;
        m.permanent = number % 40 == 0;
        return m;
    }

    std::set<std::string> stored_names() {
        take_over(kFeatureServices);
        std::set<std::string> names;
        for (const HeldMachine& m : store->machines()) {
            names.insert(m.name);
        }
        return names;
    }

    Ms now = 1000;
    StateLimits limits{1000, 1000, 4, 8};
    std::optional<StateLimits> next_limits;
    standin::StateService service;
    std::unique_ptr<Core> core;
    std::unique_ptr<Term> term;
    std::unique_ptr<RegistryStore> store;
    int transactions = 0;
};

// 4,000 machines left of 12,000 rented, in four zones, with rentals open, in values of 1 KiB and
// transactions of four changes.
TEST_F(RegistryStoreTest, HoldsFourThousandMachinesInValuesOfOneKilobyte) {
    set_limits({1000, 1000, 1, 4}, std::nullopt);
    take_over(kFeatureServices);
    store->create();
    std::mt19937 rng(11);
    std::set<std::string> expected;
    for (int number = 0; number < 12000; ++number) {
        HeldMachine m = machine(number);
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
        RentalRequest rental;
        rental.name = "w1234567-" + std::to_string(i);
        rental.kind = core->names.kinds.intern("chhota");
        rental.zone = 0;
        rental.count = 50;
        EXPECT_TRUE(store->add_rental(rental));
    }
    int returning = 0;
    for (const std::string& name : expected) {
        if (++returning % 10 == 0) {
            store->mark_returning(name);
        }
    }
    run();
    EXPECT_EQ(service.refused_for_size, 0);
    EXPECT_EQ(expected.size(), 4000U);
    EXPECT_EQ(stored_names(), expected);
    EXPECT_EQ(store->rentals().size(), 12U);
    int marked = 0;
    for (const HeldMachine& m : store->machines()) {
        marked += m.returning;
    }
    EXPECT_EQ(marked, 400);
}

// While a controller is old the registry stays in its one value, and what does not fit there is not
// rented; parts are written as soon as all read them.
TEST_F(RegistryStoreTest, IsDividedOnlyOnceAllControllersReadParts) {
    set_limits({1000, 1000, 2, 8}, std::nullopt);
    take_over(kFeatureNone);
    store->create();
    for (int number = 0; number < 600; ++number) {
        store->add_machine(machine(number * 7));
    }
    RentalRequest rental;
    rental.name = "w1-1";
    rental.kind = core->names.kinds.intern("chhota");
    rental.zone = 0;
    rental.count = 50;
    int admitted = 0;
    while (admitted < 100 && store->add_rental(rental)) {
        ++admitted;
    }
    EXPECT_LT(admitted, 100) << "one value can't hold them";
    run();
    EXPECT_EQ(store->parts(), 1U);
    for (const StateRow& row : read_all()) {
        EXPECT_FALSE(row.key.rfind(keys::kRegistryParts, 0) == 0) << row.key;
    }
    core->cluster_level = kFeatureServices;
    EXPECT_TRUE(store->add_rental(rental));
    EXPECT_GT(store->parts(), 1U);
    run();
    EXPECT_EQ(service.refused_for_size, 0);
    EXPECT_EQ(stored_names().size(), 600U);
}

// The limits fall, and leaders end, in the midst of the division: no machine is lost, at whatever
// transaction it happens and whatever answers are.
TEST_F(RegistryStoreTest, ADivisionCutShortIsCompletedByTheNextLeader) {
    for (int cut = 1; cut <= 8; ++cut) {
        SCOPED_TRACE(cut);
        service = standin::StateService();
        StateCall leader;
        leader.verb = StateVerb::txn;
        leader.txn.writes = {{keys::kLeader, encode_leader({"n0", "n0-1"}), 0}};
        service.execute(now, "n0", leader);
        const StateLimits lower{1000, 1000, 1, 3};
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
TEST_F(RegistryStoreTest, OnlyChangedPartsAreWritten) {
    set_limits({1000, 1000, 1, 8}, std::nullopt);
    take_over(kFeatureServices);
    store->create();
    for (int number = 0; number < 2000; ++number) {
        store->add_machine(machine(number));
    }
    store->add_rental({"w1-1", core->names.kinds.intern("chhota"), 0, false, 50, false});
    run();
    ASSERT_GT(store->parts(), 8U);
    std::map<std::string, std::uint64_t> before;
    for (const StateRow& row : read_all()) {
        before[row.key] = row.stamp;
    }
    store->mark_returning(machine(77).name);
    run();
    int changed = 0;
    for (const StateRow& row : read_all()) {
        changed += before[row.key] != row.stamp;
    }
    EXPECT_EQ(changed, 1);
}

// A part that can't be read: nothing is rented or given back on its account.
TEST_F(RegistryStoreTest, AGarbledPartIsNotTakenForAnEmptyOne) {
    take_over(kFeatureServices);
    core->view.apply({keys::registry_part(3), Json{{"m", "garbled"}}, 99});
    RegistryStore other(*term);
    EXPECT_FALSE(other.load());
    EXPECT_EQ(other.size(), 0U);
}

}  // namespace
}  // namespace walkford
