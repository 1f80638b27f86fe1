// The leader's observations of one zone at one point in time.
#pragma once

#include <cstdint>
#include <string>

namespace walkford {

// ZoneObserver collects it every half second, and ZoneHealth evaluates it.
struct ZoneEvidence {
    // Machines that are expected to report, including the silent ones.
    std::uint32_t machines = 0;
    // Machines that are expected to report and do not, or that were recently lost without notice.
    std::uint32_t silent_machines = 0;
    // Controllers that the settings place in the zone.
    std::uint32_t controllers = 0;
    // Controllers of the zone whose heartbeats arrive.
    std::uint32_t reachable_controllers = 0;
    // A controller in the zone answers its workers in place of the leader: the zone is partitioned
    // from the leader but not lost.
    bool relayed = false;
    // The cloud recently refused a scale-out request in the zone.
    bool scale_out_refused = false;
    // At least one machine of another zone reports.
    bool other_zones_reporting = true;
    // The leader's lease and its view of the store are confirmed, and it has led for long enough
    // for machines to find it.
    bool conclusive = true;

    // The number of machines that report.
    std::uint32_t reporting_machines() const { return machines - silent_machines; }
    // The share of machines that are silent, from 0 to 1, or 0 if there are no machines.
    double silent_share() const {
        return machines == 0 ? 0.0 : static_cast<double>(silent_machines) / machines;
    }
};

// Formats the evidence for the log.
std::string describe(const ZoneEvidence& evidence);

}  // namespace walkford
