#include "coordination/zone_failover/zone_table.hpp"

#include <algorithm>

namespace walkford {

ZoneTable::ZoneTable(const std::vector<std::string>& zone_names, const Names& names,
                     const ZoneFailoverSettings& settings) {
    for (const std::string& name : zone_names) {
        if (names.zones.find(name) == zones_.size()) {
            zones_.emplace_back(settings);
            zones_.back().name = name;
        }
    }
}

ZoneState ZoneTable::durable_state(Id zone) const {
    return zone < zones_.size() ? zones_[zone].durable.state : ZoneState::up;
}

bool ZoneTable::unrestricted(Id zone) const {
    ZoneState state = durable_state(zone);
    return state == ZoneState::up || state == ZoneState::suspect;
}

bool ZoneTable::failing(Id zone) const {
    return lost(zone) || zones_[zone].health.state() == ZoneState::suspect;
}

std::uint32_t ZoneTable::count_up() const {
    auto zones_up = std::count_if(zones_.begin(), zones_.end(), [](const ZoneStatus& zone) {
        return zone.durable.state == ZoneState::up;
    });
    return static_cast<std::uint32_t>(zones_up);
}

}  // namespace walkford
