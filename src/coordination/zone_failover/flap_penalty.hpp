// A penalty that rises with each loss and decays by half in a set time, as in route flap damping
// (RFC 2439). While it suppresses, a zone that looks healthy is still held down.
#pragma once

#include "bookkeeping/types.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// The penalty of one zone, in losses: each loss adds 1. Owned by ZoneHealth.
class FlapPenalty {
  public:
    // No penalty yet. The settings must outlive it.
    explicit FlapPenalty(const ZoneFailoverSettings& settings) : settings_(&settings) {}

    // Continues a penalty that an earlier leader left behind.
    void restore(Ms now, double value, bool suppressing);
    // The zone was lost. The penalty is capped, so that it is not held down for ever.
    void add_loss(Ms now);

    // The penalty now, decayed since the last loss.
    double value(Ms now) const;
    // The penalty reached the upper bound, and has not fallen below the lower one since.
    bool suppressing(Ms now);

  private:
    const ZoneFailoverSettings* settings_;
    double value_ = 0;  // as it was at ...
    Ms value_at_ = 0;   // ... this time
    bool suppressing_ = false;
};

}  // namespace walkford
