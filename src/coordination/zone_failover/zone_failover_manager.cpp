#include "coordination/zone_failover/zone_failover_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "coordination/zone_failover/log_format.hpp"
#include "coordination/zone_failover/recovery_ramp.hpp"

namespace walkford {

namespace {
constexpr Ms kObservationInterval = 500;
constexpr std::uint32_t kUnlimited = 0xffffffffU;
}  // namespace

ZoneFailoverManager::ZoneFailoverManager(LeaderContext& context)
    : context_(context),
      settings_(context.controller.operator_settings.zone_failover),
      zones_(context.controller.platform_settings.zones, context.controller.names, settings_),
      displaced_(EvacuationOrder(settings_, context.controller.names)),
      records_(context, zones_,
               [this](Ms now, Id zone, const ZoneRecord& record) {
                   on_record_durable(now, zone, record);
               }),
      observer_(context, zones_),
      marker_(context, displaced_),
      admission_(context, zones_, displaced_) {}

bool ZoneFailoverManager::active() const {
    return settings_.enabled && context_.controller.may_write(kFeatureZoneFailover);
}

void ZoneFailoverManager::tick(Ms now, const WorkerManager& workers, const CloudManager& cloud) {
    if (!active() || now < next_observation_at_) {
        return;
    }
    next_observation_at_ = now + kObservationInterval;
    now_ = now;
    if (!loaded_) {
        load(now);
    }
    observer_.observe(now, workers, cloud);
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        evaluate(now, zone);
        if (zones_.failing(zone)) {
            marker_.mark_on_silent_machines(now, zone, workers);
            marker_.mark_recently_interrupted(now, zone);
        }
        records_.write_if_due(now, zone);
    }
    collect_finished_work(now);
    update_restrictions();
}

// ---- zone states

void ZoneFailoverManager::load(Ms now) {
    loaded_ = true;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        records_.load(now, zone);
        if (zones_.lost(zone)) {
            marker_.mark_on_all_machines(now, zone);
            marker_.mark_recently_interrupted(now, zone);
            marker_.mark_waiting_for_restart(now, zone);
        }
    }
}

void ZoneFailoverManager::evaluate(Ms now, Id zone_id) {
    ZoneStatus& zone = zones_[zone_id];
    ZoneState before = zone.health.state();
    if (!zone.health.observe(now, zone.evidence)) {
        return;
    }
    ZoneState after = zone.health.state();
    if (before == ZoneState::up || before == ZoneState::returning) {
        zone.failing_since = now;
    }
    bool suspect_transition = before == ZoneState::suspect || after == ZoneState::suspect;
    if (suspect_transition && after != ZoneState::lost) {
        spdlog::info("zone {}: {} -> {} ({})", zone.name, name_of(before), name_of(after),
                     describe(zone.evidence));
    }
    if (after == ZoneState::up) {
        displaced_.forget_zone(zone_id);
    }
}

// Applies the record: from now on it restricts placement and scaling.
void ZoneFailoverManager::on_record_durable(Ms now, Id zone_id, const ZoneRecord& record) {
    ZoneStatus& zone = zones_[zone_id];
    ZoneState before = zone.durable.state;
    zone.durable = record;
    zone.durable_since = now - record.time_in_state;
    if (before == record.state) {
        return;
    }
    spdlog::info("zone {}: {} -> {} ({}), flap penalty {:.2f}{}", zone.name, name_of(before),
                 name_of(record.state), describe(zone.evidence), record.penalty,
                 record.suppressing ? ", return suppressed" : "");
    if (record.state == ZoneState::lost) {
        marker_.log_loss(zone_id, zone.name);
    }
    context_.placement_requested = true;
    context_.scale_out_requested = true;
}

// ---- displaced work

void ZoneFailoverManager::collect_finished_work(Ms now) {
    std::set<Id> failing_zones;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        if (zones_.failing(zone)) {
            failing_zones.insert(zone);
        }
    }
    for (const DisplacedWork::FinishedClass& finished :
         displaced_.collect_finished(now, context_.cluster, failing_zones)) {
        spdlog::info("zone {}: evacuation of class {} finished: {} jobs run again after {:.1f} s{}",
                     zones_[finished.zone].name,
                     job_class_name(context_.controller.names, finished.job_class),
                     finished.run_again, to_seconds(finished.duration),
                     finished.ended > 0
                         ? fmt::format(", {} jobs ended or were cancelled before they ran again",
                                       finished.ended)
                         : "");
    }
}

void ZoneFailoverManager::update_restrictions() {
    evacuating_ = false;
    restricts_ = false;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        bool restricted = !zones_.unrestricted(zone);
        restricts_ = restricts_ || restricted;
        evacuating_ = evacuating_ || ((restricted || zones_.failing(zone)) && !displaced_.empty());
    }
}

int ZoneFailoverManager::evacuation_position(Id job) const {
    return evacuating_ ? displaced_.evacuation_position(context_.cluster, job)
                       : displaced_.order().last_position();
}

Ms ZoneFailoverManager::waits_since(Id job) const {
    Ms since = context_.cluster.jobs[job].waiting_since;
    return evacuating_ ? std::max(since, displaced_.since(context_.cluster, job)) : since;
}

// ---- placement

void ZoneFailoverManager::begin_round(Ms now, const FreeCapacity& free_capacity) {
    now_ = now;
    admission_.clear_reserve();
    if (has_restrictions()) {
        admission_.begin_round(now, free_capacity, evacuating_);
    }
}

bool ZoneFailoverManager::admits(Id job, Id zone) const {
    return !restricts_ || open(zone) || admission_.admits(job, zone, waited_long(job));
}

bool ZoneFailoverManager::admits_fetch(Id zone, int fetches) const {
    return !restricts_ || zones_.unrestricted(zone) || admission_.admits_fetch(zone, fetches);
}

bool ZoneFailoverManager::reserved(Id job, int priority,
                                   const EvacuationReserve::PlacementTarget& target) const {
    return admission_.reserved(job, priority, target);
}

void ZoneFailoverManager::on_task_placed(Id job, const EvacuationReserve::PlacementTarget& target,
                                         bool fetches) {
    if (restricts_ || admission_.has_reserve()) {
        admission_.add_placed_task(job, target, fetches);
    }
}

bool ZoneFailoverManager::waits_for_zone(Id job) const {
    Id zone = context_.cluster.jobs[job].spec.zone;
    return restricts_ && zone != kNone && lost(zone);
}

// ---- scaling

bool ZoneFailoverManager::waited_long(Id job) const {
    return now_ >= context_.cluster.jobs[job].waiting_since + to_ms(settings_.max_wait_s);
}

std::uint32_t ZoneFailoverManager::scale_out_allowance(Id zone, std::uint32_t reporting,
                                                       std::uint32_t provisioning,
                                                       Id for_job) const {
    if (!restricts_ || zones_.unrestricted(zone)) {
        return kUnlimited;
    }
    bool may_use_lost_zone = for_job != kNone && waited_long(for_job);
    if (lost(zone) && zones_.any_up() && !may_use_lost_zone) {
        return 0;
    }
    RecoveryRamp ramp(settings_, zones_[zone].durable.failed_ramps);
    std::uint32_t max_unproven = ramp.unproven_machines(reporting);
    return max_unproven - std::min(max_unproven, provisioning);
}

std::uint32_t ZoneFailoverManager::open_zones() const {
    return std::max<std::uint32_t>(1, zones_.count_up());
}

}  // namespace walkford
