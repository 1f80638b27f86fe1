// How much of a returned zone may be used: a slow start from a small share of its capacity to all
// of it. A ramp cut short by a flap halves the next one's first share.
#pragma once

#include "bookkeeping/types.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// The limits of a zone that is lost or returning. Made where it is needed; holds no state.
class RecoveryRamp {
  public:
    // `failed_ramps`: how many ramps a flap cut short since the last complete one.
    RecoveryRamp(const ZoneFailoverSettings& settings, std::uint32_t failed_ramps);

    // The share of the zone's capacity that the ramp begins with.
    double first_share() const;
    // The share of the zone's capacity that may be allocated, so long after the zone's return.
    double share(Ms elapsed) const;
    // How many machines may be on their way to the zone, with so many reporting there.
    std::uint32_t unproven_machines(std::uint32_t reporting) const {
        return settings_->probe_machines + reporting;
    }

  private:
    const ZoneFailoverSettings* settings_;
    std::uint32_t failed_ramps_;
};

}  // namespace walkford
