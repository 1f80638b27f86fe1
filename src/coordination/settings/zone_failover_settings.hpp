// The operators' settings for zone failover. deploy/zone_failover.properties documents them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace walkford {

// The properties zone_failover.*. Each comment starts with the name of the property without that
// prefix. Members that end in _s are in seconds, and shares range from 0 to 1. Read-only after the
// start.
struct ZoneFailoverSettings {
    // enabled: whether zone failover is active.
    bool enabled = false;
    // order: job classes in the order in which their displaced work is placed. Classes that are not
    // listed come last.
    std::vector<std::string> evacuation_order;

    // ---- Failure detection. Shares are of the zone's machines that are silent.

    // suspect_share: from this share on a zone becomes suspect.
    double suspect_share = 0.5;
    // recover_share: up to this share a zone counts as healthy.
    double recover_share = 0.2;
    // lost_share: from this share on a suspect zone counts as failed.
    double lost_share = 0.8;
    // least_machines: a zone with fewer machines is not evaluated.
    std::uint32_t min_machines = 3;
    // confirm_s: how long lost_share must be reached before the zone is lost. The time doubles
    // while a controller of the zone is reachable, unless the cloud refused a scale-out request in
    // the zone, and doubles while no machine of another zone reports.
    double confirm_s = 6;
    // return_s: how long a lost zone must be healthy before it returns.
    double recovery_s = 15;
    // probe_s: how long a lost zone must have too few machines to be evaluated before it returns
    // on trial.
    double empty_zone_retry_s = 60;

    // ---- Flap damping. Each loss of a zone adds 1 to its penalty.

    // flap.half_life_s: the time in which the penalty halves.
    double flap_half_life_s = 300;
    // flap.suppress: from this penalty on a lost zone is kept from returning.
    double flap_suppress_penalty = 1.2;
    // flap.reuse: a suppressed zone may return once its penalty is below this value.
    double flap_reuse_penalty = 0.75;
    // flap.most: the upper limit of the penalty.
    double flap_max_penalty = 4;

    // ---- Recovery ramp.

    // ramp.span_s: the time after a return until all capacity may be used again.
    double ramp_s = 60;
    // ramp.first_share: the share of the capacity that may be used at the start of the ramp.
    double ramp_first_share = 0.1;
    // ramp.fetches_per_machine: maximum number of concurrent image fetches on one machine.
    std::uint32_t max_fetches_per_machine = 2;
    // ramp.fetches_per_zone: maximum number of concurrent image fetches in the zone.
    std::uint32_t max_fetches_per_zone = 32;
    // ramp.replicas: maximum number of service replicas that start in the zone at the same time.
    std::uint32_t replicas = 8;
    // ramp.probe_machines: how many machines that have not reported yet the zone may have, in
    // addition to one for each machine that reports.
    std::uint32_t probe_machines = 2;

    // hold_s: how long after a zone began to fail other zones reserve capacity for its displaced
    // work.
    double reserve_duration_s = 30;
    // wait_most_s: a job that has waited this long may be placed in a suppressed or returning zone.
    double max_wait_s = 45;

    bool operator==(const ZoneFailoverSettings&) const = default;
};

}  // namespace walkford
