#include "bookkeeping/view.hpp"

#include <algorithm>

namespace walkford {

namespace {
bool starts(const std::string& key, const std::string& prefix) {
    return key.compare(0, prefix.size(), prefix) == 0;
}
}  // namespace

// Changes reach a node by two ways (a watch and a reading); an old one must not undo a newer drop.
bool View::newer(const std::string& key, std::uint64_t stamp) {
    auto it = dropped_.find(key);
    return it == dropped_.end() || it->second < stamp;
}

bool View::apply(const StateRow& row) {
    const std::string& key = row.key;
    if (reading_ && row.value) {
        seen_.insert(key);
    }
    if (!newer(key, row.stamp)) {
        return false;
    }
    if (!row.value) {
        if (dropped_.emplace(key, row.stamp).second) {
            dropped_order_.push_back(key);
        } else {
            dropped_[key] = row.stamp;
        }
        while (dropped_order_.size() > 4096) {
            dropped_.erase(dropped_order_.front());
            dropped_order_.pop_front();
        }
    }
    auto singleton = [&](std::optional<Json>& slot, std::uint64_t& stamp) {
        if (row.stamp <= stamp) {
            return false;
        }
        slot = row.value;
        stamp = row.value ? row.stamp : 0;
        return true;
    };
    if (key == keys::kLeader) {
        if (row.stamp <= leader_stamp) {
            return false;
        }
        leader = row.value ? decode_leader(*row.value) : std::nullopt;
        leader_stamp = leader ? row.stamp : 0;
        return true;
    }
    if (key == keys::kKinds) {
        return singleton(kinds, kinds_stamp);
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
    if (auto parsed = keys::parse_chunk(key)) {
        return apply_chunk(row, parsed->first, parsed->second);
    }
    return false;
}

bool View::apply_job(const StateRow& row) {
    std::string id = row.key.substr(keys::kJobs.size());
    auto it = jobs_.find(id);
    if (it != jobs_.end() && row.stamp <= it->second.stamp) {
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
        jobs_.emplace(id, JobView{std::move(*record), row.stamp, row.stamp});
    } else {
        it->second.record = std::move(*record);
        it->second.stamp = row.stamp;
    }
    return true;
}

bool View::apply_ended(const StateRow& row) {
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

bool View::apply_registry_part(const StateRow& row, std::uint32_t part) {
    auto it = registry_parts.find(part);
    if (it != registry_parts.end() && row.stamp <= it->second.stamp) {
        return false;
    }
    if (row.value) {
        registry_parts[part] = {*row.value, row.stamp};
    } else if (it != registry_parts.end()) {
        registry_parts.erase(it);
    }
    return true;
}

bool View::apply_relay(const StateRow& row) {
    std::string node = row.key.substr(keys::kRelays.size());
    auto known = relays.find(node);
    if (known != relays.end()) {
        if (row.stamp <= known->second.stamp) {
            return false;
        }
        count_relay_change(known->second);
        relays.erase(known);
    }
    if (row.value) {
        Relay relay{decode_relay(*row.value), row.stamp};
        count_relay_change(relay);
        relays[node] = std::move(relay);
    }
    return true;
}

bool View::apply_zone_record(const StateRow& row) {
    std::string zone = row.key.substr(keys::kZoneRecords.size());
    auto known = zone_records.find(zone);
    if (known != zone_records.end() && row.stamp <= known->second.stamp) {
        return false;
    }
    if (row.value) {
        zone_records[zone] = {*row.value, row.stamp};
    } else if (known != zone_records.end()) {
        zone_records.erase(known);
    }
    return true;
}

void View::count_relay_change(const Relay& relay) {
    if (relay.record) {
        ++relay_changes_[relay.record->zone];
    } else {
        ++relay_changes_anywhere_;
    }
}

bool View::relayed(const std::string& zone) const {
    return std::any_of(relays.begin(), relays.end(), [&](const auto& entry) {
        const auto& record = entry.second.record;
        return !record || record->zone == zone;
    });
}

std::uint64_t View::relay_changes(const std::string& zone) const {
    auto it = relay_changes_.find(zone);
    return relay_changes_anywhere_ + (it == relay_changes_.end() ? 0 : it->second);
}

bool View::apply_announcement(const StateRow& row) {
    Announcement& known = announced_levels[row.key.substr(keys::kAnnouncements.size())];
    auto level = row.value ? decode_announcement(*row.value) : std::nullopt;
    if (row.stamp <= known.stamp || !level) {
        return false;
    }
    known = {std::max(known.level, *level), row.stamp};
    return true;
}

bool View::apply_chunk(const StateRow& row, const std::string& id, std::uint32_t index) {
    auto& list = chunks_[id];
    auto it = list.find(index);
    if (it != list.end() && row.stamp <= it->second.stamp) {
        return false;
    }
    if (row.value) {
        list[index] = StoredValue{*row.value, row.stamp};
    } else {
        list.erase(index);
    }
    if (list.empty()) {
        chunks_.erase(id);
    }
    return true;
}

void View::begin_reading() {
    reading_ = true;
    seen_.clear();
    ++relay_changes_anywhere_;  // a reading leaves no trace of records that have come and gone
}

void View::end_reading(std::uint64_t revision) {
    reading_ = false;
    std::vector<std::string> gone;
    for (const auto& [id, job] : jobs_) {
        if (job.stamp <= revision && !seen_.count(keys::job(id))) {
            gone.push_back(keys::job(id));
        }
    }
    for (const auto& [id, list] : chunks_) {
        for (const auto& [index, chunk] : list) {
            std::string key = keys::chunk(id, index);
            if (chunk.stamp <= revision && !seen_.count(key)) {
                gone.push_back(key);
            }
        }
    }
    for (const auto& [part, held] : registry_parts) {
        std::string key = keys::registry_part(part);
        if (held.stamp <= revision && !seen_.count(key)) {
            gone.push_back(key);
        }
    }
    for (const auto& [node, relay] : relays) {
        std::string key = keys::relay(node);
        if (relay.stamp <= revision && !seen_.count(key)) {
            gone.push_back(key);
        }
    }
    for (const auto& [zone, record] : zone_records) {
        std::string key = keys::zone_record(zone);
        if (record.stamp <= revision && !seen_.count(key)) {
            gone.push_back(key);
        }
    }
    if (leader_stamp && leader_stamp <= revision && !seen_.count(keys::kLeader)) {
        gone.push_back(keys::kLeader);
    }
    seen_.clear();
    for (const std::string& key : gone) {
        drop_unread(key);
    }
    advance(revision);
}

// A key that a full reading did not find any more.
void View::drop_unread(const std::string& key) {
    if (key == keys::kLeader) {
        leader.reset();
        leader_stamp = 0;
    } else if (starts(key, keys::kJobs)) {
        jobs_.erase(key.substr(keys::kJobs.size()));
    } else if (starts(key, keys::kRelays)) {
        relays.erase(key.substr(keys::kRelays.size()));
        ++relay_changes_anywhere_;
    } else if (starts(key, keys::kZoneRecords)) {
        zone_records.erase(key.substr(keys::kZoneRecords.size()));
    } else if (auto part = keys::parse_registry_part(key)) {
        registry_parts.erase(*part);
    } else if (auto parsed = keys::parse_chunk(key)) {
        auto it = chunks_.find(parsed->first);
        if (it == chunks_.end()) {
            return;
        }
        it->second.erase(parsed->second);
        if (it->second.empty()) {
            chunks_.erase(it);
        }
    }
}

const JobView* View::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

const std::map<std::uint32_t, StoredValue>* View::chunks(const std::string& id) const {
    auto it = chunks_.find(id);
    return it == chunks_.end() ? nullptr : &it->second;
}

std::optional<EndedRecord> View::ended(const std::string& id) const {
    auto it = ended_.find(id);
    if (it == ended_.end()) {
        return std::nullopt;
    }
    return it->second;
}

void View::remember_ended(const std::string& id, const EndedRecord& record) {
    if (!ended_.emplace(id, record).second) {
        return;  // an ended job never changes again
    }
    ended_order_.push_back(id);
    if (ended_order_.size() > kEndedKept) {
        ended_.erase(ended_order_.front());
        ended_order_.pop_front();
    }
}

View::Counts View::counts(const std::string& id) const {
    Counts counts;
    const auto* list = chunks(id);
    if (!list) {
        return counts;
    }
    for (const auto& [index, chunk] : *list) {
        if (auto d = chunk.value.find("d"); d != chunk.value.end()) {
            for (std::size_t i = 0; i + 1 < d->size(); i += 2) {
                counts.done += (*d)[i + 1].get<std::uint32_t>() - (*d)[i].get<std::uint32_t>() + 1;
            }
        }
        if (auto m = chunk.value.find("m"); m != chunk.value.end()) {
            for (const Json& tasks : *m) {
                counts.running += static_cast<std::uint32_t>(tasks.size() / 2);
            }
        }
    }
    return counts;
}

}  // namespace walkford
