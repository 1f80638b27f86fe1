// A controller's copy of what stands in the state service, kept current by its changes. Every
// controller has one; a leader builds its cluster state from it.
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

// Owned by the ControllerContext and updated by the StoreWatcher only. A row counts by its version:
// rows may arrive late, twice, and by two paths (watch and snapshot).
class StoreReplica {
  public:
    // `names`: interns what stored jobs name; must outlive the replica.
    explicit StoreReplica(Names& names) : names_(names) {}

    // Applies one change. True if it changed the replica; a row that is older than what is known,
    // or that can't be decoded, does not.
    bool apply(const StoreEntry& row);
    // Records that all changes up to `revision` have been applied.
    void advance(std::uint64_t revision) { revision_ = std::max(revision_, revision); }
    // All changes up to this revision of the store are included.
    std::uint64_t revision() const { return revision_; }
    // Begins to load a snapshot, a full read of the store: from here on apply() notes the keys that
    // are present in it.
    void begin_snapshot();
    // Ends it: keys that the snapshot, begun at `revision`, did not contain are deleted.
    void end_snapshot(std::uint64_t revision);

    // The live job with that id; null if there is none.
    const StoredJob* job(const std::string& job_id) const;
    // The live jobs by id.
    const std::map<std::string, StoredJob>& jobs() const { return jobs_; }
    // The placement records of a job by index; null if it has none.
    const std::map<std::uint32_t, StoredValue>* placement_records(const std::string& job_id) const;
    // The placement records of all jobs, by job id and index.
    const std::map<std::string, std::map<std::uint32_t, StoredValue>>& all_placement_records()
        const {
        return placement_records_;
    }
    // The record of a job that ended, as far as it is in memory: the most recent ones are.
    std::optional<FinishedJobRecord> ended(const std::string& job_id) const;
    // Remembers the record of an ended job that was read from the store.
    void remember_ended(const std::string& job_id, const FinishedJobRecord& record);

    // How many tasks of a job are done and running.
    struct Counts {
        std::uint32_t done = 0;
        std::uint32_t running = 0;
    };
    // Counts the tasks of a job by its placement records.
    Counts counts(const std::string& job_id) const;

    std::optional<LeaderRecord> leader;
    std::uint64_t leader_version = 0;  // the leader's fencing token; 0: nobody leads
    // The machine registry by part.
    std::map<std::uint32_t, StoredValue> registry_parts;
    // The feature level that a controller announced.
    struct Announcement {
        std::uint32_t level = 0;
        std::uint64_t version = 0;
    };
    std::map<std::string, Announcement> announced_levels;  // by controller
    // A record by which a controller answers the workers of its zone in the leader's place.
    struct Relay {
        std::optional<RelayRecord> record;  // nothing: can't be read, so it may be for any zone
        std::uint64_t version = 0;
    };
    std::map<std::string, Relay> relays;  // by controller
    // What leaders store about zones that failed, by zone.
    std::map<std::string, StoredValue> zone_records;
    // Does a controller answer the workers of the zone in the leader's place?
    bool relayed(const std::string& zone) const;
    // Rises with each creation and deletion of such a record, also of one that has come and gone.
    std::uint64_t relay_changes(const std::string& zone) const;
    std::optional<Json> machine_types;
    std::uint64_t machine_types_version = 0;

  private:
    bool apply_leader(const StoreEntry& row);
    bool apply_machine_types(const StoreEntry& row);
    bool apply_job(const StoreEntry& row);
    bool apply_ended(const StoreEntry& row);
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
    std::map<std::string, std::map<std::uint32_t, StoredValue>> placement_records_;
    // Ended jobs need not stay in memory: the most recent ones do, the rest are read when asked
    // for.
    static constexpr std::size_t kMaxEndedJobs = 8000;
    std::unordered_map<std::string, FinishedJobRecord> ended_;
    std::list<std::string> ended_order_;
    static constexpr std::size_t kMaxDeletions = 4096;
    std::unordered_map<std::string, std::uint64_t> deletions_;  // key -> version of its deletion
    std::list<std::string> deletion_order_;
    std::map<std::string, std::uint64_t> relay_changes_;  // by zone
    std::uint64_t relay_changes_anywhere_ = 0;
    bool loading_snapshot_ = false;
    std::set<std::string> snapshot_keys_;
};

}  // namespace walkford
