// What a leader observes of one zone at one moment.
#pragma once

#include <cstdint>
#include <string>

namespace walkford {

// Observed every half second by ZoneObserver; ZoneHealth evaluates it.
struct ZoneEvidence {
    std::uint32_t machines = 0;         // that should report ...
    std::uint32_t silent_machines = 0;  // ... and do not, or were taken away unannounced lately
    std::uint32_t controllers = 0;      // that the settings place in the zone ...
    std::uint32_t reachable_controllers = 0;  // ... and whose heartbeats arrive
    bool relayed = false;            // a controller inside answers its workers: a network partition
    bool scale_out_refused = false;  // the cloud refused a scale-out request there lately
    bool other_zones_reporting = true;  // machines of other zones report
    // The observer's own lease and view are confirmed, and it has led for long enough.
    bool conclusive = true;

    // Machines that should report, and do.
    std::uint32_t reporting_machines() const { return machines - silent_machines; }
    // The share of machines that are silent, from 0 to 1; 0 without machines.
    double silent_share() const {
        return machines == 0 ? 0.0 : static_cast<double>(silent_machines) / machines;
    }
};

// The evidence in words, for the log.
std::string describe(const ZoneEvidence& evidence);

}  // namespace walkford
