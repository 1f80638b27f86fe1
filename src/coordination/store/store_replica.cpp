#include "coordination/store/store_replica.hpp"

#include <algorithm>

namespace walkford {

namespace {
bool starts_with(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}

// Sets or erases the value that a row describes. Returns false if the row is not newer than the
// value.
template <typename Key>
bool apply_value(std::map<Key, StoredValue>& values, const Key& key, const StoreEntry& row) {
    auto known = values.find(key);
    if (known != values.end() && row.version <= known->second.version) {
        return false;
    }
    if (row.value) {
        values[key] = {*row.value, row.version};
    } else if (known != values.end()) {
        values.erase(known);
    }
    return true;
}
}  // namespace

// Changes arrive by two paths, the watch and the snapshot. An older change must not undo a newer
// deletion.
bool StoreReplica::superseded_by_deletion(const StoreEntry& row) const {
    auto deletion = deletions_.find(row.key);
    return deletion != deletions_.end() && deletion->second >= row.version;
}

void StoreReplica::remember_deletion(const StoreEntry& row) {
    if (deletions_.emplace(row.key, row.version).second) {
        deletion_order_.push_back(row.key);
    } else {
        deletions_[row.key] = row.version;
    }
    while (deletion_order_.size() > kMaxDeletions) {
        deletions_.erase(deletion_order_.front());
        deletion_order_.pop_front();
    }
}

bool StoreReplica::apply(const StoreEntry& row) {
    const std::string& key = row.key;
    if (loading_snapshot_ && row.value) {
        snapshot_keys_.insert(key);
    }
    if (superseded_by_deletion(row)) {
        return false;
    }
    if (!row.value) {
        remember_deletion(row);
    }
    if (key == keys::kLeader) {
        return apply_leader(row);
    }
    if (key == keys::kMachineTypes) {
        return apply_machine_types(row);
    }
    if (starts_with(key, keys::kJobs)) {
        return apply_job(row);
    }
    if (starts_with(key, keys::kFinishedJobs)) {
        return apply_finished_job(row);
    }
    if (starts_with(key, keys::kRelays)) {
        return apply_relay(row);
    }
    if (starts_with(key, keys::kAnnouncements)) {
        return apply_announcement(row);
    }
    if (starts_with(key, keys::kZoneRecords)) {
        return apply_value(zone_records, key.substr(keys::kZoneRecords.size()), row);
    }
    if (auto part = keys::parse_registry_part(key)) {
        return apply_value(registry_parts, *part, row);
    }
    if (auto parsed = keys::parse_placement_record(key)) {
        return apply_placement_record(row, parsed->job, parsed->index);
    }
    return false;
}

bool StoreReplica::apply_leader(const StoreEntry& row) {
    if (row.version <= leader_version) {
        return false;
    }
    leader = row.value ? decode_leader(*row.value) : std::nullopt;
    leader_version = leader ? row.version : 0;
    return true;
}

bool StoreReplica::apply_machine_types(const StoreEntry& row) {
    if (row.version <= machine_types_version) {
        return false;
    }
    machine_types = row.value;
    machine_types_version = row.value ? row.version : 0;
    return true;
}

bool StoreReplica::apply_job(const StoreEntry& row) {
    std::string job_id = row.key.substr(keys::kJobs.size());
    auto known = jobs_.find(job_id);
    if (known != jobs_.end() && row.version <= known->second.version) {
        return false;
    }
    unreadable_jobs_.erase(job_id);
    if (!row.value) {
        if (known != jobs_.end()) {
            jobs_.erase(known);
        }
        return true;
    }
    auto record = decode_job(job_id, *row.value, names_);
    if (!record) {
        unreadable_jobs_.insert(job_id);
        return false;
    }
    if (known == jobs_.end()) {
        jobs_.emplace(job_id, StoredJob{std::move(*record), row.version, row.version});
    } else {
        known->second.record = std::move(*record);
        known->second.version = row.version;
    }
    return true;
}

bool StoreReplica::apply_finished_job(const StoreEntry& row) {
    if (!row.value) {
        return false;
    }
    auto record = decode_finished_job(*row.value, row.key);
    if (!record) {
        return false;
    }
    cache_finished_job(row.key.substr(keys::kFinishedJobs.size()), *record);
    return true;
}

bool StoreReplica::apply_relay(const StoreEntry& row) {
    std::string controller = row.key.substr(keys::kRelays.size());
    auto known = relays.find(controller);
    if (known != relays.end()) {
        if (row.version <= known->second.version) {
            return false;
        }
        count_relay_change(known->second);
        relays.erase(known);
    }
    if (row.value) {
        Relay relay{decode_relay(*row.value, controller), row.version};
        count_relay_change(relay);
        relays[controller] = std::move(relay);
    }
    return true;
}

void StoreReplica::count_relay_change(const Relay& relay) {
    if (relay.record) {
        ++relay_changes_[relay.record->zone];
    } else {
        ++relay_changes_in_any_zone_;
    }
}

bool StoreReplica::relayed(const std::string& zone) const {
    return std::any_of(relays.begin(), relays.end(), [&](const auto& entry) {
        const auto& record = entry.second.record;
        return !record || record->zone == zone;
    });
}

std::uint64_t StoreReplica::relay_changes(const std::string& zone) const {
    auto changes = relay_changes_.find(zone);
    return relay_changes_in_any_zone_ + (changes == relay_changes_.end() ? 0 : changes->second);
}

bool StoreReplica::apply_announcement(const StoreEntry& row) {
    std::string controller = row.key.substr(keys::kAnnouncements.size());
    Announcement& known = announced_levels[controller];
    auto level = row.value ? decode_announcement(*row.value, controller) : std::nullopt;
    if (row.version <= known.version || !level) {
        return false;
    }
    known = {std::max(known.level, *level), row.version};
    return true;
}

bool StoreReplica::apply_placement_record(const StoreEntry& row, const std::string& job_id,
                                          std::uint32_t index) {
    auto& records = placement_records_[job_id];
    bool changed = apply_value(records, index, row);
    if (changed && records.empty()) {
        placement_records_.erase(job_id);
    }
    return changed;
}

void StoreReplica::begin_snapshot() {
    loading_snapshot_ = true;
    snapshot_keys_.clear();
    unreadable_jobs_.clear();
    // A snapshot does not show records that were created and deleted since the last change seen.
    ++relay_changes_in_any_zone_;
}

void StoreReplica::end_snapshot(std::uint64_t revision) {
    loading_snapshot_ = false;
    std::vector<std::string> missing = keys_missing_in_snapshot(revision);
    snapshot_keys_.clear();
    for (const std::string& key : missing) {
        erase_missing(key);
    }
    advance(revision);
}

// Entries newer than the snapshot arrived by the watch and need not be part of the snapshot.
std::vector<std::string> StoreReplica::keys_missing_in_snapshot(std::uint64_t revision) const {
    std::vector<std::string> missing;
    auto collect = [&](const auto& entries, const auto& key_of) {
        for (const auto& [id, entry] : entries) {
            if (entry.version > revision) {
                continue;
            }
            std::string key = key_of(id);
            if (!snapshot_keys_.count(key)) {
                missing.push_back(std::move(key));
            }
        }
    };
    collect(jobs_, keys::job);
    for (const auto& [job_id, records] : placement_records_) {
        const std::string& id = job_id;
        collect(records, [&](std::uint32_t index) { return keys::placement_record(id, index); });
    }
    collect(registry_parts, keys::registry_part);
    collect(relays, keys::relay);
    collect(zone_records, keys::zone_record);
    if (leader_version && leader_version <= revision && !snapshot_keys_.count(keys::kLeader)) {
        missing.push_back(keys::kLeader);
    }
    return missing;
}

void StoreReplica::erase_missing(const std::string& key) {
    if (key == keys::kLeader) {
        leader.reset();
        leader_version = 0;
    } else if (starts_with(key, keys::kJobs)) {
        jobs_.erase(key.substr(keys::kJobs.size()));
    } else if (starts_with(key, keys::kRelays)) {
        relays.erase(key.substr(keys::kRelays.size()));
        ++relay_changes_in_any_zone_;
    } else if (starts_with(key, keys::kZoneRecords)) {
        zone_records.erase(key.substr(keys::kZoneRecords.size()));
    } else if (auto part = keys::parse_registry_part(key)) {
        registry_parts.erase(*part);
    } else if (auto parsed = keys::parse_placement_record(key)) {
        auto records = placement_records_.find(parsed->job);
        if (records == placement_records_.end()) {
            return;
        }
        records->second.erase(parsed->index);
        if (records->second.empty()) {
            placement_records_.erase(records);
        }
    }
}

const StoredJob* StoreReplica::job(const std::string& job_id) const {
    auto entry = jobs_.find(job_id);
    return entry == jobs_.end() ? nullptr : &entry->second;
}

const std::map<std::uint32_t, StoredValue>* StoreReplica::placement_records(
    const std::string& job_id) const {
    auto entry = placement_records_.find(job_id);
    return entry == placement_records_.end() ? nullptr : &entry->second;
}

std::optional<FinishedJobRecord> StoreReplica::ended(const std::string& job_id) const {
    auto entry = finished_jobs_.find(job_id);
    if (entry == finished_jobs_.end()) {
        return std::nullopt;
    }
    return entry->second;
}

void StoreReplica::cache_finished_job(const std::string& job_id, const FinishedJobRecord& record) {
    if (!finished_jobs_.emplace(job_id, record).second) {
        return;  // the record of a finished job never changes
    }
    finished_job_order_.push_back(job_id);
    if (finished_job_order_.size() > kMaxFinishedJobs) {
        finished_jobs_.erase(finished_job_order_.front());
        finished_job_order_.pop_front();
    }
}

PlacementCounts StoreReplica::counts(const std::string& job_id) const {
    PlacementCounts counts;
    const auto* records = placement_records(job_id);
    if (!records) {
        return counts;
    }
    for (const auto& [index, record] : *records) {
        PlacementCounts of_record = count_tasks(record.value);
        counts.done += of_record.done;
        counts.running += of_record.running;
    }
    return counts;
}

}  // namespace walkford
