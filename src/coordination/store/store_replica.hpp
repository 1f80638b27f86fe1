// A node's copy of what stands in the state service, kept up by changes. Every node has one; a
// leader builds its cluster from it.
#pragma once

#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "bookkeeping/stored_values.hpp"

namespace walkford {

class StoreReplica {
  public:
    explicit StoreReplica(Names& names) : names_(names) {}

    // Applies one change; older news than what is held changes nothing. True if it was news.
    bool apply(const StoreEntry& row);
    void advance(std::uint64_t revision) { revision_ = std::max(revision_, revision); }
    std::uint64_t revision() const { return revision_; }
    // A full reading starts: what it does not mention is gone when it ends.
    void begin_reading();
    void end_reading(std::uint64_t revision);

    const StoredJob* job(const std::string& id) const;
    const std::map<std::string, StoredJob>& jobs() const { return jobs_; }
    const std::map<std::uint32_t, StoredValue>* placement_records(const std::string& id) const;
    const std::map<std::string, std::map<std::uint32_t, StoredValue>>& all_placement_records()
        const {
        return placement_records_;
    }
    std::optional<EndedRecord> ended(const std::string& id) const;
    void remember_ended(const std::string& id, const EndedRecord& record);

    struct Counts {
        std::uint32_t done = 0;
        std::uint32_t running = 0;
    };
    Counts counts(const std::string& id) const;

    std::optional<LeaderRecord> leader;
    std::uint64_t leader_version = 0;  // 0: nobody leads
    // The machine registry by part.
    std::map<std::uint32_t, StoredValue> registry_parts;
    struct Announcement {
        std::uint32_t level = 0;
        std::uint64_t version = 0;
    };
    std::map<std::string, Announcement> announced_levels;  // by controller
    struct Relay {
        std::optional<RelayRecord> record;  // nothing: can't be read, so it may be for any zone
        std::uint64_t version = 0;
    };
    std::map<std::string, Relay> relays;  // by controller
    // What leaders keep of zones that failed, by zone.
    std::map<std::string, StoredValue> zone_records;
    // Does a controller answer the workers of the zone in the leader's place?
    bool relayed(const std::string& zone) const;
    // Rises with each beginning and end of such a record; also of one that has come and gone.
    std::uint64_t relay_changes(const std::string& zone) const;
    std::optional<Json> machine_types;
    std::uint64_t machine_types_version = 0;

  private:
    bool apply_job(const StoreEntry& row);
    bool apply_ended(const StoreEntry& row);
    bool apply_registry_part(const StoreEntry& row, std::uint32_t part);
    bool apply_relay(const StoreEntry& row);
    bool apply_zone_record(const StoreEntry& row);
    void count_relay_change(const Relay& relay);
    bool apply_announcement(const StoreEntry& row);
    bool apply_placement_record(const StoreEntry& row, const std::string& id, std::uint32_t index);
    void drop_unread(const std::string& key);
    bool newer(const std::string& key, std::uint64_t version);

    Names& names_;
    std::uint64_t revision_ = 0;
    std::map<std::string, StoredJob> jobs_;
    std::map<std::string, std::map<std::uint32_t, StoredValue>> placement_records_;
    // Ended jobs need not stay in memory: the most recent ones do, the rest are read when asked.
    static constexpr std::size_t kEndedKept = 8000;
    std::unordered_map<std::string, EndedRecord> ended_;
    std::list<std::string> ended_order_;
    std::unordered_map<std::string, std::uint64_t> dropped_;  // key -> stamp of its drop
    std::list<std::string> dropped_order_;
    std::map<std::string, std::uint64_t> relay_changes_;  // by zone
    std::uint64_t relay_changes_anywhere_ = 0;
    bool reading_ = false;
    std::set<std::string> seen_;
};

}  // namespace walkford
