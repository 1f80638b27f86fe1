#include "coordination/zone_failover/zone_failover_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/zone_failover/recovery_ramp.hpp"

namespace walkford {

namespace {
constexpr Ms kObserveEvery = 500;
constexpr Ms kConfirmationFresh = 3000;  // the view is proven each second while the service answers
constexpr Ms kControllerHeard = 5000;
constexpr Ms kTakenCounts = 30000;        // a machine taken for silent counts as such for so long
constexpr Ms kInterruptedLately = 60000;  // work lost before its zone was under suspicion
constexpr Ms kRetry = 500;
constexpr Ms kProgressEvery = 10000;  // how often the time in a state is written ...
constexpr Ms kPenaltyEvery = 60000;   // ... and a penalty that only decays
constexpr double kPenaltyForgotten = 0.05;
constexpr std::uint32_t kNoLimit = 0xffffffffU;

double seconds(Ms span) { return static_cast<double>(span) / 1000.0; }
}  // namespace

ZoneFailoverManager::ZoneFailoverManager(LeaderContext& context)
    : context_(context),
      settings_(context.controller.operator_settings.zone_failover),
      displaced_(EvacuationOrder(settings_, context.controller.names)) {
    for (const std::string& name : context.controller.platform_settings.zones) {
        // (One that is named twice has one id.)
        if (context.controller.names.zones.find(name) == zones_.size()) {
            zones_.emplace_back(settings_);
            zones_.back().name = name;
        }
    }
    gates_.resize(zones_.size());
}

// A new leader has yet to be found by the machines.
Ms ZoneFailoverManager::judging_since() const {
    constexpr Ms kFindLeader = 3000;
    return context_.elected_at + to_ms(2 * context_.controller.platform_settings.report_s) +
           kFindLeader;
}

bool ZoneFailoverManager::active() const {
    return settings_.enabled && context_.controller.may_write(kFeatureZoneFailover);
}

void ZoneFailoverManager::tick(Ms now, const WorkerManager& workers, const CloudManager& cloud) {
    if (!active() || now < observe_at_) {
        return;
    }
    observe_at_ = now + kObserveEvery;
    now_ = now;
    if (!loaded_) {
        load(now);
    }
    observe(now, workers, cloud);
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        judge(now, zone);
        if (failing(zone)) {
            mark_displaced(now, zone, &workers);
        }
        if (write_due(now, zones_[zone])) {
            write(now, zone);
        }
    }
    end_observation(now);
}

// ---- records

void ZoneFailoverManager::load(Ms now) {
    loaded_ = true;
    for (Id id = 0; id < zones_.size(); ++id) {
        load_zone(now, zones_[id]);
        if (acted_on(id) == ZoneState::lost) {
            mark_displaced(now, id, nullptr);
            mark_interrupted(now, id);
        }
    }
}

void ZoneFailoverManager::load_zone(Ms now, Zone& zone) {
    const auto& stored = context_.controller.replica.zone_records;
    auto it = stored.find(zone.name);
    if (it == stored.end()) {
        return;
    }
    zone.version = it->second.version;
    auto record = decode_zone(it->second.value);
    if (!record) {
        spdlog::warn("zone {}: its record can't be read, it is taken as up", zone.name);
        zone.rewrite = true;
        return;
    }
    zone.health.restore(now, *record);
    zone.durable = *record;
    zone.durable_since = now - record->in_state;
    zone.failing_since = zone.durable_since;
    zone.written_at = now;
    if (record->state != ZoneState::up) {
        spdlog::info("zone {}: {} for {:.0f} s already, penalty {:.2f}", zone.name,
                     name_of(record->state), seconds(record->in_state), record->penalty);
    }
}

bool ZoneFailoverManager::write_due(Ms now, Zone& zone) {
    if (zone.writing || now < zone.write_at || !context_.holds_lease) {
        return false;
    }
    ZoneRecord wanted = zone.health.record(now);
    // A suspicion is not acted on and not worth a write.
    if (wanted.state == ZoneState::suspect) {
        wanted.state = ZoneState::up;
    }
    bool differs = wanted.state != zone.durable.state ||
                   wanted.suppressing != zone.durable.suppressing ||
                   wanted.failed_ramps != zone.durable.failed_ramps;
    if (zone.rewrite || differs) {
        return true;
    }
    if (wanted.state != ZoneState::up) {
        return now >= zone.written_at + kProgressEvery;
    }
    return zone.durable.penalty > 0 && now >= zone.written_at + kPenaltyEvery;
}

void ZoneFailoverManager::write(Ms now, Id id) {
    Zone& zone = zones_[id];
    ZoneRecord record = zone.health.record(now);
    if (record.state == ZoneState::suspect) {
        record.state = ZoneState::up;
    }
    if (record.state == ZoneState::up && record.penalty < kPenaltyForgotten) {
        record.penalty = 0;
    }
    const auto& stored = context_.controller.replica.zone_records;
    if (auto it = stored.find(zone.name); it != stored.end()) {
        zone.version = std::max(zone.version, it->second.version);
    }
    Transaction transaction;
    std::string key = keys::zone_record(zone.name);
    transaction.comparisons = {{keys::kLeader, context_.fencing_token}, {key, zone.version}};
    transaction.writes = {{key, encode_zone(record), 0}};
    zone.writing = true;
    context_.controller.store.transaction(RequestPriority::leadership, std::move(transaction),
                                          [this, alive = std::weak_ptr<bool>(context_.alive), id,
                                           record](Ms at, const StoreResponse& reply) {
                                              if (!alive.expired()) {
                                                  written(at, id, record, reply);
                                              }
                                          });
}

void ZoneFailoverManager::written(Ms now, Id id, const ZoneRecord& record,
                                  const StoreResponse& reply) {
    Zone& zone = zones_[id];
    zone.writing = false;
    if (reply.status == StoreStatus::ok) {
        zone.version = reply.revision;
        zone.rewrite = false;
        zone.written_at = now;
        act_on(now, id, record);
        return;
    }
    zone.write_at = now + kRetry;
    // An earlier copy of ours may have got there: the view shows its stamp.
    if (reply.status == StoreStatus::conflict && !context_.deposed_by(now, reply)) {
        context_.refresh(now);
    }
}

void ZoneFailoverManager::act_on(Ms now, Id id, const ZoneRecord& record) {
    Zone& zone = zones_[id];
    ZoneState before = zone.durable.state;
    zone.durable = record;
    zone.durable_since = now - record.in_state;
    if (before == record.state) {
        return;
    }
    spdlog::info("zone {}: {} -> {} ({}), penalty {:.2f}{}", zone.name, name_of(before),
                 name_of(record.state), describe(zone.evidence), record.penalty,
                 record.suppressing ? ", held down" : "");
    if (record.state == ZoneState::lost) {
        tell_loss(id);
    }
    context_.place_now = true;
    context_.scale_out_now = true;
}

bool ZoneFailoverManager::failing(Id zone) const {
    return lost(zone) || zones_[zone].health.state() == ZoneState::suspect;
}

ZoneState ZoneFailoverManager::acted_on(Id zone) const {
    return zone < zones_.size() ? zones_[zone].durable.state : ZoneState::up;
}

// ---- evidence

bool ZoneFailoverManager::expects_report(const Machine& m, Ms now) const {
    if (!m.registered || m.health.quarantined) {
        return false;
    }
    // One that an earlier leader used, or that the cloud lists as running, has a worker that should
    // have found this leader by now.
    bool was_up = m.listing.state == CloudMachineState::running || !m.tasks.empty();
    return m.worker.reported || (!m.requested_by_this_leader && was_up && now > judging_since());
}

ZoneFailoverManager::Hearing ZoneFailoverManager::hear(Ms now, const Machine& m,
                                                       MachineWatch& watch,
                                                       const WorkerManager& workers) const {
    bool leaves = m.terminated || m.releasing;
    if (leaves && !watch.left) {
        watch.left = true;
        // Given back for its silence; or taken unannounced, also before it could find this leader.
        bool unmet = !m.worker.reported && !m.requested_by_this_leader;
        bool taken = m.releasing ? watch.last == Hearing::silent
                                 : watch.last != Hearing::not_expected || unmet;
        watch.taken_at = taken ? now : -1;
    }
    if (leaves) {
        bool counts = watch.taken_at >= 0 && now < watch.taken_at + kTakenCounts;
        return counts ? Hearing::silent : Hearing::not_expected;
    }
    bool heard = workers.reported_recently(m, now);
    // One that the cloud has said it takes says nothing of its zone.
    watch.noticed = m.worker.reclaim_at >= 0 || (watch.noticed && !heard);
    bool expected = expects_report(m, now) && !watch.noticed;
    watch.last = !expected ? Hearing::not_expected : heard ? Hearing::heard : Hearing::silent;
    return watch.last;
}

void ZoneFailoverManager::observe_machines(Ms now, const WorkerManager& workers) {
    const ClusterState& cluster = context_.cluster;
    watches_.resize(cluster.machines.size());
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        const Machine& m = cluster.machines[id];
        if (m.zone >= zones_.size()) {
            continue;
        }
        Hearing hearing = hear(now, m, watches_[id], workers);
        ZoneEvidence& evidence = zones_[m.zone].evidence;
        evidence.machines += hearing != Hearing::not_expected;
        evidence.silent_machines += hearing == Hearing::silent;
    }
}

void ZoneFailoverManager::observe_controllers(Ms now) {
    const PlatformSettings& platform_settings = context_.controller.platform_settings;
    for (Zone& zone : zones_) {
        bool own = platform_settings.zone == zone.name;
        zone.evidence.controllers = own;
        zone.evidence.controllers_heard = own;
        for (std::size_t i = 0; i < platform_settings.peers.size(); ++i) {
            if (platform_settings.peers[i].zone != zone.name) {
                continue;
            }
            ++zone.evidence.controllers;
            zone.evidence.controllers_heard +=
                context_.peer_heard && context_.peer_heard(now, i, kControllerHeard);
        }
    }
}

void ZoneFailoverManager::observe(Ms now, const WorkerManager& workers, const CloudManager& cloud) {
    bool conclusive = context_.holds_lease && now > judging_since() &&
                      context_.view_confirmed_until >= now - kConfirmationFresh;
    for (Zone& zone : zones_) {
        zone.evidence = {};
        zone.evidence.conclusive = conclusive;
    }
    observe_machines(now, workers);
    observe_controllers(now);
    std::uint32_t heard = 0;
    for (const Zone& zone : zones_) {
        heard += zone.evidence.machines - zone.evidence.silent_machines;
    }
    for (Id id = 0; id < zones_.size(); ++id) {
        ZoneEvidence& evidence = zones_[id].evidence;
        evidence.relayed = context_.controller.replica.relayed(zones_[id].name);
        evidence.scale_out_refused = cloud.refused_lately(id, now);
        evidence.others_heard = heard > evidence.machines - evidence.silent_machines;
    }
}

void ZoneFailoverManager::judge(Ms now, Id id) {
    Zone& zone = zones_[id];
    ZoneState before = zone.health.state();
    if (!zone.health.observe(now, zone.evidence)) {
        return;
    }
    ZoneState after = zone.health.state();
    if (before == ZoneState::up || before == ZoneState::returning) {
        zone.failing_since = now;
    }
    bool suspicion = before == ZoneState::suspect || after == ZoneState::suspect;
    if (suspicion && after != ZoneState::lost) {
        spdlog::info("zone {}: {} -> {} ({})", zone.name, name_of(before), name_of(after),
                     describe(zone.evidence));
    }
    if (after == ZoneState::up) {
        displaced_.forget_zone(id);
    }
}

// ---- displaced work

bool ZoneFailoverManager::bound_to(const Job& job, Id zone) const {
    return job.spec.zone == zone || (job.spec.one_zone && job.zones.count(zone) > 0);
}

// With `workers`, only what stands on machines that are silent.
void ZoneFailoverManager::mark_displaced(Ms now, Id zone, const WorkerManager* workers) {
    const ClusterState& cluster = context_.cluster;
    for (const Machine& m : cluster.machines) {
        bool silent = !workers || !workers->reported_recently(m, now);
        if (m.terminated || m.zone != zone || !silent) {
            continue;
        }
        for (TaskRef ref : m.tasks) {
            const Job& job = cluster.jobs[ref.job];
            if (!job.cancelled && job.spec.zone != zone) {
                displaced_.mark(now, cluster, ref.job, zone);
            }
        }
    }
    // What the first machines to go held was taken off them before there was a suspicion.
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& job = cluster.jobs[id];
        bool lately = job.interrupted_in == zone && job.interrupted_at >= 0 &&
                      now < job.interrupted_at + kInterruptedLately;
        if (lately && job.alive && !job.cancelled && !job.retry_queue.empty() &&
            job.spec.zone != zone) {
            displaced_.mark(now, cluster, id, zone);
        }
    }
}

// Work that an earlier leader had already taken off the lost zone: it was started once and waits.
void ZoneFailoverManager::mark_interrupted(Ms now, Id zone) {
    const ClusterState& cluster = context_.cluster;
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& job = cluster.jobs[id];
        bool started =
            std::any_of(job.retry_queue.begin(), job.retry_queue.end(), [&](std::uint32_t task) {
                return context_.cluster.task({id, task}).attempt > 0;
            });
        if (job.alive && !job.cancelled && job.spec.zone != zone && started) {
            displaced_.mark(now, cluster, id, zone);
        }
    }
}

void ZoneFailoverManager::tell_loss(Id id) const {
    const ClusterState& cluster = context_.cluster;
    std::map<Id, std::uint32_t> by_class;
    for (Id job : displaced_.jobs()) {
        by_class[cluster.jobs[job].spec.job_class] += displaced_.zone_of(job) == id;
    }
    std::string list;
    for (const auto& [job_class, count] : by_class) {
        std::string name = job_class == kNone ? "-" : cluster.names.job_classes.name(job_class);
        list += fmt::format(" {}:{}", name, count);
    }
    auto bound = std::count_if(cluster.jobs.begin(), cluster.jobs.end(), [id](const Job& job) {
        return job.alive && !job.cancelled && job.spec.zone == id;
    });
    spdlog::info("zone {}: displaced jobs by class:{}; {} jobs are bound to it and wait",
                 zones_[id].name, list.empty() ? " none" : list, bound);
}

void ZoneFailoverManager::end_observation(Ms now) {
    std::set<Id> not_well;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        if (failing(zone)) {
            not_well.insert(zone);
        }
    }
    for (const DisplacedWork::ClassDone& done :
         displaced_.collect_finished(now, context_.cluster, not_well)) {
        std::string name = done.job_class == kNone
                               ? "-"
                               : context_.controller.names.job_classes.name(done.job_class);
        spdlog::info("zone {}: displaced work of {} runs again, {} jobs after {:.1f} s{}",
                     zones_[done.zone].name, name, done.run_again, seconds(done.took),
                     done.ended > 0 ? fmt::format(", {} ended meanwhile", done.ended) : "");
    }
    evacuating_ = false;
    restricts_ = false;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        bool failed = acted_on(zone) == ZoneState::lost || acted_on(zone) == ZoneState::returning;
        restricts_ = restricts_ || failed;
        evacuating_ = evacuating_ || ((failed || failing(zone)) && !displaced_.empty());
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

// ---- placing

void ZoneFailoverManager::begin_round(Ms now, const FreeCapacity& free_capacity) {
    now_ = now;
    reserve_.clear();
    if (!restricts_ && !evacuating_) {
        return;
    }
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        build_gate(now, zone, free_capacity);
    }
    build_reserve(now, free_capacity);
}

void ZoneFailoverManager::build_gate(Ms now, Id zone, const FreeCapacity& free_capacity) {
    Gate& gate = gates_[zone];
    gate = {};
    gate.state = acted_on(zone);
    if (gate.state == ZoneState::up || gate.state == ZoneState::suspect) {
        return;
    }
    Resources capacity;
    Resources allocated;
    for (const FreeCapacity::MachineGroup& machine_group : free_capacity.groups()) {
        if (machine_group.zone != zone) {
            continue;
        }
        for (const FreeCapacity::MachineCapacity& free : machine_group.machines) {
            const Machine& machine = context_.cluster.machines[free.machine];
            capacity += machine_group.size;
            allocated += machine.used;
            count_starting(gate, machine);
        }
    }
    RecoveryRamp ramp(settings_, zones_[zone].durable.failed_ramps);
    double share = gate.state == ZoneState::returning ? ramp.share(now - zones_[zone].durable_since)
                                                      : ramp.first_share();
    gate.capacity = capacity * share - allocated;
    gate.first = allocated.cpus <= 0 && allocated.gpus <= 0 && allocated.ram <= 0;
}

void ZoneFailoverManager::count_starting(Gate& gate, const Machine& machine) {
    ClusterState& cluster = context_.cluster;
    gate.fetches += static_cast<std::uint32_t>(cluster.image_fetches_in_progress(machine));
    for (TaskRef ref : machine.tasks) {
        bool starts = cluster.task(ref).state != TaskState::running;
        if (cluster.jobs[ref.job].spec.service() && starts) {
            ++gate.replicas_starting;
            gate.jobs_starting.insert(ref.job);
        }
    }
}

void ZoneFailoverManager::build_reserve(Ms now, const FreeCapacity& free_capacity) {
    bool hold = false;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        hold =
            hold || (failing(zone) && now < zones_[zone].failing_since + to_ms(settings_.hold_s));
    }
    if (!hold || !evacuating_) {
        return;
    }
    const ClusterState& cluster = context_.cluster;
    for (Id id : displaced_.jobs()) {
        int class_position = displaced_.evacuation_position(cluster, id);
        const Job& job = cluster.jobs[id];
        if (class_position == displaced_.order().last_position() || job.cancelled) {
            continue;
        }
        auto leaving = job.zones.find(displaced_.zone_of(id));
        std::uint32_t tasks = leaving == job.zones.end() ? 0 : leaving->second;
        tasks += std::min(static_cast<std::uint32_t>(job.retry_queue.size()),
                          cluster.quota_headroom(job.spec.team, job.spec.each));
        if (tasks > 0) {
            reserve_.claim(job.spec, static_cast<int>(job.spec.priority), class_position, tasks);
        }
    }
    if (reserve_.empty()) {
        return;
    }
    for (const FreeCapacity::MachineGroup& machine_group : free_capacity.groups()) {
        if (!open(machine_group.zone)) {
            continue;
        }
        for (const FreeCapacity::MachineCapacity& capacity : machine_group.machines) {
            reserve_.count({machine_group.machine_type, machine_group.zone, machine_group.spot,
                            capacity.free});
        }
    }
}

bool ZoneFailoverManager::open(Id zone) const {
    ZoneState state = acted_on(zone);
    return state == ZoneState::up || state == ZoneState::suspect || !any_open();
}

bool ZoneFailoverManager::any_open() const {
    return std::any_of(zones_.begin(), zones_.end(),
                       [](const Zone& zone) { return zone.durable.state == ZoneState::up; });
}

bool ZoneFailoverManager::admits(Id id, Id zone) const {
    if (!restricts_ || open(zone)) {
        return true;
    }
    const Gate& gate = gates_[zone];
    const Job& job = context_.cluster.jobs[id];
    if (job.spec.service() &&
        (gate.replicas_starting >= settings_.replicas || gate.jobs_starting.count(id) > 0)) {
        return false;
    }
    if (waited_long(id)) {
        return true;
    }
    if (gate.state == ZoneState::lost && !bound_to(job, zone)) {
        return false;
    }
    std::uint32_t together = job.spec.gang() ? job.spec.tasks - job.assigned : 1;
    Resources wanted = job.spec.each * static_cast<double>(together);
    return gate.first || wanted.fits_in(gate.capacity);
}

bool ZoneFailoverManager::admits_fetch(Id zone, int fetches) const {
    ZoneState state = acted_on(zone);
    if (!restricts_ || state == ZoneState::up || state == ZoneState::suspect) {
        return true;
    }
    return static_cast<std::uint32_t>(fetches) < settings_.fetches_per_machine &&
           gates_[zone].fetches < settings_.fetches_per_zone;
}

bool ZoneFailoverManager::reserved(Id job, int priority,
                                   const EvacuationReserve::Place& place) const {
    if (reserve_.empty()) {
        return false;
    }
    const Job& j = context_.cluster.jobs[job];
    return reserve_.blocks(j.spec.each, priority,
                           displaced_.evacuation_position(context_.cluster, job), place);
}

void ZoneFailoverManager::placed(Id id, const EvacuationReserve::Place& place, bool fetches) {
    if (!restricts_ && reserve_.empty()) {
        return;
    }
    const Job& job = context_.cluster.jobs[id];
    reserve_.take(job.spec.each, place);
    reserve_.fulfil(job.spec.job_class, static_cast<int>(job.spec.priority),
                    displaced_.evacuation_position(context_.cluster, id));
    if (place.zone >= gates_.size()) {
        return;
    }
    Gate& gate = gates_[place.zone];
    gate.capacity -= job.spec.each;
    gate.fetches += fetches;
    // The rest of a gang follows its first member.
    gate.first = gate.first && job.spec.gang() && job.assigned < job.spec.tasks;
    if (job.spec.service()) {
        ++gate.replicas_starting;
        gate.jobs_starting.insert(id);
    }
}

bool ZoneFailoverManager::waits_for_zone(Id job) const {
    Id zone = context_.cluster.jobs[job].spec.zone;
    return restricts_ && zone != kNone && lost(zone);
}

// ---- renting

bool ZoneFailoverManager::lost(Id zone) const { return acted_on(zone) == ZoneState::lost; }

bool ZoneFailoverManager::waited_long(Id job) const {
    return now_ >= context_.cluster.jobs[job].waiting_since + to_ms(settings_.wait_most_s);
}

std::uint32_t ZoneFailoverManager::scale_out_allowance(Id zone, std::uint32_t reporting,
                                                       std::uint32_t on_their_way,
                                                       Id for_job) const {
    ZoneState state = acted_on(zone);
    if (!restricts_ || state == ZoneState::up || state == ZoneState::suspect) {
        return kNoLimit;
    }
    bool tried = for_job != kNone && waited_long(for_job);
    if (state == ZoneState::lost && any_open() && !tried) {
        return 0;
    }
    RecoveryRamp ramp(settings_, zones_[zone].durable.failed_ramps);
    std::uint32_t most = ramp.unproven_machines(reporting);
    return most - std::min(most, on_their_way);
}

std::uint32_t ZoneFailoverManager::open_zones() const {
    auto up = std::count_if(zones_.begin(), zones_.end(),
                            [](const Zone& zone) { return zone.durable.state == ZoneState::up; });
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(up));
}

}  // namespace walkford
