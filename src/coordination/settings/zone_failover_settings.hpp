// The operators' settings of zone failover (deploy/zone_failover.properties).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace walkford {

// Properties zone_failover.*, named in each comment without that prefix; members in _s are seconds,
// shares are from 0 to 1. Read-only after the start.
struct ZoneFailoverSettings {
    bool enabled = false;  // enabled
    // order: classes in the order in which their displaced work is placed; the rest comes after.
    std::vector<std::string> order;

    // Detection. Shares are of a zone's machines that are silent.
    double suspect_share = 0.5;        // suspect_share
    double recover_share = 0.2;        // recover_share
    double lost_share = 0.8;           // lost_share
    std::uint32_t least_machines = 3;  // least_machines: with fewer a zone's health is not judged
    double confirm_s = 6;              // confirm_s: how long lost_share must hold
    double return_s = 15;              // return_s: how long a lost zone must look well
    double probe_s = 60;               // probe_s: then a zone without machines is tried again

    // Flap damping. The penalty is measured in losses.
    double flap_half_life_s = 300;  // flap.half_life_s
    double flap_suppress = 1.2;     // flap.suppress: from this penalty on a zone is held down ...
    double flap_reuse = 0.75;       // flap.reuse: ... until it is below this
    double flap_most = 4;           // flap.most: the penalty rises no higher

    // Failback.
    double ramp_s = 60;                     // ramp.span_s: until all capacity may be used again
    double ramp_first_share = 0.1;          // ramp.first_share: of the capacity, at its begin
    std::uint32_t fetches_per_machine = 2;  // ramp.fetches_per_machine: images fetched at once
    std::uint32_t fetches_per_zone = 32;    // ramp.fetches_per_zone: the same for the zone
    std::uint32_t replicas = 8;             // ramp.replicas: of services that start at once
    std::uint32_t probe_machines = 2;       // ramp.probe_machines: requested, but not reported yet

    double hold_s = 30;       // hold_s: other zones keep capacity for displaced work for so long
    double wait_most_s = 45;  // wait_most_s: then work may go to a suppressed or returning zone

    bool operator==(const ZoneFailoverSettings&) const = default;
};

}  // namespace walkford
