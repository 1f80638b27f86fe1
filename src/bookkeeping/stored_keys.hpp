// The keys of the records in the store.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace walkford {

namespace keys {
inline const std::string kRoot = "w/";  // every key begins with it
inline const std::string kLeader = "w/leader";
inline const std::string kRegistry = "w/machines";
inline const std::string kMachineTypes = "w/kinds";
// Prefixes of keys. The comment says what follows the prefix.
inline const std::string kJobs = "w/j/";              // id of a pending or running job
inline const std::string kFinishedJobs = "w/d/";      // id of a job that is done or cancelled
inline const std::string kPlacementRecords = "w/t/";  // id of a job, "/", index of the record
inline const std::string kRegistryParts = "w/m/";     // index of the part
inline const std::string kAnnouncements = "w/v/";     // name of a controller
inline const std::string kRelays = "w/r/";            // name of a controller
inline const std::string kZoneRecords = "w/z/";       // name of a zone

// The key of the record of a failing or recovering zone.
inline std::string zone_record(const std::string& zone) { return kZoneRecords + zone; }
// The key of a controller's relay record.
inline std::string relay(const std::string& controller) { return kRelays + controller; }
// The key of a controller's announced feature level.
inline std::string announcement(const std::string& controller) {
    return kAnnouncements + controller;
}
// The key of a part of the machine registry. Part 0 is the registry's first value, and the only one
// as long as it can hold all machines.
std::string registry_part(std::uint32_t index);
// Returns the index of a part of the registry, or nullopt if the key is not that of a part.
std::optional<std::uint32_t> parse_registry_part(const std::string& key);
// The key of a job that is pending or running.
inline std::string job(const std::string& id) { return kJobs + id; }
// The key of a job that is done or cancelled.
inline std::string finished_job(const std::string& id) { return kFinishedJobs + id; }
// The key of a placement record of a job.
std::string placement_record(const std::string& job, std::uint32_t index);

// The components of the key of a placement record.
struct PlacementRecordKey {
    std::string job;  // its id
    std::uint32_t index = 0;
};
// Parses the key of a placement record. Returns nullopt if the key is not that of one.
std::optional<PlacementRecordKey> parse_placement_record(const std::string& key);
}  // namespace keys

// Whether the text is a valid job id: `j-` followed by 1 to 60 ASCII letters, digits, dashes and
// underscores. Ids are restricted because they come from users and become part of a key.
bool is_valid_job_id(const std::string& id);

}  // namespace walkford
