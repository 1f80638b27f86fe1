// Durable records: what stands in the state service, and how it is written. Names, not indices,
// are stored: an index means something in one process only.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>

#include "bookkeeping/types.hpp"

namespace walkford {

using Json = nlohmann::json;

namespace keys {
inline const std::string kRoot = "w/";
inline const std::string kLeader = "w/leader";
inline const std::string kRegistry = "w/machines";
inline const std::string kMachineTypes = "w/kinds";
inline const std::string kJobs = "w/j/";
inline const std::string kEnded = "w/d/";
inline const std::string kTasks = "w/t/";
inline const std::string kRegistryParts = "w/m/";
inline const std::string kAnnouncements = "w/v/";
inline const std::string kRelays = "w/r/";
inline const std::string kZoneRecords = "w/z/";
inline std::string zone_record(const std::string& zone) { return kZoneRecords + zone; }
inline std::string relay(const std::string& controller) { return kRelays + controller; }
inline std::string announcement(const std::string& controller) {
    return kAnnouncements + controller;
}
// Part 0 is the registry's first value, which is all there is while that one holds it.
std::string registry_part(std::uint32_t index);
std::optional<std::uint32_t> parse_registry_part(const std::string& key);
inline std::string job(const std::string& id) { return kJobs + id; }
inline std::string ended(const std::string& id) { return kEnded + id; }
std::string placement_record(const std::string& job, std::uint32_t index);
// Splits a chunk's key; nothing when it isn't one.
std::optional<std::pair<std::string, std::uint32_t>> parse_placement_record(const std::string& key);
}  // namespace keys

// Ids come from users and become part of a key: only `j-` and up to 60 letters, digits, dashes.
bool job_id_ok(const std::string& id);

struct JobRecord {
    JobSpec spec;
    bool cancelled = false;
};
Json encode_job(const JobRecord& job, const Names& names);
// A cancelled job without what only a start would need: for a record that has grown too large to be
// written again under lower limits of the state service.
Json encode_cancelled_job(const JobSpec& spec, const Names& names);
std::optional<JobRecord> decode_job(const std::string& id, const Json& value, Names& names);

struct EndedRecord {
    bool cancelled = false;
    std::uint32_t tasks = 0;
};
Json encode_ended(const EndedRecord& ended);
std::optional<EndedRecord> decode_ended(const Json& value);

struct TaskRecord {
    std::uint32_t attempt = 0;  // the highest ever used; only rises
    bool done = false;
    std::string machine;  // empty: placed nowhere
    bool operator==(const TaskRecord&) const = default;
};
// Tasks [first, first + n) of a job: done ones as ranges, placed ones with machine and attempt,
// the rest only where an attempt was used.
Json encode_placement_record(const std::vector<TaskRecord>& tasks);
bool decode_placement_record(const Json& value, std::vector<TaskRecord>& tasks);

Json encode_machine_types(const std::vector<MachineType>& machine_types, const Names& names);
std::vector<MachineType> decode_machine_types(const Json& value, Names& names);

// The feature level that a controller's version supports.
Json encode_announcement(std::uint32_t level);
std::optional<std::uint32_t> decode_announcement(const Json& value);

// A controller answers the workers of a zone for the leader with that token.
struct RelayRecord {
    std::uint64_t fencing_token = 0;
    std::string zone;
};
Json encode_relay(const RelayRecord& relay);
std::optional<RelayRecord> decode_relay(const Json& value);

struct LeaderRecord {
    std::string controller;
    std::string incarnation;
};
Json encode_leader(const LeaderRecord& leader);
std::optional<LeaderRecord> decode_leader(const Json& value);

}  // namespace walkford
