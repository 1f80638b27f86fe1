// The durable form of a zone's failover state. Only spans are stored: a steady clock means nothing
// to another process.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

#include "bookkeeping/types.hpp"

namespace walkford {

enum class ZoneState : std::uint8_t { up, suspect, lost, returning };
std::string_view name_of(ZoneState state);

struct ZoneRecord {
    ZoneState state = ZoneState::up;
    Ms in_state = 0;                 // how long it has been in that state
    double penalty = 0;              // at the moment of writing
    bool suppressing = false;        // the penalty holds the zone down
    std::uint32_t failed_ramps = 0;  // cut short by a flap, since the last complete one
    bool operator==(const ZoneRecord&) const = default;
};
nlohmann::json encode_zone(const ZoneRecord& record);
// Nothing where the value can't be read.
std::optional<ZoneRecord> decode_zone(const nlohmann::json& value);

}  // namespace walkford
