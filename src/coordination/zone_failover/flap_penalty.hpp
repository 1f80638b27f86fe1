// A penalty that rises with each loss of a zone and decays exponentially with a configured
// half-life, as in route flap damping (RFC 2439). While it suppresses the zone, the zone stays lost
// even if it looks healthy.
#pragma once

#include "bookkeeping/types.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// The flap penalty of one zone. Each loss adds 1. Owned by ZoneHealth.
class FlapPenalty {
  public:
    // Starts without a penalty. The settings must outlive it.
    explicit FlapPenalty(const ZoneFailoverSettings& settings) : settings_(&settings) {}

    // Restores the penalty that an earlier leader stored.
    void restore(Ms now, double value, bool suppressing);
    // Adds a loss of the zone. The penalty is capped, which bounds how long the zone can be
    // suppressed.
    void add_loss(Ms now);

    // Returns the penalty at `now`, decayed since the last loss.
    double value(Ms now) const;
    // Returns whether the penalty has reached the suppress threshold and has not fallen below the
    // reuse threshold since.
    bool suppressing(Ms now);

  private:
    const ZoneFailoverSettings* settings_;
    double value_ = 0;  // the penalty at value_at_
    Ms value_at_ = 0;
    bool suppressing_ = false;
};

}  // namespace walkford
