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
inline const std::string kKinds = "w/kinds";
inline const std::string kJobs = "w/j/";
inline const std::string kEnded = "w/d/";
inline const std::string kTasks = "w/t/";
inline std::string job(const std::string& id) { return kJobs + id; }
inline std::string ended(const std::string& id) { return kEnded + id; }
std::string chunk(const std::string& job, std::uint32_t index);
// Splits a chunk's key; nothing when it isn't one.
std::optional<std::pair<std::string, std::uint32_t>> parse_chunk(const std::string& key);
}  // namespace keys

// Ids come from users and become part of a key: only `j-` and up to 60 letters, digits, dashes.
bool job_id_ok(const std::string& id);

struct JobRecord {
    JobSpec spec;
    bool cancelled = false;
};
Json encode_job(const JobRecord& job, const Names& names);
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
Json encode_chunk(const std::vector<TaskRecord>& tasks);
bool decode_chunk(const Json& value, std::vector<TaskRecord>& tasks);

struct Hire {
    std::string name;
    Id kind = kNone;
    Id zone = kNone;
    bool spot = false;
    std::uint32_t count = 0;
    bool permanent = false;
};
struct Held {
    std::string name;
    Id kind = kNone;
    Id zone = kNone;
    bool spot = false;
    bool permanent = false;
    bool returning = false;
};
// The design's one small value: every machine held, each permanent or temporary, and the hires
// whose answer is not yet known.
struct Registry {
    std::uint64_t next_hire = 1;
    bool first_rented = false;  // a first rental has been made: later ones are temporary
    std::vector<Hire> hires;
    std::vector<Held> machines;
};
Json encode_registry(const Registry& registry, const Names& names);
std::optional<Registry> decode_registry(const Json& value, Names& names);

Json encode_kinds(const std::vector<Kind>& kinds, const Names& names);
std::vector<Kind> decode_kinds(const Json& value, Names& names);

struct LeaderRecord {
    std::string node;
    std::string incarnation;
};
Json encode_leader(const LeaderRecord& leader);
std::optional<LeaderRecord> decode_leader(const Json& value);

}  // namespace walkford
