// A penalty that rises with each loss and decays by half in a set time, as in route flap damping
// (RFC 2439). While it suppresses, a zone that looks healthy is still held down.
#pragma once

#include "bookkeeping/types.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

class FlapPenalty {
  public:
    explicit FlapPenalty(const ZoneFailoverSettings& settings) : settings_(&settings) {}

    // Continues a penalty that an earlier leader left behind.
    void restore(Ms now, double value, bool suppressing);
    void add_loss(Ms now);

    double value(Ms now) const;
    // Reached the upper bound, and has not fallen below the lower one since.
    bool suppressing(Ms now);

  private:
    const ZoneFailoverSettings* settings_;
    double value_ = 0;
    Ms valued_at_ = 0;
    bool suppressing_ = false;
};

}  // namespace walkford
