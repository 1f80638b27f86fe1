// The durable form of a zone's failover state. Only spans are stored: a steady clock means nothing
// to another process.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "bookkeeping/types.hpp"

namespace walkford {

// The health of a zone, as docs/zone-failover.md has it.
enum class ZoneState : std::uint8_t {
    up,
    suspect,    // many machines are silent: nothing is restricted yet
    lost,       // confirmed: its work is displaced
    returning,  // healthy again: used by a slow start
};
// The state as it is stored and logged.
std::string_view name_of(ZoneState state);

// What another leader needs to continue.
struct ZoneRecord {
    ZoneState state = ZoneState::up;
    Ms in_state = 0;                 // how long it has been in that state, when written
    double penalty = 0;              // at the moment of writing
    bool suppressing = false;        // the penalty holds the zone down
    std::uint32_t failed_ramps = 0;  // cut short by a flap, since the last complete one
    bool operator==(const ZoneRecord&) const = default;
};

// The stored value of a record.
nlohmann::json encode_zone(const ZoneRecord& record);
// The record of a stored value; nothing if it can't be read.
std::optional<ZoneRecord> decode_zone(const nlohmann::json& value);

}  // namespace walkford
