// Judges one zone from what is observed of it: up, suspect, lost or returning
// (docs/zone-failover.md has the table).
#pragma once

#include <optional>

#include "coordination/zone_failover/flap_penalty.hpp"
#include "coordination/zone_failover/zone_evidence.hpp"
#include "coordination/zone_failover/zone_record.hpp"

namespace walkford {

class ZoneHealth {
  public:
    explicit ZoneHealth(const ZoneFailoverSettings& settings)
        : settings_(&settings), penalty_(settings) {}

    // Continues where an earlier leader stopped.
    void restore(Ms now, const ZoneRecord& record);
    // What would let another leader continue.
    ZoneRecord record(Ms now);

    // Takes in an observation; true if the state changed.
    bool observe(Ms now, const ZoneEvidence& evidence);

    ZoneState state() const { return state_; }
    Ms in_state(Ms now) const { return now - since_; }
    double penalty(Ms now) const { return penalty_.value(now); }
    std::uint32_t failed_ramps() const { return failed_ramps_; }
    // Held down although it looks healthy.
    bool suppressed(Ms now) { return state_ == ZoneState::lost && penalty_.suppressing(now); }

  private:
    // A condition that has to hold for some time without a break.
    class Sustained {
      public:
        // How long it has held, 0 if it does not.
        Ms update(Ms now, bool holds);
        void reset() { since_ = -1; }

      private:
        Ms since_ = -1;
    };

    bool judged(const ZoneEvidence& evidence) const;
    bool healthy(const ZoneEvidence& evidence) const;
    Ms time_to_confirm(const ZoneEvidence& evidence) const;
    void enter(Ms now, ZoneState state);
    void lose(Ms now);

    void observe_up(Ms now, const ZoneEvidence& evidence);
    void observe_suspect(Ms now, const ZoneEvidence& evidence);
    void observe_lost(Ms now, const ZoneEvidence& evidence);
    void observe_returning(Ms now, const ZoneEvidence& evidence);

    const ZoneFailoverSettings* settings_;
    FlapPenalty penalty_;
    ZoneState state_ = ZoneState::up;
    Ms since_ = 0;
    std::uint32_t failed_ramps_ = 0;
    Sustained bad_;
    Sustained good_;
    Sustained unjudged_;
};

}  // namespace walkford
