// The stored form of a zone's failover state. It holds durations instead of points in time, because
// the steady clock of one process has no meaning in another.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "bookkeeping/types.hpp"

namespace walkford {

// The health of a zone. docs/zone-failover.md describes the states and their transitions.
enum class ZoneState : std::uint8_t {
    up,
    suspect,    // many machines are silent; nothing is restricted yet
    lost,       // the failure is confirmed; the zone's work is displaced
    returning,  // healthy again; its use ramps up gradually
};
// Returns the name under which the state is stored and logged.
std::string_view name_of(ZoneState state);

// The state that another leader needs to continue zone failover.
struct ZoneRecord {
    ZoneState state = ZoneState::up;
    Ms time_in_state = 0;      // how long the zone had been in the state at the time of writing
    double penalty = 0;        // flap penalty at the time of writing
    bool suppressing = false;  // the penalty keeps the zone from returning
    std::uint32_t failed_ramps =
        0;  // ramps that another loss interrupted since the last complete one
    bool operator==(const ZoneRecord&) const = default;
};

// Encodes a record as it is stored.
nlohmann::json encode_zone(const ZoneRecord& record);
// Decodes a stored record. Returns nullopt if the value is malformed, and logs the field. `zone`:
// its name, for the log line.
std::optional<ZoneRecord> decode_zone(const nlohmann::json& value, const std::string& zone = "");

}  // namespace walkford
