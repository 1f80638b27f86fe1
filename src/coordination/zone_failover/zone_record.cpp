#include "coordination/zone_failover/zone_record.hpp"

#include <array>
#include <cmath>

#include "bookkeeping/record_field.hpp"
#include "bookkeeping/unreadable_log.hpp"

namespace walkford {

namespace {
// Fields of a stored zone record.
constexpr const char* kState = "s";
constexpr const char* kTimeInState = "e";
constexpr const char* kPenalty = "p";
constexpr const char* kSuppressing = "d";
constexpr const char* kFailedRamps = "f";

// Indexed by the value of ZoneState.
constexpr std::array<std::string_view, 4> kStateNames{"up", "suspect", "lost", "returning"};

std::optional<ZoneState> parse_state(std::string_view name) {
    for (std::size_t state = 0; state < kStateNames.size(); ++state) {
        if (kStateNames[state] == name) {
            return static_cast<ZoneState>(state);
        }
    }
    return std::nullopt;
}
}  // namespace

std::string_view name_of(ZoneState state) {
    return kStateNames.at(static_cast<std::size_t>(state));
}

nlohmann::json encode_zone(const ZoneRecord& record) {
    return {{kState, name_of(record.state)},
            {kTimeInState, record.time_in_state},
            {kPenalty, record.penalty},
            {kSuppressing, record.suppressing},
            {kFailedRamps, record.failed_ramps}};
}

std::optional<ZoneRecord> decode_zone(const nlohmann::json& value, const std::string& zone) {
    try {
        auto state = parse_state(record_field<std::string>(value, kState));
        ZoneRecord record;
        record.time_in_state = record_field<Ms>(value, kTimeInState);
        record.penalty = record_field<double>(value, kPenalty);
        record.suppressing = record_field<bool>(value, kSuppressing);
        record.failed_ramps = record_field<std::uint32_t>(value, kFailedRamps);
        if (!state) {
            throw RecordError::invalid(kState);
        }
        if (record.time_in_state < 0) {
            throw RecordError::invalid(kTimeInState);
        }
        if (!std::isfinite(record.penalty) || record.penalty < 0) {
            throw RecordError::invalid(kPenalty);
        }
        record.state = *state;
        return record;
    } catch (const RecordError& error) {
        log_unreadable("zone records in the store", zone, error.what());
        return std::nullopt;
    }
}

}  // namespace walkford
