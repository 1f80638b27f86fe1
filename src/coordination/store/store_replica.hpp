// A controller's local copy of the store's contents, kept current by applying the store's changes.
// Every controller has one; the leader builds its cluster state from it.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "bookkeeping/stored_values.hpp"

namespace walkford {

// Owned by the ControllerContext and updated by the StoreWatcher only. Rows may arrive late, twice
// and by two paths (watch and snapshot); the row with the highest version takes effect.
class StoreReplica {
  public:
    // `names`: interns the names that stored jobs refer to; must outlive the replica.
    explicit StoreReplica(Names& names) : names_(names) {}

    // Applies one change. Returns true if it changed the replica. A row that is older than the
    // known version or can't be decoded changes nothing.
    bool apply(const StoreEntry& row);
    // Records that all changes up to `revision` have been applied.
    void advance(std::uint64_t revision) { revision_ = std::max(revision_, revision); }
    // The replica includes all changes up to this revision of the store.
    std::uint64_t revision() const { return revision_; }
    // Begins to load a snapshot, which is a full read of the store. From now on apply() records
    // which keys the snapshot contains.
    void begin_snapshot();
    // Ends loading the snapshot that began at `revision`, and deletes the keys that it did not
    // contain.
    void end_snapshot(std::uint64_t revision);

    // The live job with this id, or null if there is none.
    const StoredJob* job(const std::string& job_id) const;
    // Whether a live job with this id is stored that can't be decoded.
    bool has_unreadable_job(const std::string& job_id) const {
        return unreadable_jobs_.contains(job_id);
    }
    // The live jobs by id.
    const std::map<std::string, StoredJob>& jobs() const { return jobs_; }
    // The placement records of a job by index, or null if it has none.
    const std::map<std::uint32_t, StoredValue>* placement_records(const std::string& job_id) const;
    // The placement records of all jobs, by job id and index.
    const std::map<std::string, std::map<std::uint32_t, StoredValue>>& all_placement_records()
        const {
        return placement_records_;
    }
    // The record of a finished job, if it is in memory. Only the most recent ones are.
    std::optional<FinishedJobRecord> ended(const std::string& job_id) const;
    // Keeps the record of a finished job in memory.
    void cache_finished_job(const std::string& job_id, const FinishedJobRecord& record);

    // Counts the tasks of a job in its placement records. A record that can't be decoded counts as
    // one without tasks.
    PlacementCounts counts(const std::string& job_id) const;

    std::optional<LeaderRecord> leader;
    std::uint64_t leader_version = 0;  // the leader's fencing token; 0 if there is no leader
    // The machine registry by part.
    std::map<std::uint32_t, StoredValue> registry_parts;
    // The feature level that a controller has announced.
    struct Announcement {
        std::uint32_t level = 0;
        std::uint64_t version = 0;
    };
    std::map<std::string, Announcement> announced_levels;  // by controller
    // Shows that a controller responds to the workers of its zone on behalf of the leader.
    struct Relay {
        std::optional<RelayRecord> record;  // empty if undecodable: may then be for any zone
        std::uint64_t version = 0;
    };
    std::map<std::string, Relay> relays;  // by controller
    // The records that leaders store about failed zones, by zone.
    std::map<std::string, StoredValue> zone_records;
    // Returns whether a controller responds to the workers of the zone on behalf of the leader.
    bool relayed(const std::string& zone) const;
    // A counter that increases whenever a relay record for the zone is created or deleted, or may
    // have been: a snapshot does not show a record that was created and deleted before it.
    std::uint64_t relay_changes(const std::string& zone) const;
    std::optional<Json> machine_types;
    std::uint64_t machine_types_version = 0;

  private:
    bool apply_leader(const StoreEntry& row);
    bool apply_machine_types(const StoreEntry& row);
    bool apply_job(const StoreEntry& row);
    bool apply_finished_job(const StoreEntry& row);
    bool apply_relay(const StoreEntry& row);
    bool apply_announcement(const StoreEntry& row);
    bool apply_placement_record(const StoreEntry& row, const std::string& job_id,
                                std::uint32_t index);
    void count_relay_change(const Relay& relay);
    bool superseded_by_deletion(const StoreEntry& row) const;
    void remember_deletion(const StoreEntry& row);
    std::vector<std::string> keys_missing_in_snapshot(std::uint64_t revision) const;
    void erase_missing(const std::string& key);

    Names& names_;
    std::uint64_t revision_ = 0;
    std::map<std::string, StoredJob> jobs_;
    std::set<std::string> unreadable_jobs_;
    std::map<std::string, std::map<std::uint32_t, StoredValue>> placement_records_;
    // Only the records of the most recently finished jobs stay in memory. The others are read from
    // the store on request.
    static constexpr std::size_t kMaxFinishedJobs = 8000;
    std::unordered_map<std::string, FinishedJobRecord> finished_jobs_;
    std::list<std::string> finished_job_order_;
    static constexpr std::size_t kMaxDeletions = 4096;
    std::unordered_map<std::string, std::uint64_t> deletions_;  // key -> version of its deletion
    std::list<std::string> deletion_order_;
    std::map<std::string, std::uint64_t> relay_changes_;  // by zone
    std::uint64_t relay_changes_in_any_zone_ = 0;
    bool loading_snapshot_ = false;
    std::set<std::string> snapshot_keys_;
};

}  // namespace walkford
