#include "coordination/zone_failover/zone_health.hpp"

namespace walkford {

std::string describe(const ZoneEvidence& e) {
    std::string text = std::to_string(e.silent_machines) + " of " + std::to_string(e.machines) +
                       " machines silent, " + std::to_string(e.controllers_heard) + " of " +
                       std::to_string(e.controllers) + " controllers heard";
    if (e.relayed) {
        text += ", its workers are answered inside";
    }
    if (e.scale_out_refused) {
        text += ", a rental there was refused";
    }
    if (!e.others_heard) {
        text += ", no machine heard anywhere else";
    }
    return text;
}

Ms ZoneHealth::Sustained::update(Ms now, bool holds) {
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
    since_ = now - record.in_state;
    failed_ramps_ = record.failed_ramps;
    penalty_.restore(now, record.penalty, record.suppressing);
}

ZoneRecord ZoneHealth::record(Ms now) {
    return {state_, in_state(now), penalty_.value(now), penalty_.suppressing(now), failed_ramps_};
}

bool ZoneHealth::observe(Ms now, const ZoneEvidence& evidence) {
    if (!evidence.conclusive) {
        // Nothing is counted across a time in which nothing could be judged.
        bad_.reset();
        good_.reset();
        unjudged_.reset();
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

bool ZoneHealth::judged(const ZoneEvidence& evidence) const {
    return evidence.machines >= settings_->least_machines;
}

bool ZoneHealth::healthy(const ZoneEvidence& evidence) const {
    bool controllers_well = evidence.controllers == 0 || evidence.controllers_heard > 0;
    return judged(evidence) && controllers_well && !evidence.relayed &&
           evidence.silent_share() <= settings_->recover_share;
}

Ms ZoneHealth::time_to_confirm(const ZoneEvidence& evidence) const {
    Ms span = to_ms(settings_->confirm_s);
    if (evidence.controllers_heard > 0 && !evidence.scale_out_refused) {
        span *= 2;
    }
    // It may be the observer that is cut off.
    if (!evidence.others_heard) {
        span *= 2;
    }
    return span;
}

void ZoneHealth::enter(Ms now, ZoneState state) {
    state_ = state;
    since_ = now;
    bad_.reset();
    good_.reset();
    unjudged_.reset();
}

void ZoneHealth::lose(Ms now) {
    penalty_.add_loss(now);
    enter(now, ZoneState::lost);
}

void ZoneHealth::observe_up(Ms now, const ZoneEvidence& evidence) {
    bool bad = judged(evidence) && !evidence.relayed &&
               evidence.silent_share() >= settings_->suspect_share;
    if (bad) {
        enter(now, ZoneState::suspect);
        observe_suspect(now, evidence);
    }
}

void ZoneHealth::observe_suspect(Ms now, const ZoneEvidence& evidence) {
    if (evidence.relayed || evidence.silent_share() <= settings_->recover_share) {
        enter(now, ZoneState::up);
        return;
    }
    bool gone = judged(evidence) && evidence.silent_share() >= settings_->lost_share;
    bool lasting = bad_.update(now, gone) >= time_to_confirm(evidence);
    if (gone && lasting) {
        lose(now);
    }
}

void ZoneHealth::observe_lost(Ms now, const ZoneEvidence& evidence) {
    bool well = good_.update(now, healthy(evidence)) >= to_ms(settings_->return_s);
    bool nothing_left = unjudged_.update(now, !judged(evidence)) >= to_ms(settings_->probe_s);
    bool recovered = (healthy(evidence) && well) || (!judged(evidence) && nothing_left);
    if (recovered && !penalty_.suppressing(now)) {
        enter(now, ZoneState::returning);
    }
}

void ZoneHealth::observe_returning(Ms now, const ZoneEvidence& evidence) {
    bool bad = judged(evidence) && !evidence.relayed &&
               evidence.silent_share() >= settings_->suspect_share;
    bool lasting = bad_.update(now, bad) >= time_to_confirm(evidence) / 2;
    if (bad && lasting) {
        ++failed_ramps_;
        lose(now);
        return;
    }
    if (!bad && in_state(now) >= to_ms(settings_->ramp_s)) {
        failed_ramps_ = 0;
        enter(now, ZoneState::up);
    }
}

}  // namespace walkford
