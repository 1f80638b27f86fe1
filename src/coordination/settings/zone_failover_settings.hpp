// The operators' settings of zone failover (deploy/zone_failover.properties).
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace walkford {

struct ZoneFailoverSettings {
    bool enabled = false;
    // Classes in the order in which their displaced work is placed; the rest comes after.
    std::vector<std::string> order;

    // Shares of a zone's machines that are silent.
    double suspect_share = 0.5;
    double recover_share = 0.2;
    double lost_share = 0.8;
    std::uint32_t least_machines = 3;  // with fewer a zone is not judged
    double confirm_s = 6;
    double return_s = 15;
    double probe_s = 60;

    // Flap damping; penalties are measured in losses.
    double flap_half_life_s = 300;
    double flap_suppress = 1.2;
    double flap_reuse = 0.75;
    double flap_most = 4;

    // Failback.
    double ramp_s = 60;
    double ramp_first_share = 0.1;
    std::uint32_t fetches_per_machine = 2;
    std::uint32_t fetches_per_zone = 32;
    std::uint32_t replicas = 8;
    std::uint32_t probe_machines = 2;

    double hold_s = 30;
    double wait_most_s = 45;

    bool operator==(const ZoneFailoverSettings&) const = default;
};

}  // namespace walkford
