// Derives the state of one zone (up, suspect, lost or returning) from the evidence observed in it.
// docs/zone-failover.md has the table of state transitions.
#pragma once

#include <optional>

#include "coordination/zone_failover/flap_penalty.hpp"
#include "coordination/zone_failover/zone_evidence.hpp"
#include "coordination/zone_failover/zone_record.hpp"

namespace walkford {

// The state machine of one zone. Owned by ZoneStatus.
class ZoneHealth {
  public:
    // Starts in the state up. The settings must outlive it.
    explicit ZoneHealth(const ZoneFailoverSettings& settings);

    // Continues from the record that an earlier leader stored.
    void restore(Ms now, const ZoneRecord& record);
    // Returns the record from which another leader can continue.
    ZoneRecord record(Ms now);

    // Processes an observation. Returns whether the state changed.
    bool observe(Ms now, const ZoneEvidence& evidence);

    // The state after the last conclusive observation.
    ZoneState state() const { return state_; }
    // How long the zone has been in its state.
    Ms time_in_state(Ms now) const { return now - since_; }
    // The flap penalty at `now`. Each loss adds 1.
    double penalty(Ms now) const { return penalty_.value(now); }
    // How many recovery ramps another loss interrupted since the last complete one.
    std::uint32_t failed_ramps() const { return failed_ramps_; }
    // Returns whether the flap penalty keeps the lost zone from returning, even if it looks
    // healthy.
    bool suppressed(Ms now) { return state_ == ZoneState::lost && penalty_.suppressing(now); }

  private:
    // Measures for how long a condition has held without interruption.
    class SustainedCondition {
      public:
        // Updates the condition. Returns for how long it has held, or 0 if it does not hold.
        Ms update(Ms now, bool holds);
        // Restarts the measurement, as if the condition had never held.
        void reset() { since_ = -1; }

      private:
        Ms since_ = -1;
    };

    bool enough_machines(const ZoneEvidence& evidence) const;
    bool suspicious(const ZoneEvidence& evidence) const;
    bool healthy(const ZoneEvidence& evidence) const;
    Ms confirmation_span(const ZoneEvidence& evidence) const;
    void reset_conditions();
    void enter_state(Ms now, ZoneState state);
    void enter_lost(Ms now);

    void observe_up(Ms now, const ZoneEvidence& evidence);
    void observe_suspect(Ms now, const ZoneEvidence& evidence);
    void observe_lost(Ms now, const ZoneEvidence& evidence);
    void observe_returning(Ms now, const ZoneEvidence& evidence);

    const ZoneFailoverSettings* settings_;
    FlapPenalty penalty_;
    ZoneState state_ = ZoneState::up;
    Ms since_ = 0;
    std::uint32_t failed_ramps_ = 0;
    SustainedCondition silent_condition_;
    SustainedCondition healthy_condition_;
    SustainedCondition few_machines_condition_;
};

}  // namespace walkford
