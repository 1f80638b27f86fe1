#include "bookkeeping/records.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "bookkeeping/registry_record.hpp"

namespace walkford {
namespace {

TEST(Records, PlacementRecordIsDecodedAsEncoded) {
    std::mt19937 generator(7);
    for (int round = 0; round < 300; ++round) {
        std::vector<TaskRecord> tasks(1 + generator() % 64);
        for (TaskRecord& task : tasks) {
            switch (generator() % 4) {
                case 0:
                    task.done = true;
                    break;
                case 1:
                    task.attempt = 1 + generator() % 9;
                    task.machine = "host-00000" + std::to_string(generator() % 5);
                    break;
                case 2:
                    task.attempt = generator() % 3;
                    break;
                default:
                    break;
            }
        }
        std::vector<TaskRecord> decoded(tasks.size());
        ASSERT_TRUE(decode_placement_record(encode_placement_record(tasks), decoded));
        ASSERT_EQ(tasks, decoded);
    }
}

TEST(Records, FullPlacementRecordFitsSmallestValueLimit) {
    // The largest record: each task on a different machine, with high attempt numbers. It must stay
    // within 4 KiB.
    std::vector<TaskRecord> tasks(64);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        tasks[i].attempt = 100000;
        tasks[i].machine = "host-" + std::to_string(100000 + i);
    }
    EXPECT_LT(encode_placement_record(tasks).dump().size(), 4096U);
}

TEST(Records, RegistryIsDecodedAsEncoded) {
    Names names;
    RegistryRecord registry;
    registry.next_request_number = 12;
    registry.first_scale_out_done = true;
    registry.scale_out_requests.push_back(
        {"w5-11", names.machine_types.intern("k1"), names.zones.intern("a"), true, 3, false});
    for (int i = 0; i < 200; ++i) {
        registry.machines.push_back(
            {"host-" + std::to_string(100200 + i), names.machine_types.intern("k2"),
             names.zones.intern(i % 2 ? "a" : "b"), i % 3 == 0, i < 4, false});
    }
    Json value = encode_registry(registry, names);
    EXPECT_LT(value.dump().size(), 4096U);
    auto decoded = decode_registry(value, names);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->scale_out_requests.size(), 1U);
    EXPECT_EQ(decoded->scale_out_requests[0].name, "w5-11");
    std::set<std::string> expected, actual;
    for (const RegisteredMachine& machine : registry.machines) {
        expected.insert(machine.name + (machine.permanent ? "p" : "t"));
    }
    for (const RegisteredMachine& machine : decoded->machines) {
        actual.insert(machine.name + (machine.permanent ? "p" : "t"));
    }
    EXPECT_EQ(expected, actual);
}

TEST(Records, RegistryPreservesLeadingZeroesInMachineNames) {
    Names names;
    RegistryRecord registry;
    for (const char* name : {"host-000001", "host-1", "odd", "x-007y", "99"}) {
        registry.machines.push_back(
            {name, names.machine_types.intern("k"), names.zones.intern("a"), false, false, false});
    }
    auto decoded = decode_registry(encode_registry(registry, names), names);
    ASSERT_TRUE(decoded);
    std::set<std::string> found;
    for (const RegisteredMachine& machine : decoded->machines) {
        found.insert(machine.name);
    }
    EXPECT_EQ(found, (std::set<std::string>{"host-000001", "host-1", "odd", "x-007y", "99"}));
}

TEST(Records, RejectsJobIdsThatCouldFormOtherKeys) {
    for (const char* invalid_id : {"", "j-", "x-1", "j-1/2", "j-a b", "j-../x", "j-\n1", "J-1"}) {
        EXPECT_FALSE(is_valid_job_id(invalid_id)) << invalid_id;
    }
    EXPECT_FALSE(is_valid_job_id("j-" + std::string(200, '1')));
    EXPECT_TRUE(is_valid_job_id("j-000412"));
}

// A registry that exceeds the store's value limit of 4 KiB can't be written, so that no more
// machines can be requested. The test encodes 2,000 machines, half as many again as the largest
// deployment has. They are left over from 6,000 that were requested during one day by scale-out
// requests of 1 to 50 machines, in all combinations of machine type, zone and price model. A tenth
// of them is being released, and 12 scale-out requests are pending. Steps written as decimal
// numbers would exceed the limit; they already filled 4 KiB with 662 machines.
TEST(RegistryTest, LargestDeploymentFitsSmallestValueLimit) {
    Names names;
    RegistryRecord registry;
    registry.next_request_number = 99999;
    registry.first_scale_out_done = true;
    const char* machine_types[] = {"chhota", "madhyam", "gajraj"};
    const char* zones[] = {"sabarmati", "tapi", "mahi-right-bank", "narmada-canal"};
    std::mt19937 generator(7);
    auto random_below = [&](unsigned bound) { return static_cast<unsigned>(generator() % bound); };
    std::vector<RegisteredMachine> requested;
    while (requested.size() < 6000) {
        RegisteredMachine machine;
        machine.machine_type = names.machine_types.intern(machine_types[random_below(3)]);
        machine.zone = names.zones.intern(zones[random_below(4)]);
        machine.spot = random_below(2) == 0;
        for (unsigned remaining = 1 + random_below(50); remaining > 0 && requested.size() < 6000;
             --remaining) {
            machine.name = "host-" + std::to_string(100000 + requested.size());
            requested.push_back(machine);
        }
    }
    std::shuffle(requested.begin(), requested.end(), generator);
    requested.resize(2000);
    for (RegisteredMachine& machine : requested) {
        machine.permanent = random_below(20) == 0;
        machine.releasing = random_below(10) == 0;
        registry.machines.push_back(machine);
    }
    for (int i = 0; i < 12; ++i) {
        registry.scale_out_requests.push_back(
            {"w1234567-9999" + std::to_string(i), names.machine_types.intern(machine_types[i % 3]),
             names.zones.intern(zones[i % 4]), i % 2 == 0, 50, false});
    }
    Json value = encode_registry(registry, names);
    EXPECT_LE(value.dump().size(), 4096U);
    auto decoded = decode_registry(value, names);
    ASSERT_TRUE(decoded);
    auto describe_machines = [](const RegistryRecord& described) {
        std::set<std::string> descriptions;
        for (const RegisteredMachine& machine : described.machines) {
            descriptions.insert(machine.name + (machine.spot ? "s" : "o") +
                                (machine.permanent ? "p" : "t") + (machine.releasing ? "r" : "h") +
                                std::to_string(machine.machine_type) + "/" +
                                std::to_string(machine.zone));
        }
        return descriptions;
    };
    EXPECT_EQ(describe_machines(registry), describe_machines(*decoded));
    EXPECT_EQ(decoded->machines.size(), 2000U);
}

// Steps of every encoded length are decoded correctly, including steps that exceed two characters.
// Invalid encodings are rejected.
TEST(RegistryTest, DecodesStepsOfEveryLengthAndRejectsInvalidText) {
    Names names;
    RegistryRecord registry;
    registry.first_scale_out_done = true;
    std::uint64_t number = 0;
    std::set<std::string> expected;
    for (std::uint64_t step : {0ULL, 1ULL, 1ULL, 1ULL, 55ULL, 56ULL, 57ULL, 58ULL, 1ULL, 2540ULL,
                               2541ULL, 2542ULL, 99999ULL, 1ULL, 123456789012ULL}) {
        number += step;
        std::string name = std::to_string(number);
        name = "m" + std::string(15 - name.size(), '0') + name;
        expected.insert(name);
        registry.machines.push_back(
            {name, names.machine_types.intern("k"), names.zones.intern("z"), false, false, false});
    }
    for (int i = 0; i < 40; ++i) {  // a run that is too long for one character
        std::string name = std::to_string(++number);
        name = "m" + std::string(15 - name.size(), '0') + name;
        expected.insert(name);
        registry.machines.push_back({name, 0, 0, false, false, false});
    }
    Json value = encode_registry(registry, names);
    auto decoded = decode_registry(value, names);
    ASSERT_TRUE(decoded);
    std::set<std::string> actual;
    for (const RegisteredMachine& machine : decoded->machines) {
        actual.insert(machine.name);
    }
    EXPECT_EQ(expected, actual);
    value["m"][0][5] = "\x01";
    EXPECT_FALSE(decode_registry(value, names));
    value["m"][0][5] = "z";  // the first character of a two-character step
    EXPECT_FALSE(decode_registry(value, names));
}

TEST(RegistryTest, DecodesRegistryOfTheFirstVersion) {
    Names names;
    auto registry =
        decode_registry(Json::parse(R"({"n":7,"f":1,"m":[["host-",6,"small","a",3,[12,40]]],
                                             "h":[["w5-6","small","b",1,4]]})"),
                        names);
    ASSERT_TRUE(registry);
    ASSERT_EQ(registry->machines.size(), 2U);
    EXPECT_EQ(registry->machines[1].name, "host-000040");
    EXPECT_TRUE(registry->machines[0].permanent && registry->machines[0].spot);
    ASSERT_EQ(registry->scale_out_requests.size(), 1U);
    EXPECT_EQ(names.zones.name(registry->scale_out_requests[0].zone), "b");
}

}  // namespace
}  // namespace walkford
