// Compatibility with version 0.3.0, which runs in production: records that it wrote are read,
// records that it must read are written byte for byte as it writes them, and records that it cannot
// read are not mistaken for others.
#include <gtest/gtest.h>

#include <fstream>

#include "bookkeeping/registry_record.hpp"
#include "coordination/store/store_replica.hpp"
#include "protocol/peer_frame.hpp"

namespace walkford {
namespace {

Json load_fixtures() {
    std::ifstream file(std::string(WALKFORD_FIXTURES) + "/version_0_3_0.json");
    return Json::parse(file);
}

JobSpec gang_spec(Names& names) {
    JobSpec spec;
    spec.id = "j-000412";
    spec.team = names.teams.intern("vision");
    spec.job_class = names.job_classes.intern("train");
    spec.shape = JobShape::gang;
    spec.priority = Priority::high;
    spec.tasks = 16;
    spec.task_resources = {8, 1, 64};
    spec.any_machine_type = false;
    spec.machine_types = {names.machine_types.intern("g8")};
    spec.zone = names.zones.intern("a");
    spec.one_zone = true;
    spec.spot = true;
    spec.image = names.images.intern("img-07");
    spec.image_gb = 6.2;
    spec.estimate_s = 240;
    spec.checkpoint_interval_s = 30;
    spec.checkpoint_duration_s = 4;
    spec.deadline_s = 900;
    return spec;
}

JobSpec array_spec(Names& names) {
    JobSpec spec;
    spec.id = "j-000413";
    spec.team = names.teams.intern("vision");
    spec.tasks = 100;
    spec.task_resources = {1, 0, 2};
    spec.spread = true;
    spec.image = names.images.intern("img-07");
    spec.image_gb = 1;
    return spec;
}

std::vector<TaskRecord> sample_tasks() {
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

RegistryRecord sample_registry(Names& names) {
    RegistryRecord record;
    record.next_request_number = 12;
    record.first_scale_out_done = true;
    Id g8 = names.machine_types.intern("g8"), c4 = names.machine_types.intern("c4");
    Id zone_a = names.zones.intern("a"), zone_b = names.zones.intern("b");
    for (int i = 0; i < 40; ++i) {
        record.machines.push_back({"host-000" + std::to_string(100 + i * 3), i % 2 ? g8 : c4,
                                   i % 3 ? zone_a : zone_b, i % 5 == 0, i<4, i> 36});
    }
    record.scale_out_requests.push_back({"w5-11", g8, zone_b, true, 12, false});
    return record;
}

PeerHeartbeat sample_heartbeat() {
    PeerHeartbeat heartbeat;
    heartbeat.controller = "walker-1";
    heartbeat.incarnation = "walker-1-8fa3";
    heartbeat.sequence = 77;
    heartbeat.echo = 12;
    heartbeat.echo_incarnation = "walker-0-11";
    heartbeat.fencing_token = 123456789;
    heartbeat.leader = "walker-2";
    heartbeat.ms_since_store_response = 15;
    heartbeat.revision = 987654321;
    heartbeat.uptime_ms = 4711;
    heartbeat.ms_since_worker_heartbeat = -1;
    return heartbeat;
}

std::string to_hex(const std::string& bytes) {
    static const char* const digits = "0123456789abcdef";
    std::string hex;
    for (unsigned char byte : bytes) {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 15]);
    }
    return hex;
}

// Version 0.3.0 can read what this version writes, because both write the same bytes. So no
// versions in between need to be tested.
TEST(Compatibility, WritesRecordsAsProductionDoes) {
    Json stored = load_fixtures();
    Names names;
    EXPECT_EQ(to_hex(protocol::encode_frame(sample_heartbeat())), stored["frame_hex"]);
    EXPECT_EQ(encode_job({gang_spec(names), false}, names), stored["gang"]);
    EXPECT_EQ(encode_job({gang_spec(names), true}, names), stored["gang_cancelled"]);
    EXPECT_EQ(encode_job({array_spec(names), false}, names), stored["batch"]);
    EXPECT_EQ(encode_placement_record(sample_tasks()), stored["chunk"]);
    EXPECT_EQ(encode_finished_job({false, 16}), stored["ended_done"]);
    EXPECT_EQ(encode_finished_job({true, 100}), stored["ended_cancelled"]);
    EXPECT_EQ(encode_registry(sample_registry(names), names), stored["registry"]);
    EXPECT_EQ(encode_leader({"walker-2", "walker-2-77aa"}), stored["leader"]);
    MachineType machine_type;
    machine_type.id = names.machine_types.intern("g8");
    machine_type.size = {96, 8, 768};
    machine_type.cache_gb = 200;
    machine_type.fetch_gb_per_s = 1;
    machine_type.price = 12;
    machine_type.spot_price = 4.5;
    machine_type.boot_s = 45;
    machine_type.zones = {names.zones.intern("a"), names.zones.intern("b")};
    EXPECT_EQ(encode_machine_types({machine_type}, names), stored["kinds"]);
}

// This version can read what version 0.3.0 wrote.
TEST(Compatibility, ReadsRecordsThatProductionWrote) {
    Json stored = load_fixtures();
    Names names;
    auto gang = decode_job("j-000412", stored["gang"], names);
    ASSERT_TRUE(gang);
    EXPECT_EQ(gang->spec.shape, JobShape::gang);
    EXPECT_EQ(encode_job(*gang, names), stored["gang"]);
    auto batch = decode_job("j-000413", stored["batch"], names);
    ASSERT_TRUE(batch);
    EXPECT_EQ(batch->spec.shape, JobShape::array);
    EXPECT_TRUE(batch->spec.spread);
    EXPECT_TRUE(decode_job("j-000412", stored["gang_cancelled"], names)->cancelled);
    std::vector<TaskRecord> tasks(8);
    ASSERT_TRUE(decode_placement_record(stored["chunk"], tasks));
    EXPECT_EQ(tasks[1].done, true);
    EXPECT_EQ(tasks[6].machine, "host-000236");
    EXPECT_EQ(tasks[6].attempt, 6U);
    auto decoded_registry = decode_registry(stored["registry"], names);
    ASSERT_TRUE(decoded_registry);
    EXPECT_EQ(decoded_registry->machines.size(), 40U);
    EXPECT_EQ(decoded_registry->scale_out_requests.at(0).name, "w5-11");
    EXPECT_TRUE(decode_finished_job(stored["ended_cancelled"])->cancelled);
    EXPECT_EQ(decode_leader(stored["leader"])->controller, "walker-2");
    EXPECT_EQ(decode_machine_types(stored["kinds"], names).machine_types.size(), 1U);
}

// Version 0.3.0 requires the field `n` in a job record and ignores records without it. The record
// of a service lacks `n`, so that version 0.3.0 never runs a service as an array, which ends.
TEST(Compatibility, ProductionIgnoresRecordsOfServices) {
    Names names;
    JobSpec spec = array_spec(names);
    spec.shape = JobShape::service;
    for (bool cancelled : {false, true}) {
        Json record = encode_job({spec, cancelled}, names);
        EXPECT_FALSE(record.contains("n"));
        auto decoded = decode_job(spec.id, record, names);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(decoded->spec.shape, JobShape::service);
        EXPECT_EQ(decoded->spec.tasks, 100U);
        EXPECT_EQ(decoded->cancelled, cancelled);
    }
}

// The shortened record of a cancelled job contains all fields that both versions need to end the
// job.
TEST(Compatibility, ShortenedRecordOfACancelledJobCanBeRead) {
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
    auto decoded = decode_job(spec.id, record, names);
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded->cancelled);
    EXPECT_EQ(decoded->spec.tasks, spec.tasks);
    EXPECT_EQ(decoded->spec.tasks_per_record, spec.tasks_per_record);
}

// Keys that version 0.3.0 does not know must not begin with a key prefix that it reads, as it would
// take their values for records of another type.
TEST(Compatibility, NewKeysDoNotBeginWithKeysThatProductionReads) {
    for (const std::string& key : {keys::registry_part(1), keys::announcement("walker-1")}) {
        EXPECT_EQ(key.rfind(keys::kRoot, 0), 0U) << "is outside the watched prefix";
        for (const std::string& known : {keys::kJobs, keys::kFinishedJobs, keys::kPlacementRecords,
                                         keys::kRegistry, keys::kLeader, keys::kMachineTypes}) {
            EXPECT_NE(key.rfind(known, 0), 0U) << key << " begins with " << known;
        }
    }
}

TEST(Compatibility, AnnouncedLevelsNeverDecrease) {
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
