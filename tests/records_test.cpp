#include "bookkeeping/records.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <set>

#include "bookkeeping/registry_record.hpp"

namespace walkford {
namespace {

TEST(Records, ChunkComesBackAsWritten) {
    std::mt19937 rng(7);
    for (int round = 0; round < 300; ++round) {
        std::vector<TaskRecord> tasks(1 + rng() % 64);
        for (TaskRecord& t : tasks) {
            switch (rng() % 4) {
                case 0:
                    t.done = true;
                    break;
                case 1:
                    t.attempt = 1 + rng() % 9;
                    t.machine = "host-00000" + std::to_string(rng() % 5);
                    break;
                case 2:
                    t.attempt = rng() % 3;
                    break;
                default:
                    break;
            }
        }
        std::vector<TaskRecord> back(tasks.size());
        ASSERT_TRUE(decode_placement_record(encode_placement_record(tasks), back));
        ASSERT_EQ(tasks, back);
    }
}

TEST(Records, FullChunkFitsTheSmallestValue) {
    // Every task on another machine, with high attempts: the record must stay within 4 KiB.
    std::vector<TaskRecord> tasks(64);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        tasks[i].attempt = 100000;
        tasks[i].machine = "host-" + std::to_string(100000 + i);
    }
    EXPECT_LT(encode_placement_record(tasks).dump().size(), 4096U);
}

TEST(Records, RegistryComesBackAsWritten) {
    Names names;
    RegistryRecord r;
    r.next_request_number = 12;
    r.first_scale_out_done = true;
    r.scale_out_requests.push_back(
        {"w5-11", names.machine_types.intern("k1"), names.zones.intern("a"), true, 3, false});
    for (int i = 0; i < 200; ++i) {
        r.machines.push_back({"host-" + std::to_string(100200 + i),
                              names.machine_types.intern("k2"),
                              names.zones.intern(i % 2 ? "a" : "b"), i % 3 == 0, i < 4, false});
    }
    Json v = encode_registry(r, names);
    EXPECT_LT(v.dump().size(), 4096U);
    auto back = decode_registry(v, names);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->scale_out_requests.size(), 1U);
    EXPECT_EQ(back->scale_out_requests[0].name, "w5-11");
    std::set<std::string> a, b;
    for (const RegisteredMachine& h : r.machines) {
        a.insert(h.name + (h.permanent ? "p" : "t"));
    }
    for (const RegisteredMachine& h : back->machines) {
        b.insert(h.name + (h.permanent ? "p" : "t"));
    }
    EXPECT_EQ(a, b);
}

TEST(Records, MachineNameWithLeadingZeroesSurvives) {
    Names names;
    RegistryRecord r;
    for (const char* n : {"host-000001", "host-1", "odd", "x-007y", "99"}) {
        r.machines.push_back(
            {n, names.machine_types.intern("k"), names.zones.intern("a"), false, false, false});
    }
    auto back = decode_registry(encode_registry(r, names), names);
    ASSERT_TRUE(back);
    std::set<std::string> found;
    for (const RegisteredMachine& h : back->machines) {
        found.insert(h.name);
    }
    EXPECT_EQ(found, (std::set<std::string>{"host-000001", "host-1", "odd", "x-007y", "99"}));
}

TEST(Records, IdsThatCouldBecomeOtherKeysAreRefused) {
    for (const char* bad : {"", "j-", "x-1", "j-1/2", "j-a b", "j-../x", "j-\n1", "J-1"}) {
        EXPECT_FALSE(job_id_ok(bad)) << bad;
    }
    EXPECT_FALSE(job_id_ok("j-" + std::string(200, '1')));
    EXPECT_TRUE(job_id_ok("j-000412"));
}

// The largest deployment: 662 machines, the longest names that a cloud gives, in every combination
// of kind, zone, mark and sort, with rentals open, within the state service's 4 KiB.
// Half as many again as the largest fleet, of 6,000 that were rented during the day: what remains
// of rentals of every size, in four zones, a tenth on its way back, and a dozen rentals open. In
// decimal steps it would not fit; what does not fit can't be rented.
TEST(RegistryTest, HoldsTheLargestFleetInOneSmallValue) {
    Names names;
    RegistryRecord r;
    r.next_request_number = 99999;
    r.first_scale_out_done = true;
    const char* machine_types[] = {"chhota", "madhyam", "gajraj"};
    const char* zones[] = {"sabarmati", "tapi", "mahi-right-bank", "narmada-canal"};
    std::mt19937 rng(7);
    auto upto = [&](unsigned n) { return static_cast<unsigned>(rng() % n); };
    std::vector<RegisteredMachine> requested;
    while (requested.size() < 6000) {
        RegisteredMachine h;
        h.machine_type = names.machine_types.intern(machine_types[upto(3)]);
        h.zone = names.zones.intern(zones[upto(4)]);
        h.spot = upto(2) == 0;
        for (unsigned left = 1 + upto(50); left > 0 && requested.size() < 6000; --left) {
            h.name = "host-" + std::to_string(100000 + requested.size());
            requested.push_back(h);
        }
    }
    std::shuffle(requested.begin(), requested.end(), rng);
    requested.resize(2000);
    for (RegisteredMachine& h : requested) {
        h.permanent = upto(20) == 0;
        h.releasing = upto(10) == 0;
        r.machines.push_back(h);
    }
    for (int i = 0; i < 12; ++i) {
        r.scale_out_requests.push_back({"w1234567-9999" + std::to_string(i),
                                        names.machine_types.intern(machine_types[i % 3]),
                                        names.zones.intern(zones[i % 4]), i % 2 == 0, 50, false});
    }
    Json v = encode_registry(r, names);
    EXPECT_LE(v.dump().size(), 4096U);
    auto back = decode_registry(v, names);
    ASSERT_TRUE(back);
    auto all = [](const RegistryRecord& held) {
        std::set<std::string> list;
        for (const RegisteredMachine& h : held.machines) {
            list.insert(h.name + (h.spot ? "s" : "o") + (h.permanent ? "p" : "t") +
                        (h.releasing ? "r" : "h") + std::to_string(h.machine_type) + "/" +
                        std::to_string(h.zone));
        }
        return list;
    };
    EXPECT_EQ(all(r), all(*back));
    EXPECT_EQ(back->machines.size(), 2000U);
}

// Steps of every length come back, also beyond what two characters hold; what is no coding of ours
// is told from one.
TEST(RegistryTest, NumbersOfEveryDistanceComeBack) {
    Names names;
    RegistryRecord r;
    r.first_scale_out_done = true;
    std::uint64_t number = 0;
    std::set<std::string> had;
    for (std::uint64_t step : {0ULL, 1ULL, 1ULL, 1ULL, 55ULL, 56ULL, 57ULL, 58ULL, 1ULL, 2540ULL,
                               2541ULL, 2542ULL, 99999ULL, 1ULL, 123456789012ULL}) {
        number += step;
        std::string name = std::to_string(number);
        name = "m" + std::string(15 - name.size(), '0') + name;
        had.insert(name);
        r.machines.push_back(
            {name, names.machine_types.intern("k"), names.zones.intern("z"), false, false, false});
    }
    for (int i = 0; i < 40; ++i) {  // a run longer than one character holds
        std::string name = std::to_string(++number);
        name = "m" + std::string(15 - name.size(), '0') + name;
        had.insert(name);
        r.machines.push_back({name, 0, 0, false, false, false});
    }
    Json v = encode_registry(r, names);
    auto back = decode_registry(v, names);
    ASSERT_TRUE(back);
    std::set<std::string> has;
    for (const RegisteredMachine& h : back->machines) {
        has.insert(h.name);
    }
    EXPECT_EQ(had, has);
    v["m"][0][5] = "\x01";
    EXPECT_FALSE(decode_registry(v, names));
    v["m"][0][5] = "z";  // the first half of a step
    EXPECT_FALSE(decode_registry(v, names));
}

TEST(RegistryTest, ReadsWhatTheFirstVersionWrote) {
    Names names;
    auto r = decode_registry(Json::parse(R"({"n":7,"f":1,"m":[["host-",6,"small","a",3,[12,40]]],
                                             "h":[["w5-6","small","b",1,4]]})"),
                             names);
    ASSERT_TRUE(r);
    ASSERT_EQ(r->machines.size(), 2U);
    EXPECT_EQ(r->machines[1].name, "host-000040");
    EXPECT_TRUE(r->machines[0].permanent && r->machines[0].spot);
    ASSERT_EQ(r->scale_out_requests.size(), 1U);
    EXPECT_EQ(names.zones.name(r->scale_out_requests[0].zone), "b");
}

}  // namespace
}  // namespace walkford
