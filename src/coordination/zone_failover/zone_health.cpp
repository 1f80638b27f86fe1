#include "coordination/zone_failover/zone_health.hpp"

namespace walkford {

ZoneHealth::ZoneHealth(const ZoneFailoverSettings& settings)
    : settings_(&settings), penalty_(settings) {}

std::string describe(const ZoneEvidence& evidence) {
    std::string text = std::to_string(evidence.silent_machines) + " of " +
                       std::to_string(evidence.machines) + " machines silent, " +
                       std::to_string(evidence.reachable_controllers) + " of " +
                       std::to_string(evidence.controllers) + " controllers reachable";
    if (evidence.relayed) {
        text += ", a controller in the zone answers its workers for the leader";
    }
    if (evidence.scale_out_refused) {
        text += ", the cloud refused a scale-out request in the zone";
    }
    if (!evidence.other_zones_reporting) {
        text += ", no machine of another zone reports";
    }
    return text;
}

Ms ZoneHealth::SustainedCondition::update(Ms now, bool holds) {
    if (!holds) {
        since_ = -1;
        return 0;
    }
    if (since_ < 0) {
        since_ = now;
    }
    return now - since_;
}

void ZoneHealth::restore(Ms now, const ZoneRecord& record) {
    state_ = record.state;
    since_ = now - record.time_in_state;
    failed_ramps_ = record.failed_ramps;
    penalty_.restore(now, record.penalty, record.suppressing);
}

ZoneRecord ZoneHealth::record(Ms now) {
    return {state_, time_in_state(now), penalty_.value(now), penalty_.suppressing(now),
            failed_ramps_};
}

bool ZoneHealth::observe(Ms now, const ZoneEvidence& evidence) {
    if (!evidence.conclusive) {
        // A condition must not be counted as sustained across a time without conclusive evidence.
        reset_conditions();
        return false;
    }
    ZoneState before = state_;
    switch (state_) {
        case ZoneState::up:
            observe_up(now, evidence);
            break;
        case ZoneState::suspect:
            observe_suspect(now, evidence);
            break;
        case ZoneState::lost:
            observe_lost(now, evidence);
            break;
        case ZoneState::returning:
            observe_returning(now, evidence);
            break;
    }
    return state_ != before;
}

bool ZoneHealth::enough_machines(const ZoneEvidence& evidence) const {
    return evidence.machines >= settings_->min_machines;
}

bool ZoneHealth::suspicious(const ZoneEvidence& evidence) const {
    return enough_machines(evidence) && !evidence.relayed &&
           evidence.silent_share() >= settings_->suspect_share;
}

bool ZoneHealth::healthy(const ZoneEvidence& evidence) const {
    bool controllers_healthy = evidence.controllers == 0 || evidence.reachable_controllers > 0;
    return enough_machines(evidence) && controllers_healthy && !evidence.relayed &&
           evidence.silent_share() <= settings_->recover_share;
}

Ms ZoneHealth::confirmation_span(const ZoneEvidence& evidence) const {
    Ms span = to_ms(settings_->confirm_s);
    if (evidence.reachable_controllers > 0 && !evidence.scale_out_refused) {
        span *= 2;
    }
    // If no other zone reports either, this controller itself may be partitioned.
    if (!evidence.other_zones_reporting) {
        span *= 2;
    }
    return span;
}

void ZoneHealth::reset_conditions() {
    silent_condition_.reset();
    healthy_condition_.reset();
    few_machines_condition_.reset();
}

void ZoneHealth::enter_state(Ms now, ZoneState state) {
    state_ = state;
    since_ = now;
    reset_conditions();
}

void ZoneHealth::enter_lost(Ms now) {
    penalty_.add_loss(now);
    enter_state(now, ZoneState::lost);
}

void ZoneHealth::observe_up(Ms now, const ZoneEvidence& evidence) {
    if (suspicious(evidence)) {
        enter_state(now, ZoneState::suspect);
        observe_suspect(now, evidence);
    }
}

void ZoneHealth::observe_suspect(Ms now, const ZoneEvidence& evidence) {
    if (evidence.relayed || evidence.silent_share() <= settings_->recover_share) {
        enter_state(now, ZoneState::up);
        return;
    }
    bool loss_indicated =
        enough_machines(evidence) && evidence.silent_share() >= settings_->lost_share;
    bool sustained = silent_condition_.update(now, loss_indicated) >= confirmation_span(evidence);
    if (loss_indicated && sustained) {
        enter_lost(now);
    }
}

void ZoneHealth::observe_lost(Ms now, const ZoneEvidence& evidence) {
    bool sustained_healthy =
        healthy_condition_.update(now, healthy(evidence)) >= to_ms(settings_->recovery_s);
    bool sustained_few_machines = few_machines_condition_.update(now, !enough_machines(evidence)) >=
                                  to_ms(settings_->empty_zone_retry_s);
    bool recovered = (healthy(evidence) && sustained_healthy) ||
                     (!enough_machines(evidence) && sustained_few_machines);
    if (recovered && !penalty_.suppressing(now)) {
        enter_state(now, ZoneState::returning);
    }
}

void ZoneHealth::observe_returning(Ms now, const ZoneEvidence& evidence) {
    bool failing = suspicious(evidence);
    bool sustained = silent_condition_.update(now, failing) >= confirmation_span(evidence) / 2;
    if (failing && sustained) {
        ++failed_ramps_;
        enter_lost(now);
        return;
    }
    if (!failing && time_in_state(now) >= to_ms(settings_->ramp_s)) {
        failed_ramps_ = 0;
        enter_state(now, ZoneState::up);
    }
}

}  // namespace walkford
