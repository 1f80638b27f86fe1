#include "coordination/zone_failover_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader.hpp"
#include "coordination/zone_failover/recovery_ramp.hpp"

namespace walkford {

namespace {
constexpr Ms kObserveEvery = 500;
constexpr Ms kProofFresh = 3000;  // the view is proven each second while the service answers
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

ZoneFailoverManager::ZoneFailoverManager(Term& term)
    : term_(term),
      settings_(term.core.policy.zone_failover),
      displaced_(EvacuationOrder(settings_, term.core.names)) {
    for (const std::string& name : term.core.platform.zones) {
        // (One that is named twice has one id.)
        if (term.core.names.zones.find(name) == zones_.size()) {
            zones_.emplace_back(settings_);
            zones_.back().name = name;
        }
    }
    gates_.resize(zones_.size());
}

// A new leader has yet to be found by the machines.
Ms ZoneFailoverManager::settled_at() const {
    constexpr Ms kFindLeader = 3000;
    return term_.elected_at + to_ms(2 * term_.core.platform.report_s) + kFindLeader;
}

bool ZoneFailoverManager::active() const {
    return settings_.enabled && term_.core.may_write(kFeatureZoneFailover);
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
    settle(now);
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
    const auto& stored = term_.core.view.zone_records;
    auto it = stored.find(zone.name);
    if (it == stored.end()) {
        return;
    }
    zone.stamp = it->second.stamp;
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
    if (zone.writing || now < zone.write_at || !term_.act) {
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
    const auto& stored = term_.core.view.zone_records;
    if (auto it = stored.find(zone.name); it != stored.end()) {
        zone.stamp = std::max(zone.stamp, it->second.stamp);
    }
    Txn txn;
    std::string key = keys::zone_record(zone.name);
    txn.conditions = {{keys::kLeader, term_.token}, {key, zone.stamp}};
    txn.writes = {{key, encode_zone(record), 0}};
    zone.writing = true;
    term_.core.state.txn(Urgency::leadership, std::move(txn),
                         [this, alive = std::weak_ptr<bool>(term_.alive), id, record](
                             Ms at, const StateReply& reply) {
                             if (!alive.expired()) {
                                 written(at, id, record, reply);
                             }
                         });
}

void ZoneFailoverManager::written(Ms now, Id id, const ZoneRecord& record,
                                  const StateReply& reply) {
    Zone& zone = zones_[id];
    zone.writing = false;
    if (reply.status == 200) {
        zone.stamp = reply.revision;
        zone.rewrite = false;
        zone.written_at = now;
        act_on(now, id, record);
        return;
    }
    zone.write_at = now + kRetry;
    // An earlier copy of ours may have got there: the view shows its stamp.
    if (reply.status == 409 && !term_.deposed_by(now, reply)) {
        term_.refresh(now);
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
    term_.place_now = true;
    term_.rent_now = true;
}

bool ZoneFailoverManager::failing(Id zone) const {
    return lost(zone) || zones_[zone].health.state() == ZoneState::suspect;
}

ZoneState ZoneFailoverManager::acted_on(Id zone) const {
    return zone < zones_.size() ? zones_[zone].durable.state : ZoneState::up;
}

// ---- evidence

bool ZoneFailoverManager::expects_report(const Machine& m, Ms now) const {
    if (!m.held || m.sick) {
        return false;
    }
    // One that an earlier leader used, or that the cloud lists as running, has a worker that should
    // have found this leader by now.
    bool was_up = m.cloud == CloudStatus::running || !m.tasks.empty();
    return m.reported || (!m.rented_now && was_up && now > settled_at());
}

ZoneFailoverManager::Hearing ZoneFailoverManager::hear(Ms now, const Machine& m,
                                                       MachineWatch& watch,
                                                       const WorkerManager& workers) const {
    bool leaves = m.gone || m.returning;
    if (leaves && !watch.left) {
        watch.left = true;
        // Given back for its silence; or taken unannounced, also before it could find this leader.
        bool unmet = !m.reported && !m.rented_now;
        bool taken = m.returning ? watch.last == Hearing::silent
                                 : watch.last != Hearing::not_expected || unmet;
        watch.taken_at = taken ? now : -1;
    }
    if (leaves) {
        bool counts = watch.taken_at >= 0 && now < watch.taken_at + kTakenCounts;
        return counts ? Hearing::silent : Hearing::not_expected;
    }
    bool heard = workers.heard_lately(m, now);
    // One that the cloud has said it takes says nothing of its zone.
    watch.noticed = m.notice_until >= 0 || (watch.noticed && !heard);
    bool expected = expects_report(m, now) && !watch.noticed;
    watch.last = !expected ? Hearing::not_expected : heard ? Hearing::heard : Hearing::silent;
    return watch.last;
}

void ZoneFailoverManager::observe_machines(Ms now, const WorkerManager& workers) {
    const ClusterState& cluster = term_.cluster;
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
    const Platform& platform = term_.core.platform;
    for (Zone& zone : zones_) {
        bool own = platform.zone == zone.name;
        zone.evidence.controllers = own;
        zone.evidence.controllers_heard = own;
        for (std::size_t i = 0; i < platform.peers.size(); ++i) {
            if (platform.peers[i].zone != zone.name) {
                continue;
            }
            ++zone.evidence.controllers;
            zone.evidence.controllers_heard +=
                term_.peer_heard && term_.peer_heard(now, i, kControllerHeard);
        }
    }
}

void ZoneFailoverManager::observe(Ms now, const WorkerManager& workers, const CloudManager& cloud) {
    bool conclusive = term_.act && now > settled_at() && term_.proven_until >= now - kProofFresh;
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
        evidence.relayed = term_.core.view.relayed(zones_[id].name);
        evidence.rental_refused = cloud.refused_lately(id, now);
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
    const ClusterState& cluster = term_.cluster;
    for (const Machine& m : cluster.machines) {
        bool silent = !workers || !workers->heard_lately(m, now);
        if (m.gone || m.zone != zone || !silent) {
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
        if (lately && job.alive && !job.cancelled && !job.again.empty() && job.spec.zone != zone) {
            displaced_.mark(now, cluster, id, zone);
        }
    }
}

// Work that an earlier leader had already taken off the lost zone: it was started once and waits.
void ZoneFailoverManager::mark_interrupted(Ms now, Id zone) {
    const ClusterState& cluster = term_.cluster;
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& job = cluster.jobs[id];
        bool started = std::any_of(job.again.begin(), job.again.end(), [&](std::uint32_t task) {
            return term_.cluster.task({id, task}).attempt > 0;
        });
        if (job.alive && !job.cancelled && job.spec.zone != zone && started) {
            displaced_.mark(now, cluster, id, zone);
        }
    }
}

void ZoneFailoverManager::tell_loss(Id id) const {
    const ClusterState& cluster = term_.cluster;
    std::map<Id, std::uint32_t> by_class;
    for (Id job : displaced_.jobs()) {
        by_class[cluster.jobs[job].spec.lane] += displaced_.zone_of(job) == id;
    }
    std::string list;
    for (const auto& [job_class, count] : by_class) {
        std::string name = job_class == kNone ? "-" : cluster.names.lanes.name(job_class);
        list += fmt::format(" {}:{}", name, count);
    }
    auto bound = std::count_if(cluster.jobs.begin(), cluster.jobs.end(), [id](const Job& job) {
        return job.alive && !job.cancelled && job.spec.zone == id;
    });
    spdlog::info("zone {}: displaced jobs by class:{}; {} jobs are bound to it and wait",
                 zones_[id].name, list.empty() ? " none" : list, bound);
}

void ZoneFailoverManager::settle(Ms now) {
    std::set<Id> not_well;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        if (failing(zone)) {
            not_well.insert(zone);
        }
    }
    for (const DisplacedWork::ClassDone& done : displaced_.settle(now, term_.cluster, not_well)) {
        std::string name =
            done.job_class == kNone ? "-" : term_.core.names.lanes.name(done.job_class);
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

int ZoneFailoverManager::rank(Id job) const {
    return evacuating_ ? displaced_.rank(term_.cluster, job) : displaced_.order().last_rank();
}

Ms ZoneFailoverManager::waits_since(Id job) const {
    Ms since = term_.cluster.jobs[job].waiting_since;
    return evacuating_ ? std::max(since, displaced_.since(term_.cluster, job)) : since;
}

// ---- placing

void ZoneFailoverManager::begin_round(Ms now, const FreeCapacity& rooms) {
    now_ = now;
    reserve_.clear();
    if (!restricts_ && !evacuating_) {
        return;
    }
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        build_gate(now, zone, rooms);
    }
    build_reserve(now, rooms);
}

void ZoneFailoverManager::build_gate(Ms now, Id zone, const FreeCapacity& rooms) {
    Gate& gate = gates_[zone];
    gate = {};
    gate.state = acted_on(zone);
    if (gate.state == ZoneState::up || gate.state == ZoneState::suspect) {
        return;
    }
    Amounts capacity;
    Amounts booked;
    for (const FreeCapacity::Sort& sort : rooms.sorts()) {
        if (sort.zone != zone) {
            continue;
        }
        for (const FreeCapacity::Room& room : sort.rooms) {
            const Machine& machine = term_.cluster.machines[room.machine];
            capacity += sort.size;
            booked += machine.used;
            count_starting(gate, machine);
        }
    }
    RecoveryRamp ramp(settings_, zones_[zone].durable.failed_ramps);
    double share = gate.state == ZoneState::returning ? ramp.share(now - zones_[zone].durable_since)
                                                      : ramp.first_share();
    gate.room = capacity * share - booked;
    gate.first = booked.cpus <= 0 && booked.gpus <= 0 && booked.ram <= 0;
}

void ZoneFailoverManager::count_starting(Gate& gate, const Machine& machine) {
    ClusterState& cluster = term_.cluster;
    gate.fetches += static_cast<std::uint32_t>(cluster.images_on_their_way(machine));
    for (TaskRef ref : machine.tasks) {
        bool starts = cluster.task(ref).state != TaskState::running;
        if (cluster.jobs[ref.job].spec.service() && starts) {
            ++gate.replicas_starting;
            gate.jobs_starting.insert(ref.job);
        }
    }
}

void ZoneFailoverManager::build_reserve(Ms now, const FreeCapacity& rooms) {
    bool held = false;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        held =
            held || (failing(zone) && now < zones_[zone].failing_since + to_ms(settings_.hold_s));
    }
    if (!held || !evacuating_) {
        return;
    }
    const ClusterState& cluster = term_.cluster;
    for (Id id : displaced_.jobs()) {
        int class_rank = displaced_.rank(cluster, id);
        const Job& job = cluster.jobs[id];
        if (class_rank == displaced_.order().last_rank() || job.cancelled) {
            continue;
        }
        auto leaving = job.zones.find(displaced_.zone_of(id));
        std::uint32_t tasks = leaving == job.zones.end() ? 0 : leaving->second;
        tasks += std::min(static_cast<std::uint32_t>(job.again.size()),
                          cluster.limit_room(job.spec.team, job.spec.each));
        if (tasks > 0) {
            reserve_.claim(job.spec, static_cast<int>(job.spec.priority), class_rank, tasks);
        }
    }
    if (reserve_.empty()) {
        return;
    }
    for (const FreeCapacity::Sort& sort : rooms.sorts()) {
        if (!open(sort.zone)) {
            continue;
        }
        for (const FreeCapacity::Room& room : sort.rooms) {
            reserve_.count({sort.kind, sort.zone, sort.spot, room.free});
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
    const Job& job = term_.cluster.jobs[id];
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
    std::uint32_t together = job.spec.gang() ? job.spec.tasks - job.placed : 1;
    Amounts wanted = job.spec.each * static_cast<double>(together);
    return gate.first || wanted.fits_in(gate.room);
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
    const Job& j = term_.cluster.jobs[job];
    return reserve_.blocks(j.spec.each, priority, displaced_.rank(term_.cluster, job), place);
}

void ZoneFailoverManager::placed(Id id, const EvacuationReserve::Place& place, bool fetches) {
    if (!restricts_ && reserve_.empty()) {
        return;
    }
    const Job& job = term_.cluster.jobs[id];
    reserve_.take(job.spec.each, place);
    reserve_.fulfil(job.spec.lane, static_cast<int>(job.spec.priority),
                    displaced_.rank(term_.cluster, id));
    if (place.zone >= gates_.size()) {
        return;
    }
    Gate& gate = gates_[place.zone];
    gate.room -= job.spec.each;
    gate.fetches += fetches;
    // The rest of a gang follows its first member.
    gate.first = gate.first && job.spec.gang() && job.placed < job.spec.tasks;
    if (job.spec.service()) {
        ++gate.replicas_starting;
        gate.jobs_starting.insert(id);
    }
}

bool ZoneFailoverManager::waits_for_zone(Id job) const {
    Id zone = term_.cluster.jobs[job].spec.zone;
    return restricts_ && zone != kNone && lost(zone);
}

// ---- renting

bool ZoneFailoverManager::lost(Id zone) const { return acted_on(zone) == ZoneState::lost; }

bool ZoneFailoverManager::waited_long(Id job) const {
    return now_ >= term_.cluster.jobs[job].waiting_since + to_ms(settings_.wait_most_s);
}

std::uint32_t ZoneFailoverManager::rentable(Id zone, std::uint32_t reporting,
                                            std::uint32_t on_their_way, Id for_job) const {
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
