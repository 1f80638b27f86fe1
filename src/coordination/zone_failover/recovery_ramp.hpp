// Limits the use of a zone that recovers: a slow start from a small share of its capacity to all of
// it. Each ramp that another loss interrupts halves the first share of the next one.
#pragma once

#include "bookkeeping/types.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// The limits of a zone that is lost or returning. Constructed on demand; it has no state of its
// own.
class RecoveryRamp {
  public:
    // `failed_ramps` is the number of ramps that another loss interrupted since the last complete
    // one. The settings must outlive it.
    RecoveryRamp(const ZoneFailoverSettings& settings, std::uint32_t failed_ramps);

    // The share of the zone's capacity at the start of the ramp.
    double first_share() const;
    // The share of the zone's capacity that may be allocated when `elapsed` has passed since the
    // ramp started.
    double share(Ms elapsed) const;
    // The most machines of the zone that may be requested or booting at a time, given the number
    // that report there.
    std::uint32_t unproven_machines(std::uint32_t reporting) const {
        return settings_->probe_machines + reporting;
    }

  private:
    const ZoneFailoverSettings* settings_;
    std::uint32_t failed_ramps_;
};

}  // namespace walkford
