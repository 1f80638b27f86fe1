// Tests of the machine registry, stored as one value and as several, against a simulated store with
// low limits.
#include "coordination/cloud/machine_registry.hpp"

#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <random>
#include <utility>

#include "coordination/controller/leader.hpp"
#include "leader_harness.hpp"
#include "standin/key_value_store.hpp"
#include "test_operator_settings.hpp"

namespace walkford {
namespace {

constexpr std::uint64_t kFencingToken = 1;

// Runs successive leaders that keep the registry in the same simulated store.
class MachineRegistryTest : public testing::Test {
  protected:
    MachineRegistryTest() {
        spdlog::set_level(std::getenv("LOG_LEVEL") ? spdlog::level::debug : spdlog::level::off);
        reset_store();
    }

    // Empties the store but for the leader key.
    void reset_store() {
        store = standin::KeyValueStore();
        StoreRequest write_leader;
        write_leader.operation = StoreOperation::transaction;
        write_leader.transaction.writes = {{keys::kLeader, encode_leader({"n0", "n0-1"}), 0}};
        EXPECT_EQ(store.execute(now, "n0", write_leader).revision, kFencingToken);
    }

    void set_limits(const StoreLimits& current, const std::optional<StoreLimits>& next) {
        limits = current;
        next_limits = next;
        store.set_limits(current);
    }

    // Starts a new leader, which loads the registry from the store. `level` is the lowest feature
    // level of all controllers.
    void take_over(std::uint32_t level) {
        registry.reset();
        leader_context.reset();
        PlatformSettings platform_settings;
        platform_settings.controller_name = "n0";
        platform_settings.zones = {"a", "b", "c", "d"};
        platform_settings.store_limits = limits;
        platform_settings.next_store_limits = next_limits;
        context =
            std::make_unique<ControllerContext>(platform_settings, test_operator_settings(), 1);
        context->cluster_feature_level = level;
        context->store.set_leading(true);
        for (const StoreEntry& entry : read_all_entries()) {
            context->replica.apply(entry);
        }
        leader_context = std::make_unique<LeaderContext>(*context, kFencingToken, now);
        registry = std::make_unique<MachineRegistry>(*leader_context);
        registry->load();
    }

    std::vector<StoreEntry> read_all_entries() {
        std::vector<StoreEntry> entries;
        StoreRequest list;
        list.operation = StoreOperation::list;
        list.key = keys::kRoot;
        StoreResponse response;
        do {
            response = store.execute(now, "n0", list);
            entries.insert(entries.end(), response.rows.begin(), response.rows.end());
            list.after_key = entries.empty() ? "" : entries.back().key;
        } while (response.more);
        return entries;
    }

    // Writes the registry and executes its store calls until 4000 steps or `max_transactions`
    // transactions are done. The responses to the first `lost_responses` transactions are lost.
    void run_writes(int max_transactions = 1000, int lost_responses = 0) {
        for (int step = 0; step < 4000 && max_transactions > 0; ++step) {
            now += 50;
            registry->write(now);
            context->store.send_queued(now, context->out);
            Outputs outputs = std::move(context->out);
            context->out.clear();
            for (Output& output : outputs) {
                auto* call = std::get_if<StoreRequest>(&output);
                if (!call) {
                    continue;
                }
                StoreResponse response = store.execute(now, "n0", *call);
                if (call->operation == StoreOperation::transaction) {
                    ++transactions;
                    --max_transactions;
                    if (lost_responses > 0) {
                        --lost_responses;
                        response = {};
                        response.call = call->call;
                    }
                }
                context->store.reply(now, response);
            }
        }
    }

    // Hands what is due to the store client and returns the transactions that it sends. Reads are
    // executed and answered at once.
    std::vector<StoreRequest> sent_transactions() {
        std::vector<StoreRequest> sent;
        registry->write(now);
        context->store.send_queued(now, context->out);
        Outputs outputs = std::move(context->out);
        context->out.clear();
        for (Output& output : outputs) {
            auto* call = std::get_if<StoreRequest>(&output);
            if (call && call->operation == StoreOperation::transaction) {
                sent.push_back(std::move(*call));
            } else if (call) {
                context->store.reply(now, store.execute(now, "n0", *call));
            }
        }
        return sent;
    }

    void answer_without_response(const StoreRequest& request) {
        StoreResponse response;
        response.call = request.call;
        context->store.reply(now, response);
    }

    // Registers the machine and adds it to the cluster state, as the leader does.
    void register_machine(const RegisteredMachine& machine) {
        leader_context->cluster.add_machine(machine.name, machine.machine_type, machine.zone,
                                            machine.spot, now);
        registry->add_machine(machine);
    }

    bool durably_registered(const std::string& name) {
        const ClusterState& cluster = leader_context->cluster;
        return cluster.machines[cluster.find_machine(name)].registration_durable;
    }

    // The machines that the registry in the store names now.
    std::set<std::string> machines_in_store() {
        std::set<std::string> names;
        for (const StoreEntry& entry : read_all_entries()) {
            if (!keys::parse_registry_part(entry.key)) {
                continue;
            }
            auto part = decode_registry(*entry.value, context->names);
            for (const RegisteredMachine& machine : part->machines) {
                names.insert(machine.name);
            }
        }
        return names;
    }

    RegisteredMachine make_machine(int number) {
        RegisteredMachine machine;
        machine.name = "host-" + std::to_string(100000 + number);
        machine.machine_type =
            context->names.machine_types.intern(number % 3 ? "chhota" : "gajraj");
        machine.zone = static_cast<Id>(number / 50 % 4);
        machine.spot = number / 200 % 2 == 0;
        machine.permanent = number % 40 == 0;
        return machine;
    }

    std::set<std::string> stored_machine_names() {
        take_over(kFeatureServices);
        std::set<std::string> names;
        for (const RegisteredMachine& machine : registry->machines()) {
            names.insert(machine.name);
        }
        return names;
    }

    Ms now = 1000;
    StoreLimits limits{1000, 1000, 4, 8};
    std::optional<StoreLimits> next_limits;
    standin::KeyValueStore store;
    std::unique_ptr<ControllerContext> context;
    std::unique_ptr<LeaderContext> leader_context;
    std::unique_ptr<MachineRegistry> registry;
    int transactions = 0;
};

// Of 12,000 machines added in four zones, 4,000 remain registered next to twelve open scale-out
// requests. Guards against values that exceed the store's limit of 1 KiB per value, and
// against machines that are lost while parts are written in transactions of four operations.
TEST_F(MachineRegistryTest, HoldsFourThousandMachinesInValuesOfOneKibibyte) {
    set_limits({1000, 1000, 1, 4}, std::nullopt);
    take_over(kFeatureServices);
    registry->create();
    std::mt19937 rng(11);
    std::set<std::string> expected;
    for (int number = 0; number < 12000; ++number) {
        RegisteredMachine machine = make_machine(number);
        registry->add_machine(machine);
        expected.insert(machine.name);
        if (expected.size() > 4000) {
            auto removed = expected.begin();
            std::advance(removed, static_cast<int>(rng() % expected.size()));
            registry->remove_machine(*removed);
            expected.erase(removed);
        }
        if (number % 50 == 0) {
            run_writes(2);
        }
    }
    for (int request_number = 0; request_number < 12; ++request_number) {
        ScaleOutRequest scale_out_request;
        scale_out_request.name = "w1234567-" + std::to_string(request_number);
        scale_out_request.machine_type = context->names.machine_types.intern("chhota");
        scale_out_request.zone = 0;
        scale_out_request.count = 50;
        EXPECT_TRUE(registry->add_scale_out_request(scale_out_request));
    }
    int position = 0;
    for (const std::string& name : expected) {
        if (++position % 10 == 0) {
            registry->mark_releasing(name);
        }
    }
    run_writes();
    EXPECT_EQ(store.refused_for_size, 0);
    EXPECT_EQ(expected.size(), 4000U);
    EXPECT_EQ(stored_machine_names(), expected);
    EXPECT_EQ(registry->scale_out_requests().size(), 12U);
    int releasing = 0;
    for (const RegisteredMachine& machine : registry->machines()) {
        releasing += machine.releasing;
    }
    EXPECT_EQ(releasing, 400);
}

// Controllers of an earlier version read only part 0. While one of them runs, the registry must
// stay in one value, and scale-out requests that do not fit there are refused. Once all controllers
// read several parts, the registry is split.
TEST_F(MachineRegistryTest, IsSplitOnlyOnceAllControllersReadParts) {
    set_limits({1000, 1000, 2, 8}, std::nullopt);
    take_over(kFeatureNone);
    registry->create();
    for (int number = 0; number < 600; ++number) {
        registry->add_machine(make_machine(number * 7));
    }
    ScaleOutRequest scale_out_request;
    scale_out_request.name = "w1-1";
    scale_out_request.machine_type = context->names.machine_types.intern("chhota");
    scale_out_request.zone = 0;
    scale_out_request.count = 50;
    int accepted = 0;
    while (accepted < 100 && registry->add_scale_out_request(scale_out_request)) {
        ++accepted;
    }
    EXPECT_LT(accepted, 100) << "one value can't hold this many requests";
    run_writes();
    EXPECT_EQ(registry->part_count(), 1U);
    for (const StoreEntry& entry : read_all_entries()) {
        EXPECT_FALSE(entry.key.rfind(keys::kRegistryParts, 0) == 0) << entry.key;
    }
    context->cluster_feature_level = kFeatureServices;
    EXPECT_TRUE(registry->add_scale_out_request(scale_out_request));
    EXPECT_GT(registry->part_count(), 1U);
    run_writes();
    EXPECT_EQ(store.refused_for_size, 0);
    EXPECT_EQ(stored_machine_names().size(), 600U);
}

// Guards against losing machines when the leader changes during a split. The split is interrupted
// after 1 to 8 transactions, and the responses to up to two of them are lost. For even numbers of
// transactions the store's limits also drop before the next leader takes over.
TEST_F(MachineRegistryTest, NextLeaderCompletesAnInterruptedSplit) {
    for (int executed_transactions = 1; executed_transactions <= 8; ++executed_transactions) {
        SCOPED_TRACE(executed_transactions);
        reset_store();
        const StoreLimits lower_limits{1000, 1000, 1, 3};
        set_limits({1000, 1000, 4, 8}, lower_limits);
        take_over(kFeatureNone);
        registry->create();
        for (int number = 0; number < 1200; ++number) {
            registry->add_machine(make_machine(number * 3));
        }
        run_writes();
        std::set<std::string> expected = stored_machine_names();
        ASSERT_EQ(expected.size(), 1200U);
        run_writes(executed_transactions, executed_transactions % 3);
        if (executed_transactions % 2 == 0) {
            store.set_limits(lower_limits);
        }
        EXPECT_EQ(stored_machine_names(), expected)
            << "a reader between two writes must see every machine";
        std::string removed = *expected.begin();
        registry->remove_machine(removed);
        expected.erase(removed);
        store.set_limits(lower_limits);
        bool durable = false;
        registry->after_write([&](Ms) { durable = true; });
        run_writes();
        EXPECT_TRUE(durable);
        EXPECT_EQ(stored_machine_names(), expected);
        EXPECT_GT(registry->part_count(), 2U);
    }
}

// Guards against writing unchanged parts: marking one machine must change one stored value only.
TEST_F(MachineRegistryTest, WritesOnlyChangedParts) {
    set_limits({1000, 1000, 1, 8}, std::nullopt);
    take_over(kFeatureServices);
    registry->create();
    for (int number = 0; number < 2000; ++number) {
        registry->add_machine(make_machine(number));
    }
    registry->add_scale_out_request(
        {"w1-1", context->names.machine_types.intern("chhota"), 0, false, 50, false});
    run_writes();
    ASSERT_GT(registry->part_count(), 8U);
    std::map<std::string, std::uint64_t> versions_before;
    for (const StoreEntry& entry : read_all_entries()) {
        versions_before[entry.key] = entry.version;
    }
    registry->mark_releasing(make_machine(77).name);
    run_writes();
    int changed_entries = 0;
    for (const StoreEntry& entry : read_all_entries()) {
        changed_entries += versions_before[entry.key] != entry.version;
    }
    EXPECT_EQ(changed_entries, 1);
}

// Guards against marking a machine as durably registered when an earlier write is confirmed that
// did not name it yet.
TEST_F(MachineRegistryTest, ConfirmsOnlyTheMachinesThatTheAnsweredWriteNamed) {
    take_over(kFeatureServices);
    registry->create();
    RegisteredMachine first = make_machine(1);
    RegisteredMachine second = make_machine(2);
    register_machine(first);
    std::vector<StoreRequest> first_write = sent_transactions();
    ASSERT_EQ(first_write.size(), 1U);
    register_machine(second);
    context->store.reply(now, store.execute(now, "n0", first_write[0]));
    EXPECT_TRUE(durably_registered(first.name));
    EXPECT_FALSE(durably_registered(second.name));
    std::vector<StoreRequest> second_write = sent_transactions();
    ASSERT_EQ(second_write.size(), 1U);
    answer_without_response(second_write[0]);
    EXPECT_FALSE(durably_registered(second.name)) << "the write may not have been executed";
    run_writes(1);
    EXPECT_TRUE(durably_registered(second.name));
}

// Of random writes, some are answered late, some are executed without an answer, some are lost,
// some are refused, and some are executed long after newer ones. A machine that counts as durably
// registered must be in the stored registry at every moment, also while the registry is split.
TEST_F(MachineRegistryTest, DurablyRegisteredMachinesAreAlwaysInTheStore) {
    for (unsigned seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937 rng(seed);
        reset_store();
        set_limits({1000, 1000, 1, 3}, std::nullopt);
        take_over(kFeatureServices);
        registry->create();
        std::set<std::string> registered;
        std::vector<StoreRequest> open_writes;
        std::vector<StoreRequest> late_writes;
        int next_number = 0;
        for (int step = 0; step < 400; ++step) {
            now += 50;
            for (int count = static_cast<int>(rng() % 4); count > 0; --count) {
                RegisteredMachine machine = make_machine(next_number++);
                register_machine(machine);
                registered.insert(machine.name);
            }
            if (rng() % 6 == 0 && !registered.empty()) {
                std::string removed = *registered.begin();
                registered.erase(removed);
                leader_context->cluster.forget_machine(
                    leader_context->cluster.find_machine(removed));
                registry->remove_machine(removed);
            }
            if (rng() % 40 == 0) {
                registry->add_scale_out_request({"w1-" + std::to_string(step),
                                                 context->names.machine_types.intern("chhota"), 0,
                                                 false, 50, false});
            }
            for (StoreRequest& request : sent_transactions()) {
                open_writes.push_back(std::move(request));
            }
            if (!open_writes.empty() && rng() % 2 == 0) {
                StoreRequest request = std::move(open_writes.back());
                open_writes.pop_back();
                switch (rng() % 5) {
                    case 0:  // lost, and perhaps executed later
                        answer_without_response(request);
                        late_writes.push_back(std::move(request));
                        break;
                    case 1:  // executed, but its answer is lost
                        store.execute(now, "n0", request);
                        answer_without_response(request);
                        break;
                    case 2:  // refused
                        store.refuse("n0", now + 1);
                        context->store.reply(now, store.execute(now, "n0", request));
                        break;
                    default:
                        context->store.reply(now, store.execute(now, "n0", request));
                }
            }
            if (!late_writes.empty() && rng() % 10 == 0) {
                now += 2;
                store.execute(now, "n0", late_writes.front());
                late_writes.erase(late_writes.begin());
            }
            now += 2;
            std::set<std::string> stored = machines_in_store();
            for (const std::string& name : registered) {
                ASSERT_TRUE(!durably_registered(name) || stored.contains(name))
                    << "step " << step << ", machine " << name;
            }
        }
        EXPECT_GT(std::count_if(registered.begin(), registered.end(),
                                [&](const std::string& name) { return durably_registered(name); }),
                  100)
            << "too few confirmed writes for this test to show anything";
    }
}

// Guards against running tasks twice: two scale-out requests are granted one after the other, and
// the registry write that names the machine of the second one is not confirmed. A new leader would
// not find that machine in the registry and would start its tasks elsewhere.
TEST(MachineRegistration, TaskIsNotRunUntilTheWriteThatNamesItsMachineIsConfirmed) {
    LeaderHarness harness;
    harness.elect_with_machines({});
    JobSpec job = harness.make_job_spec("j-1", 8, 2);
    job.spread = true;
    harness.submit_job(job);
    harness.advance_time(5000);
    harness.held_key = keys::kRegistry;
    std::vector<std::string> granted;
    const std::vector<CloudRequest> requests = std::exchange(harness.cloud_requests, {});
    for (const CloudRequest& request : requests) {
        if (request.operation == CloudOperation::scale_out) {
            granted.push_back("host-" + std::to_string(granted.size() + 1));
            CloudResponse response;
            response.call = request.call;
            response.status = CloudCallStatus::ok;
            response.names = {granted.back()};
            harness.context->cloud.reply(harness.now, response);
            harness.process_outputs();
        }
    }
    ASSERT_EQ(granted.size(), 2U);
    ASSERT_EQ(harness.held_writes.size(), 1U);
    harness.answer_held_write();
    harness.advance_time(50);
    ASSERT_EQ(harness.held_writes.size(), 1U) << "the write that names the second machine";
    auto is_told_to_run = [&](const std::string& machine) {
        bool told = false;
        for (int report = 0; report < 4; ++report) {
            for (const WorkerCommand& command : harness.heartbeat(machine)) {
                told |= command.type == WorkerCommandType::run;
            }
            harness.advance_time(1000);
        }
        return told;
    };
    EXPECT_TRUE(is_told_to_run("host-1"));
    EXPECT_FALSE(is_told_to_run("host-2")) << "no confirmed write names this machine yet";
    harness.answer_held_write();
    EXPECT_TRUE(is_told_to_run("host-2"));
}

// Guards against treating a part that can't be decoded as empty, which would let the leader request
// and release machines without knowing those of that part.
TEST_F(MachineRegistryTest, LoadFailsIfAPartCannotBeDecoded) {
    take_over(kFeatureServices);
    context->replica.apply({keys::registry_part(3), Json{{"m", "garbled"}}, 99});
    MachineRegistry unreadable_registry(*leader_context);
    EXPECT_FALSE(unreadable_registry.load());
    EXPECT_EQ(unreadable_registry.size(), 0U);
}

}  // namespace
}  // namespace walkford
