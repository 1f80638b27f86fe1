#include "coordination/store/store_replica.hpp"

#include <algorithm>

namespace walkford {

namespace {
bool starts(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}
}  // namespace

// Changes reach a node by two ways (a watch and a reading); an old one must not undo a newer drop.
bool StoreReplica::newer(const std::string& key, std::uint64_t version) {
    auto it = dropped_.find(key);
    return it == dropped_.end() || it->second < version;
}

bool StoreReplica::apply(const StoreEntry& row) {
    const std::string& key = row.key;
    if (reading_ && row.value) {
        seen_.insert(key);
    }
    if (!newer(key, row.version)) {
        return false;
    }
    if (!row.value) {
        if (dropped_.emplace(key, row.version).second) {
            dropped_order_.push_back(key);
        } else {
            dropped_[key] = row.version;
        }
        while (dropped_order_.size() > 4096) {
            dropped_.erase(dropped_order_.front());
            dropped_order_.pop_front();
        }
    }
    auto singleton = [&](std::optional<Json>& slot, std::uint64_t& version) {
        if (row.version <= version) {
            return false;
        }
        slot = row.value;
        version = row.value ? row.version : 0;
        return true;
    };
    if (key == keys::kLeader) {
        if (row.version <= leader_version) {
            return false;
        }
        leader = row.value ? decode_leader(*row.value) : std::nullopt;
        leader_version = leader ? row.version : 0;
        return true;
    }
    if (key == keys::kMachineTypes) {
        return singleton(machine_types, machine_types_version);
    }
    if (starts(key, keys::kJobs)) {
        return apply_job(row);
    }
    if (starts(key, keys::kEnded)) {
        return apply_ended(row);
    }
    if (starts(key, keys::kRelays)) {
        return apply_relay(row);
    }
    if (starts(key, keys::kAnnouncements)) {
        return apply_announcement(row);
    }
    if (starts(key, keys::kZoneRecords)) {
        return apply_zone_record(row);
    }
    if (auto part = keys::parse_registry_part(key)) {
        return apply_registry_part(row, *part);
    }
    if (auto parsed = keys::parse_placement_record(key)) {
        return apply_placement_record(row, parsed->first, parsed->second);
    }
    return false;
}

bool StoreReplica::apply_job(const StoreEntry& row) {
    std::string id = row.key.substr(keys::kJobs.size());
    auto it = jobs_.find(id);
    if (it != jobs_.end() && row.version <= it->second.version) {
        return false;
    }
    if (!row.value) {
        if (it != jobs_.end()) {
            jobs_.erase(it);
        }
        return true;
    }
    auto record = decode_job(id, *row.value, names_);
    if (!record) {
        return false;
    }
    if (it == jobs_.end()) {
        jobs_.emplace(id, StoredJob{std::move(*record), row.version, row.version});
    } else {
        it->second.record = std::move(*record);
        it->second.version = row.version;
    }
    return true;
}

bool StoreReplica::apply_ended(const StoreEntry& row) {
    if (!row.value) {
        return false;
    }
    auto record = decode_ended(*row.value);
    if (!record) {
        return false;
    }
    remember_ended(row.key.substr(keys::kEnded.size()), *record);
    return true;
}

bool StoreReplica::apply_registry_part(const StoreEntry& row, std::uint32_t part) {
    auto it = registry_parts.find(part);
    if (it != registry_parts.end() && row.version <= it->second.version) {
        return false;
    }
    if (row.value) {
        registry_parts[part] = {*row.value, row.version};
    } else if (it != registry_parts.end()) {
        registry_parts.erase(it);
    }
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
        Relay relay{decode_relay(*row.value), row.version};
        count_relay_change(relay);
        relays[controller] = std::move(relay);
    }
    return true;
}

bool StoreReplica::apply_zone_record(const StoreEntry& row) {
    std::string zone = row.key.substr(keys::kZoneRecords.size());
    auto known = zone_records.find(zone);
    if (known != zone_records.end() && row.version <= known->second.version) {
        return false;
    }
    if (row.value) {
        zone_records[zone] = {*row.value, row.version};
    } else if (known != zone_records.end()) {
        zone_records.erase(known);
    }
    return true;
}

void StoreReplica::count_relay_change(const Relay& relay) {
    if (relay.record) {
        ++relay_changes_[relay.record->zone];
    } else {
        ++relay_changes_anywhere_;
    }
}

bool StoreReplica::relayed(const std::string& zone) const {
    return std::any_of(relays.begin(), relays.end(), [&](const auto& entry) {
        const auto& record = entry.second.record;
        return !record || record->zone == zone;
    });
}

std::uint64_t StoreReplica::relay_changes(const std::string& zone) const {
    auto it = relay_changes_.find(zone);
    return relay_changes_anywhere_ + (it == relay_changes_.end() ? 0 : it->second);
}

bool StoreReplica::apply_announcement(const StoreEntry& row) {
    Announcement& known = announced_levels[row.key.substr(keys::kAnnouncements.size())];
    auto level = row.value ? decode_announcement(*row.value) : std::nullopt;
    if (row.version <= known.version || !level) {
        return false;
    }
    known = {std::max(known.level, *level), row.version};
    return true;
}

bool StoreReplica::apply_placement_record(const StoreEntry& row, const std::string& id,
                                          std::uint32_t index) {
    auto& list = placement_records_[id];
    auto it = list.find(index);
    if (it != list.end() && row.version <= it->second.version) {
        return false;
    }
    if (row.value) {
        list[index] = StoredValue{*row.value, row.version};
    } else {
        list.erase(index);
    }
    if (list.empty()) {
        placement_records_.erase(id);
    }
    return true;
}

void StoreReplica::begin_reading() {
    reading_ = true;
    seen_.clear();
    ++relay_changes_anywhere_;  // a reading leaves no trace of records that have come and gone
}

void StoreReplica::end_reading(std::uint64_t revision) {
    reading_ = false;
    std::vector<std::string> gone;
    for (const auto& [id, job] : jobs_) {
        if (job.version <= revision && !seen_.count(keys::job(id))) {
            gone.push_back(keys::job(id));
        }
    }
    for (const auto& [id, list] : placement_records_) {
        for (const auto& [index, record] : list) {
            std::string key = keys::placement_record(id, index);
            if (record.version <= revision && !seen_.count(key)) {
                gone.push_back(key);
            }
        }
    }
    for (const auto& [part, held] : registry_parts) {
        std::string key = keys::registry_part(part);
        if (held.version <= revision && !seen_.count(key)) {
            gone.push_back(key);
        }
    }
    for (const auto& [controller, relay] : relays) {
        std::string key = keys::relay(controller);
        if (relay.version <= revision && !seen_.count(key)) {
            gone.push_back(key);
        }
    }
    for (const auto& [zone, record] : zone_records) {
        std::string key = keys::zone_record(zone);
        if (record.version <= revision && !seen_.count(key)) {
            gone.push_back(key);
        }
    }
    if (leader_version && leader_version <= revision && !seen_.count(keys::kLeader)) {
        gone.push_back(keys::kLeader);
    }
    seen_.clear();
    for (const std::string& key : gone) {
        drop_unread(key);
    }
    advance(revision);
}

// A key that a full reading did not find any more.
void StoreReplica::drop_unread(const std::string& key) {
    if (key == keys::kLeader) {
        leader.reset();
        leader_version = 0;
    } else if (starts(key, keys::kJobs)) {
        jobs_.erase(key.substr(keys::kJobs.size()));
    } else if (starts(key, keys::kRelays)) {
        relays.erase(key.substr(keys::kRelays.size()));
        ++relay_changes_anywhere_;
    } else if (starts(key, keys::kZoneRecords)) {
        zone_records.erase(key.substr(keys::kZoneRecords.size()));
    } else if (auto part = keys::parse_registry_part(key)) {
        registry_parts.erase(*part);
    } else if (auto parsed = keys::parse_placement_record(key)) {
        auto it = placement_records_.find(parsed->first);
        if (it == placement_records_.end()) {
            return;
        }
        it->second.erase(parsed->second);
        if (it->second.empty()) {
            placement_records_.erase(it);
        }
    }
}

const StoredJob* StoreReplica::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

const std::map<std::uint32_t, StoredValue>* StoreReplica::placement_records(
    const std::string& id) const {
    auto it = placement_records_.find(id);
    return it == placement_records_.end() ? nullptr : &it->second;
}

std::optional<EndedRecord> StoreReplica::ended(const std::string& id) const {
    auto it = ended_.find(id);
    if (it == ended_.end()) {
        return std::nullopt;
    }
    return it->second;
}

void StoreReplica::remember_ended(const std::string& id, const EndedRecord& record) {
    if (!ended_.emplace(id, record).second) {
        return;  // an ended job never changes again
    }
    ended_order_.push_back(id);
    if (ended_order_.size() > kEndedKept) {
        ended_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

StoreReplica::Counts StoreReplica::counts(const std::string& id) const {
    Counts counts;
    const auto* list = placement_records(id);
    if (!list) {
        return counts;
    }
    for (const auto& [index, record] : *list) {
        if (auto d = record.value.find("d"); d != record.value.end()) {
            for (std::size_t i = 0; i + 1 < d->size(); i += 2) {
                counts.done += (*d)[i + 1].get<std::uint32_t>() - (*d)[i].get<std::uint32_t>() + 1;
            }
        }
        if (auto m = record.value.find("m"); m != record.value.end()) {
            for (const Json& tasks : *m) {
                counts.running += static_cast<std::uint32_t>(tasks.size() / 2);
            }
        }
    }
    return counts;
}

}  // namespace walkford
