// Forms that cross versions: what version 0.3.0 wrote is read, what it must read is written the
// same to the byte, and what it can't read is not mistaken for something else.
#include <gtest/gtest.h>

#include <fstream>

#include "bookkeeping/registry_record.hpp"
#include "coordination/store/store_replica.hpp"
#include "protocol/peer_frame.hpp"

namespace walkford {
namespace {

Json fixtures() {
    std::ifstream in(std::string(WALKFORD_FIXTURES) + "/version_0_3_0.json");
    return Json::parse(in);
}

JobSpec gang_spec(Names& names) {
    JobSpec s;
    s.id = "j-000412";
    s.team = names.teams.intern("vision");
    s.job_class = names.job_classes.intern("train");
    s.shape = JobShape::gang;
    s.priority = Priority::high;
    s.tasks = 16;
    s.task_resources = {8, 1, 64};
    s.any_machine_type = false;
    s.machine_types = {names.machine_types.intern("g8")};
    s.zone = names.zones.intern("a");
    s.one_zone = true;
    s.spot = true;
    s.image = names.images.intern("img-07");
    s.image_gb = 6.2;
    s.estimate_s = 240;
    s.checkpoint_interval_s = 30;
    s.checkpoint_duration_s = 4;
    s.deadline_s = 900;
    return s;
}

JobSpec batch_spec(Names& names) {
    JobSpec s;
    s.id = "j-000413";
    s.team = names.teams.intern("vision");
    s.tasks = 100;
    s.task_resources = {1, 0, 2};
    s.spread = true;
    s.image = names.images.intern("img-07");
    s.image_gb = 1;
    return s;
}

std::vector<TaskRecord> record_tasks() {
    std::vector<TaskRecord> tasks(8);
    for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        tasks[i].attempt = i;
        tasks[i].done = i < 2;
        if (i > 4) {
            tasks[i].machine = "host-00023" + std::to_string(i);
        }
    }
    return tasks;
}

RegistryRecord registry(Names& names) {
    RegistryRecord r;
    r.next_request_number = 12;
    r.first_scale_out_done = true;
    Id g8 = names.machine_types.intern("g8"), c4 = names.machine_types.intern("c4");
    Id a = names.zones.intern("a"), b = names.zones.intern("b");
    for (int i = 0; i < 40; ++i) {
        r.machines.push_back({"host-000" + std::to_string(100 + i * 3), i % 2 ? g8 : c4,
                              i % 3 ? a : b, i % 5 == 0, i<4, i> 36});
    }
    r.scale_out_requests.push_back({"w5-11", g8, b, true, 12, false});
    return r;
}

PeerHeartbeat heartbeat() {
    PeerHeartbeat f;
    f.controller = "walker-1";
    f.incarnation = "walker-1-8fa3";
    f.sequence = 77;
    f.echo = 12;
    f.echo_incarnation = "walker-0-11";
    f.fencing_token = 123456789;
    f.leader = "walker-2";
    f.ms_since_store_response = 15;
    f.revision = 987654321;
    f.uptime_ms = 4711;
    f.ms_since_worker_heartbeat = -1;
    return f;
}

std::string to_hex(const std::string& bytes) {
    static const char* const digits = "0123456789abcdef";
    std::string hex;
    for (unsigned char c : bytes) {
        hex.push_back(digits[c >> 4]);
        hex.push_back(digits[c & 15]);
    }
    return hex;
}

// Old reads new: the same bytes, so that no version in between need be asked.
TEST(Compatibility, WhatProductionMustReadIsWrittenAsItWroteIt) {
    Json f = fixtures();
    Names names;
    EXPECT_EQ(to_hex(protocol::encode_frame(heartbeat())), f["frame_hex"]);
    EXPECT_EQ(encode_job({gang_spec(names), false}, names), f["gang"]);
    EXPECT_EQ(encode_job({gang_spec(names), true}, names), f["gang_cancelled"]);
    EXPECT_EQ(encode_job({batch_spec(names), false}, names), f["batch"]);
    EXPECT_EQ(encode_placement_record(record_tasks()), f["chunk"]);
    EXPECT_EQ(encode_finished_job({false, 16}), f["ended_done"]);
    EXPECT_EQ(encode_finished_job({true, 100}), f["ended_cancelled"]);
    EXPECT_EQ(encode_registry(registry(names), names), f["registry"]);
    EXPECT_EQ(encode_leader({"walker-2", "walker-2-77aa"}), f["leader"]);
    MachineType machine_type;
    machine_type.id = names.machine_types.intern("g8");
    machine_type.size = {96, 8, 768};
    machine_type.cache_gb = 200;
    machine_type.fetch_gb_per_s = 1;
    machine_type.price = 12;
    machine_type.spot_price = 4.5;
    machine_type.boot_s = 45;
    machine_type.zones = {names.zones.intern("a"), names.zones.intern("b")};
    EXPECT_EQ(encode_machine_types({machine_type}, names), f["kinds"]);
}

// New reads old.
TEST(Compatibility, WhatProductionWroteIsRead) {
    Json f = fixtures();
    Names names;
    auto gang = decode_job("j-000412", f["gang"], names);
    ASSERT_TRUE(gang);
    EXPECT_EQ(gang->spec.shape, JobShape::gang);
    EXPECT_EQ(encode_job(*gang, names), f["gang"]);
    auto batch = decode_job("j-000413", f["batch"], names);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->spec.shape, JobShape::array);
    EXPECT_TRUE(batch->spec.spread);
    EXPECT_TRUE(decode_job("j-000412", f["gang_cancelled"], names)->cancelled);
    std::vector<TaskRecord> tasks(8);
    ASSERT_TRUE(decode_placement_record(f["chunk"], tasks));
    EXPECT_EQ(tasks[1].done, true);
    EXPECT_EQ(tasks[6].machine, "host-000236");
    EXPECT_EQ(tasks[6].attempt, 6U);
    auto held = decode_registry(f["registry"], names);
    ASSERT_TRUE(held);
    EXPECT_EQ(held->machines.size(), 40U);
    EXPECT_EQ(held->scale_out_requests.at(0).name, "w5-11");
    EXPECT_TRUE(decode_finished_job(f["ended_cancelled"])->cancelled);
    EXPECT_EQ(decode_leader(f["leader"])->controller, "walker-2");
    EXPECT_EQ(decode_machine_types(f["kinds"], names).size(), 1U);
}

// Version 0.3.0 asks a job's record for `n` and drops what lacks it; a service has none, so that it
// is never taken for a batch.
TEST(Compatibility, AServiceCantBeReadAsABatch) {
    Names names;
    JobSpec spec = batch_spec(names);
    spec.shape = JobShape::service;
    for (bool cancelled : {false, true}) {
        Json record = encode_job({spec, cancelled}, names);
        EXPECT_FALSE(record.contains("n"));
        auto back = decode_job(spec.id, record, names);
        ASSERT_TRUE(back);
        EXPECT_EQ(back->spec.shape, JobShape::service);
        EXPECT_EQ(back->spec.tasks, 100U);
        EXPECT_EQ(back->cancelled, cancelled);
    }
}

// A cancelled job's record written short still says all that ending it needs, to both versions.
TEST(Compatibility, ACancelledJobCanBeWrittenShort) {
    Names names;
    JobSpec spec = gang_spec(names);
    for (int i = 0; i < 60; ++i) {
        spec.machine_types.push_back(
            names.machine_types.intern("a-machine-type-with-a-long-name-" + std::to_string(i)));
    }
    Json full = encode_job({spec, true}, names);
    Json record = encode_cancelled_job(spec, names);
    EXPECT_GT(full.dump().size(), 2048U);
    EXPECT_LT(record.dump().size(), 256U);
    EXPECT_TRUE(record.contains("n"));
    auto back = decode_job(spec.id, record, names);
    ASSERT_TRUE(back);
    EXPECT_TRUE(back->cancelled);
    EXPECT_EQ(back->spec.tasks, spec.tasks);
    EXPECT_EQ(back->spec.tasks_per_record, spec.tasks_per_record);
}

// Keys that version 0.3.0 does not know are none that it would read as something else.
TEST(Compatibility, NewKeysAreNoneThatProductionReads) {
    for (const std::string& key : {keys::registry_part(1), keys::announcement("walker-1")}) {
        EXPECT_EQ(key.rfind(keys::kRoot, 0), 0U) << "watched like all others";
        for (const std::string& known : {keys::kJobs, keys::kFinishedJobs, keys::kPlacementRecords,
                                         keys::kRegistry, keys::kLeader, keys::kMachineTypes}) {
            EXPECT_NE(key.rfind(known, 0), 0U) << key << " begins like " << known;
        }
    }
}

TEST(Compatibility, AnnouncedLevelsOnlyRise) {
    Names names;
    StoreReplica replica(names);
    EXPECT_TRUE(replica.apply({keys::announcement("n1"), encode_announcement(2), 7}));
    EXPECT_FALSE(replica.apply({keys::announcement("n1"), encode_announcement(1), 6}));
    EXPECT_EQ(replica.announced_levels.at("n1").level, 2U);
    EXPECT_TRUE(replica.apply({keys::announcement("n1"), encode_announcement(1), 9}));
    EXPECT_EQ(replica.announced_levels.at("n1").level, 2U);
    EXPECT_FALSE(replica.apply({keys::announcement("n1"), Json("damaged"), 10}));
    EXPECT_EQ(replica.announced_levels.at("n1").level, 2U);
}

}  // namespace
}  // namespace walkford
