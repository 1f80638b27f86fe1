// Evaluates one zone from what is observed of it: up, suspect, lost or returning
// (docs/zone-failover.md has the table).
#pragma once

#include <optional>

#include "coordination/zone_failover/flap_penalty.hpp"
#include "coordination/zone_failover/zone_evidence.hpp"
#include "coordination/zone_failover/zone_record.hpp"

namespace walkford {

// The state machine of one zone. Owned by ZoneStatus.
class ZoneHealth {
  public:
    // A zone that is up. The settings must outlive it.
    explicit ZoneHealth(const ZoneFailoverSettings& settings);

    // Continues where an earlier leader stopped.
    void restore(Ms now, const ZoneRecord& record);
    // What would let another leader continue.
    ZoneRecord record(Ms now);

    // Takes in an observation; true if the state changed.
    bool observe(Ms now, const ZoneEvidence& evidence);

    // The state by the last conclusive observation.
    ZoneState state() const { return state_; }
    // How long it has been in that state.
    Ms in_state(Ms now) const { return now - since_; }
    // The flap penalty now, in losses.
    double penalty(Ms now) const { return penalty_.value(now); }
    // How many ramps a flap cut short since the last complete one.
    std::uint32_t failed_ramps() const { return failed_ramps_; }
    // Held down although it looks healthy.
    bool suppressed(Ms now) { return state_ == ZoneState::lost && penalty_.suppressing(now); }

  private:
    // A condition that has to hold for some time without a break.
    class SustainedCondition {
      public:
        // Takes in whether it holds now; returns for how long it has, 0 if it does not.
        Ms update(Ms now, bool holds);
        // As if it had not held until now.
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
