#include "bookkeeping/records.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>

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
        ASSERT_TRUE(decode_chunk(encode_chunk(tasks), back));
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
    EXPECT_LT(encode_chunk(tasks).dump().size(), 4096U);
}

TEST(Records, RegistryComesBackAsWritten) {
    Names names;
    Registry r;
    r.next_hire = 12;
    r.first_rented = true;
    r.hires.push_back({"w5-11", names.kinds.intern("k1"), names.zones.intern("a"), true, 3, false});
    for (int i = 0; i < 200; ++i) {
        r.machines.push_back({"host-" + std::to_string(100200 + i), names.kinds.intern("k2"),
                              names.zones.intern(i % 2 ? "a" : "b"), i % 3 == 0, i < 4, false});
    }
    Json v = encode_registry(r, names);
    EXPECT_LT(v.dump().size(), 4096U);
    auto back = decode_registry(v, names);
    ASSERT_TRUE(back);
    EXPECT_EQ(back->hires.size(), 1U);
    EXPECT_EQ(back->hires[0].name, "w5-11");
    std::set<std::string> a, b;
    for (const Held& h : r.machines) a.insert(h.name + (h.permanent ? "p" : "t"));
    for (const Held& h : back->machines) b.insert(h.name + (h.permanent ? "p" : "t"));
    EXPECT_EQ(a, b);
}

TEST(Records, MachineNameWithLeadingZeroesSurvives) {
    Names names;
    Registry r;
    for (const char* n : {"host-000001", "host-1", "odd", "x-007y", "99"}) {
        r.machines.push_back(
            {n, names.kinds.intern("k"), names.zones.intern("a"), false, false, false});
    }
    auto back = decode_registry(encode_registry(r, names), names);
    ASSERT_TRUE(back);
    std::set<std::string> found;
    for (const Held& h : back->machines) found.insert(h.name);
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
// of kind, zone, mark and sort, with hires open, within the state service's 4 KiB.
TEST(RegistryTest, HoldsTheLargestFleetInOneSmallValue) {
    Names names;
    Registry r;
    r.next_hire = 99999;
    r.first_rented = true;
    const char* kinds[] = {"chhota", "madhyam", "gajraj"};
    const char* zones[] = {"sabarmati", "tapi"};
    for (int i = 0; i < 662; ++i) {
        Held h;
        h.name = "host-" + std::to_string(100000 + i * 7);  // with gaps: many came and went
        h.kind = names.kinds.intern(kinds[i % 3]);
        h.zone = names.zones.intern(zones[(i / 3) % 2]);
        h.spot = (i / 6) % 2 != 0;
        h.permanent = i < 100;
        h.returning = i % 50 == 0;
        r.machines.push_back(h);
    }
    for (int i = 0; i < 12; ++i) {
        r.hires.push_back({"w1234567-9999" + std::to_string(i), names.kinds.intern(kinds[i % 3]),
                           names.zones.intern(zones[i % 2]), i % 2 == 0, 50, false});
    }
    Json v = encode_registry(r, names);
    EXPECT_LE(v.dump().size(), 4096U);
    auto back = decode_registry(v, names);
    ASSERT_TRUE(back);
    std::set<std::string> had, has;
    for (const Held& h : r.machines)
        had.insert(h.name + (h.spot ? "s" : "o") + (h.permanent ? "p" : "t"));
    for (const Held& h : back->machines)
        has.insert(h.name + (h.spot ? "s" : "o") + (h.permanent ? "p" : "t"));
    EXPECT_EQ(had, has);
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
    ASSERT_EQ(r->hires.size(), 1U);
    EXPECT_EQ(names.zones.name(r->hires[0].zone), "b");
}

}  // namespace
}  // namespace walkford
