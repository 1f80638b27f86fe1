#include "coordination/zone_failover/zone_record.hpp"

#include <array>
#include <cmath>

namespace walkford {

namespace {
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
    return {{"s", name_of(record.state)},
            {"e", record.time_in_state},
            {"p", record.penalty},
            {"d", record.suppressing},
            {"f", record.failed_ramps}};
}

std::optional<ZoneRecord> decode_zone(const nlohmann::json& value) {
    try {
        auto state = parse_state(value.at("s").get<std::string>());
        ZoneRecord record;
        record.time_in_state = value.at("e").get<Ms>();
        record.penalty = value.at("p").get<double>();
        record.suppressing = value.at("d").get<bool>();
        record.failed_ramps = value.at("f").get<std::uint32_t>();
        bool valid = state && record.time_in_state >= 0 && std::isfinite(record.penalty) &&
                     record.penalty >= 0;
        if (!valid) {
            return std::nullopt;
        }
        record.state = *state;
        return record;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

}  // namespace walkford
