// The zones that a gang may be placed in.
#pragma once

#include <algorithm>
#include <vector>

#include "bookkeeping/types.hpp"

namespace walkford {

// The zones to be tried for a gang, one after the other: those of the `places`, each once, in their
// order, for a gang that must share a zone; else kNone alone, for all zones together.
// `zone_of(place)`: the zone that one of them lies in.
template <typename Places, typename ZoneOf>
std::vector<Id> gang_zones(const JobSpec& spec, const Places& places, const ZoneOf& zone_of) {
    if (!spec.one_zone) {
        return {kNone};
    }
    std::vector<Id> zones;
    for (const auto& place : places) {
        Id zone = zone_of(place);
        if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
            zones.push_back(zone);
        }
    }
    return zones;
}

}  // namespace walkford
