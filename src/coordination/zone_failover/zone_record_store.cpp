#include "coordination/zone_failover/zone_record_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "coordination/zone_failover/log_format.hpp"

namespace walkford {

namespace {
constexpr Ms kRetryDelay = 500;
constexpr Ms kTimeInStateInterval = 10000;  // how often the time in a state is written ...
constexpr Ms kPenaltyInterval = 60000;      // ... and a penalty that only decays
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
    auto record = decode_zone(stored->second.value);
    if (!record) {
        spdlog::warn("zone {}: its record can't be read, it is taken as up", zone.name);
        write.unreadable = true;
        return;
    }
    zone.health.restore(now, *record);
    zone.durable = *record;
    zone.durable_since = now - record->in_state;
    zone.failing_since = zone.durable_since;
    write.written_at = now;
    if (record->state != ZoneState::up) {
        spdlog::info("zone {}: {} for {:.0f} s already, penalty {:.2f}", zone.name,
                     name_of(record->state), to_seconds(record->in_state), record->penalty);
    }
}

void ZoneRecordStore::write_if_due(Ms now, Id zone) {
    if (write_due(now, zone)) {
        write(now, zone);
    }
}

// A suspicion is not acted on and not worth a write: it is stored as up.
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
    if (write.call_open || now < write.retry_at || !context_.holds_lease) {
        return false;
    }
    const ZoneRecord wanted = record_to_store(now, zone);
    const ZoneRecord& durable = zones_[zone].durable;
    bool differs = wanted.state != durable.state || wanted.suppressing != durable.suppressing ||
                   wanted.failed_ramps != durable.failed_ramps;
    if (write.unreadable || differs) {
        return true;
    }
    if (wanted.state != ZoneState::up) {
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
    write.call_open = true;
    auto handler = [this, zone_id, record](Ms at, const StoreResponse& response) {
        on_write_response(at, zone_id, record, response);
    };
    context_.controller.store.transaction(RequestPriority::leadership, std::move(transaction),
                                          context_.while_leading(std::move(handler)));
}

void ZoneRecordStore::on_write_response(Ms now, Id zone, const ZoneRecord& record,
                                        const StoreResponse& response) {
    WriteState& write = writes_[zone];
    write.call_open = false;
    if (response.status == StoreStatus::ok) {
        write.version = response.revision;
        write.unreadable = false;
        write.written_at = now;
        on_durable_(now, zone, record);
        return;
    }
    write.retry_at = now + kRetryDelay;
    // An earlier copy of our own write may have been executed: a new view shows its version.
    if (response.status == StoreStatus::conflict && !context_.depose_if_superseded(now, response)) {
        context_.refresh_replica(now);
    }
}

}  // namespace walkford
