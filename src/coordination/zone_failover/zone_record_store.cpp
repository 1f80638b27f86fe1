#include "coordination/zone_failover/zone_record_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "coordination/zone_failover/log_format.hpp"

namespace walkford {

namespace {
constexpr Ms kRetryDelay = 500;
// Minimum interval between writes that only update the time in a state.
constexpr Ms kTimeInStateInterval = 10000;
// Minimum interval between writes that only update a decaying penalty.
constexpr Ms kPenaltyInterval = 60000;
// Penalties below this value are stored as 0 while the zone is up.
constexpr double kNegligiblePenalty = 0.05;
}  // namespace

ZoneRecordStore::ZoneRecordStore(LeaderContext& context, ZoneTable& zones,
                                 DurableHandler on_durable)
    : context_(context), zones_(zones), on_durable_(std::move(on_durable)), writes_(zones.size()) {}

void ZoneRecordStore::load(Ms now, Id zone_id) {
    ZoneStatus& zone = zones_[zone_id];
    WriteState& write = writes_[zone_id];
    const auto& stored_records = context_.controller.replica.zone_records;
    auto stored = stored_records.find(zone.name);
    if (stored == stored_records.end()) {
        return;
    }
    write.version = stored->second.version;
    auto record = decode_zone(stored->second.value, zone.name);
    if (!record) {
        spdlog::warn("zone {}: stored failover record cannot be decoded; treating the zone as up",
                     zone.name);
        write.unreadable = true;
        return;
    }
    zone.health.restore(now, *record);
    zone.durable = *record;
    zone.durable_since = now - record->time_in_state;
    zone.failing_since = zone.durable_since;
    write.written_at = now;
    if (record->state != ZoneState::up) {
        spdlog::info(
            "zone {}: restored state {} from the store, {:.0f} s in this state, flap penalty "
            "{:.2f}",
            zone.name, name_of(record->state), to_seconds(record->time_in_state), record->penalty);
    }
}

void ZoneRecordStore::write_if_due(Ms now, Id zone) {
    if (write_due(now, zone)) {
        write(now, zone);
    }
}

// The state suspect is stored as up: it restricts nothing, so it is not worth a write.
ZoneRecord ZoneRecordStore::record_to_store(Ms now, Id zone) {
    ZoneRecord record = zones_[zone].health.record(now);
    if (record.state == ZoneState::suspect) {
        record.state = ZoneState::up;
    }
    if (record.state == ZoneState::up && record.penalty < kNegligiblePenalty) {
        record.penalty = 0;
    }
    return record;
}

bool ZoneRecordStore::write_due(Ms now, Id zone) {
    const WriteState& write = writes_[zone];
    if (write.write_pending || now < write.retry_at || !context_.holds_lease) {
        return false;
    }
    const ZoneRecord current = record_to_store(now, zone);
    const ZoneRecord& durable = zones_[zone].durable;
    bool differs = current.state != durable.state || current.suppressing != durable.suppressing ||
                   current.failed_ramps != durable.failed_ramps;
    if (write.unreadable || differs) {
        return true;
    }
    if (current.state != ZoneState::up) {
        return now >= write.written_at + kTimeInStateInterval;
    }
    return durable.penalty > 0 && now >= write.written_at + kPenaltyInterval;
}

void ZoneRecordStore::write(Ms now, Id zone_id) {
    const ZoneStatus& zone = zones_[zone_id];
    WriteState& write = writes_[zone_id];
    const ZoneRecord record = record_to_store(now, zone_id);
    const auto& stored_records = context_.controller.replica.zone_records;
    if (auto stored = stored_records.find(zone.name); stored != stored_records.end()) {
        write.version = std::max(write.version, stored->second.version);
    }
    Transaction transaction;
    std::string key = keys::zone_record(zone.name);
    transaction.comparisons = {{keys::kLeader, context_.fencing_token}, {key, write.version}};
    transaction.writes = {{key, encode_zone(record), 0}};
    write.write_pending = true;
    auto handler = [this, zone_id, record](Ms at, const StoreResponse& response) {
        on_write_response(at, zone_id, record, response);
    };
    context_.controller.store.transaction(RequestPriority::leadership, std::move(transaction),
                                          context_.while_leading(std::move(handler)));
}

void ZoneRecordStore::on_write_response(Ms now, Id zone, const ZoneRecord& record,
                                        const StoreResponse& response) {
    WriteState& write = writes_[zone];
    write.write_pending = false;
    if (response.status == StoreStatus::ok) {
        write.version = response.revision;
        write.unreadable = false;
        write.written_at = now;
        on_durable_(now, zone, record);
        return;
    }
    write.retry_at = now + kRetryDelay;
    // The store may have executed an earlier attempt of this write. Refreshing the view shows the
    // version that it left.
    if (response.status == StoreStatus::conflict && !context_.depose_if_superseded(now, response)) {
        context_.refresh_replica(now);
    }
}

}  // namespace walkford
