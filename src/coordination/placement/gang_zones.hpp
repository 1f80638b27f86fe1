// The zones to try for a gang.
#pragma once

#include <algorithm>
#include <vector>

#include "bookkeeping/types.hpp"

namespace walkford {

// Returns the zones to try for a gang, one after the other. For a gang that must be in one zone
// these are the zones of `candidates`, each once, in the order of first appearance. For any other
// gang it is kNone alone, which stands for all zones together. `zone_of` maps a candidate to its
// zone.
template <typename Candidates, typename ZoneOf>
std::vector<Id> gang_zones(const JobSpec& spec, const Candidates& candidates,
                           const ZoneOf& zone_of) {
    if (!spec.one_zone) {
        return {kNone};
    }
    std::vector<Id> zones;
    for (const auto& candidate : candidates) {
        Id zone = zone_of(candidate);
        if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
            zones.push_back(zone);
        }
    }
    return zones;
}

}  // namespace walkford
