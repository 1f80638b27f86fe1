#include "coordination/placement/placer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kRoundEvery = 400;
// Rounds share what many reports bring within so long: with two thousand machines one was begun at
// almost every report, and looked at all of them each time.
constexpr Ms kRoundSpacing = 50;
// A round ends after so many looks at a machine, if its time isn't spent before.
constexpr std::size_t kMostLooked = 400000;
// Placements not yet written are bounded: more would only wait for the state service.
constexpr std::uint32_t kMostPerJob = 256;
}  // namespace

// One that has not begun rises by a priority each time it has waited so long again: strict priority
// would let the lowest wait for ever while higher work keeps coming. The rest of one that has begun
// waits by its own priority: under several times the usual load the arrays begun first took every
// place for the rest of the day, and less than half of their class ever began.
int Placer::aged_priority(const Job& j, Ms since, Ms now, double priority_aging_s) {
    int own = static_cast<int>(j.spec.priority);
    if (priority_aging_s <= 0 || j.assigned > 0 || j.done > 0) {
        return own;
    }
    return std::clamp(own + static_cast<int>((now - since) / to_ms(priority_aging_s)), own, 4);
}

int Placer::aged_priority(Id job) const {
    return aged_priority(context_.cluster.jobs[job], zone_failover_.waits_since(job), now_,
                         context_.controller.operator_settings.priority_aging_s);
}

std::vector<Id> Placer::waiting_order(const ClusterState& cluster, Ms now, double priority_aging_s,
                                      const ZoneFailoverManager& zone_failover) {
    std::vector<Id> order;
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& j = cluster.jobs[id];
        if (j.alive && !j.cancelled && !j.ending && j.waiting() > 0 && j.not_before <= now) {
            order.push_back(id);
        }
    }
    // Within a priority displaced work goes first, by its class; then guarantee demand before
    // borrowed; then age.
    std::vector<std::tuple<int, int, int, Ms, std::uint64_t, Id>> ranked;
    ranked.reserve(order.size());
    for (Id id : order) {
        const Job& j = cluster.jobs[id];
        ranked.emplace_back(-aged_priority(j, zone_failover.waits_since(id), now, priority_aging_s),
                            zone_failover.evacuation_position(id),
                            cluster.within_guaranteed_share(j.spec.team, j.spec.each) ? 0 : 1,
                            j.start_deadline, j.created_version, id);
    }
    std::sort(ranked.begin(), ranked.end());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = std::get<5>(ranked[i]);
    }
    return order;
}

// Takes a task into the cluster state; keeps the round's own view right.
void Placer::put(TaskRef ref, Id machine, std::uint32_t attempt, Ms now) {
    ClusterState& cluster = context_.cluster;
    const Machine& m = cluster.machines[machine];
    const JobSpec& s = cluster.jobs[ref.job].spec;
    classes_.take(m, s.each);
    EvacuationReserve::Place place{m.machine_type, m.zone, m.spot,
                                   cluster.machine_type(m.machine_type)->size - m.used};
    bool cold = s.image != kNone && m.images.count(s.image) == 0;
    cluster.assign(ref, machine, attempt, now);
    zone_failover_.placed(ref.job, place, cold);
    free_capacity_.update(cluster, machine);
}

bool Placer::over_in_time(const JobSpec& s, const Machine& m, double fetch_s) const {
    // Estimates are often wrong by half.
    double span = fetch_s + 1.5 * s.estimate_s + 2 * context_.controller.platform_settings.report_s;
    return !s.starts_together() && s.estimate_s > 0 && now_ + to_ms(span) <= m.reservation.ready_at;
}

bool Placer::admits(Id id, const FreeCapacity::MachineGroup& machine_group) const {
    const Job& job = context_.cluster.jobs[id];
    const JobSpec& s = job.spec;
    if (!FreeCapacity::allowed(s, machine_group) ||
        !zone_failover_.admits(id, machine_group.zone)) {
        return false;
    }
    if (s.one_zone && !job.zones.empty() && job.zones.begin()->first != machine_group.zone) {
        return false;
    }
    if (!s.spread) {
        return true;
    }
    auto it = job.zones.find(machine_group.zone);
    return it == job.zones.end() || it->second < s.zone_most();
}

bool Placer::blocked_by_failover(Id id, const FreeCapacity::MachineGroup& machine_group,
                                 const FreeCapacity::MachineCapacity& capacity, bool cold) const {
    if (!zone_failover_.restricts()) {
        return false;
    }
    int fetches =
        context_.cluster.image_fetches_in_progress(context_.cluster.machines[capacity.machine]);
    if (cold && !zone_failover_.admits_fetch(machine_group.zone, fetches)) {
        return true;
    }
    return zone_failover_.reserved(
        id, aged_priority(id),
        {machine_group.machine_type, machine_group.zone, machine_group.spot, capacity.free});
}

// The order in which machines are tried: where this job hasn't failed, where the task starts
// soonest and other classes lose least room, spot first for those who may, then the fullest.
std::optional<Placer::Score> Placer::score(Id job_id,
                                           const FreeCapacity::MachineGroup& machine_group,
                                           const FreeCapacity::MachineCapacity& capacity) const {
    const ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[job_id];
    const JobSpec& s = job.spec;
    if (!s.each.fits_in(capacity.free) || !admits(job_id, machine_group)) {
        return std::nullopt;
    }
    const Machine& m = cluster.machines[capacity.machine];
    const MachineType* machine_type = cluster.machine_type(m.machine_type);
    double fetch = 0;
    bool cold = s.image != kNone && !m.images.count(s.image);
    if (cold && machine_type->fetch_gb_per_s > 0) {
        // Images fetched at the same time share the rate.
        fetch = s.image_gb / machine_type->fetch_gb_per_s *
                (1 + context_.cluster.image_fetches_in_progress(m));
    }
    if (blocked_by_failover(job_id, machine_group, capacity, cold)) {
        return std::nullopt;
    }
    if (m.reservation.job != job_id) {
        if (m.reservation.job != kNone && !over_in_time(s, m, fetch)) {
            return std::nullopt;
        }
        // (Not from services: a replica that may be in one zone only, as its job is spread, waited
        // for ever for the places kept there. They are few, and wanted at once.)
        if (!s.service() && classes_.reserved_for_others(job, machine_group, capacity.free)) {
            return std::nullopt;
        }
    }
    double wait = fetch + context_.controller.operator_settings.opportunity_cost_s *
                              classes_.opportunity_cost(job, machine_group, capacity.free);
    Score least = least_score(job, machine_group, capacity);
    std::get<1>(least) = std::round(wait / 2);
    return least;
}

Placer::Score Placer::least_score(const Job& job, const FreeCapacity::MachineGroup& machine_group,
                                  const FreeCapacity::MachineCapacity& capacity) {
    double left = machine_group.size.cpus > 0 ? capacity.free.cpus / machine_group.size.cpus : 0;
    return {capacity.failing || job.failed_on.count(capacity.machine) ? 1 : 0, 0,
            job.spec.spot && !machine_group.spot ? 1 : 0, left, capacity.machine};
}

Placer::Picker::Picker(const Placer& placer, Id job_id, Id zone_only)
    : placer_(placer), job_(job_id) {
    const Job& job = placer.context_.cluster.jobs[job_id];
    const auto& groups = placer.free_capacity_.groups();
    for (std::uint32_t i = 0; i < groups.size(); ++i) {
        const FreeCapacity::MachineGroup& machine_group = groups[i];
        if (zone_only != kNone && machine_group.zone != zone_only) {
            continue;
        }
        if (!job.spec.each.fits_in(machine_group.most) || !placer.admits(job_id, machine_group)) {
            continue;
        }
        placer.looked_ += machine_group.machines.size();
        for (std::uint32_t r = 0; r < machine_group.machines.size(); ++r) {
            if (!job.spec.each.fits_in(machine_group.machines[r].free)) {
                continue;
            }
            heap_.push_back({least_score(job, machine_group, machine_group.machines[r]), i, r});
        }
    }
    std::make_heap(heap_.begin(), heap_.end());
}

// Looks closely at the machine on top, and moves or drops it; nothing where it is no place (any
// more).
std::optional<Placer::Score> Placer::Picker::put_right() {
    const Entry& top = heap_.front();
    const FreeCapacity::MachineGroup& machine_group =
        placer_.free_capacity_.groups()[top.machine_group];
    ++placer_.looked_;
    std::optional<Score> real =
        placer_.score(job_, machine_group, machine_group.machines[top.machine]);
    std::pop_heap(heap_.begin(), heap_.end());
    if (real) {
        heap_.back().score = *real;
        std::push_heap(heap_.begin(), heap_.end());
    } else {
        heap_.pop_back();
    }
    return real;
}

Id Placer::Picker::next() {
    while (!heap_.empty()) {
        Id machine = std::get<Id>(heap_.front().score);
        std::optional<Score> real = put_right();
        if (real && std::get<Id>(heap_.front().score) == machine) {
            return machine;
        }
    }
    return kNone;
}

// (Its image may be on its way now, so the same machine may have become a better place.)
void Placer::Picker::placed() { put_right(); }

std::uint32_t Placer::place_batch(Ms now, Id id) {
    ClusterState& cluster = context_.cluster;
    std::uint32_t placed = 0;
    Picker picker(*this, id, kNone);
    while (placed < kMostPerJob && cluster.jobs[id].waiting() > 0) {
        Job& j = cluster.jobs[id];
        if (!cluster.within_quota(j.spec.team, j.spec.each)) {
            break;
        }
        Id machine = picker.next();
        if (machine == kNone) {
            break;
        }
        std::uint32_t index;
        if (!j.retry_queue.empty()) {
            index = j.retry_queue.front();
            j.retry_queue.pop_front();
        } else {
            index = j.next_unassigned++;
        }
        TaskRef ref{id, index};
        put(ref, machine, cluster.task(ref).attempt + 1, now);
        picker.placed();
        spdlog::debug("{}/{} attempt {} to {}", j.spec.id, index, cluster.task(ref).attempt,
                      cluster.machines[machine].name);
        ++placed;
    }
    return placed;
}

// Members lost before their gang began, with the attempt of those that wait for them.
void Placer::replace_members(Ms now, Id id) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[id];
    if (j.spec.tasks <= 1 || !lifecycle_.unbegun(id)) {
        return;
    }
    // (A new leader finds gangs with members missing, and gives them the same time.)
    if (j.replace_by < 0) {
        j.replace_by = now + TaskLifecycle::kReplaceFor;
    }
    std::uint32_t attempt = 0;
    for (std::uint32_t i = 0; i < j.spec.tasks; ++i) {
        const Task& t = cluster.task({id, i});
        if (t.machine != kNone) {
            attempt = std::max(attempt, t.attempt);
        }
    }
    Picker picker(*this, id, kNone);
    while (!j.retry_queue.empty() && cluster.within_quota(j.spec.team, j.spec.each)) {
        Id machine = picker.next();
        if (machine == kNone) {
            break;
        }
        std::uint32_t index = j.retry_queue.front();
        // Only this attempt's own: a member that has used a later one can't join.
        if (cluster.task({id, index}).attempt > attempt) {
            break;
        }
        j.retry_queue.pop_front();
        put({id, index}, machine, attempt, now);
        picker.placed();
        spdlog::debug("{}/{} attempt {} replaced on {}", j.spec.id, index, attempt,
                      cluster.machines[machine].name);
    }
    if (j.retry_queue.empty()) {
        j.replace_by = -1;
    } else if (now >= j.replace_by) {
        j.replace_by = -1;
        lifecycle_.stop_job(id, 0, now, true);
    }
}

std::uint32_t Placer::places(Id id, Id zone) const {
    const JobSpec& s = context_.cluster.jobs[id].spec;
    std::uint32_t n = 0;
    for (const FreeCapacity::MachineGroup& machine_group : free_capacity_.groups()) {
        if ((zone != kNone && machine_group.zone != zone) || !s.each.fits_in(machine_group.most)) {
            continue;
        }
        if (!FreeCapacity::allowed(s, machine_group) ||
            !zone_failover_.admits(id, machine_group.zone)) {
            continue;
        }
        looked_ += machine_group.machines.size();
        for (const FreeCapacity::MachineCapacity& capacity : machine_group.machines) {
            if (n >= s.tasks) {
                return n;
            }
            if (!s.each.fits_in(capacity.free)) {
                continue;
            }
            Id reserved_for = context_.cluster.machines[capacity.machine].reservation.job;
            if (reserved_for != kNone && reserved_for != id) {
                continue;
            }
            n += ClusterState::slots(s, machine_group.machine_type, machine_group.zone,
                                     machine_group.spot, capacity.free);
        }
    }
    return n;
}

bool Placer::place_gang(Ms now, Id id) {
    ClusterState& cluster = context_.cluster;
    const JobSpec& s = cluster.jobs[id].spec;
    // A new attempt only after every task of the old one is gone.
    if (cluster.jobs[id].assigned > 0 ||
        cluster.jobs[id].waiting() < s.tasks - cluster.jobs[id].done) {
        return false;
    }
    if (cluster.quota_headroom(s.team, s.each) < s.tasks) {
        return false;
    }
    std::vector<Id> zones{kNone};
    if (s.one_zone) {
        zones.clear();
        for (const FreeCapacity::MachineGroup& machine_group : free_capacity_.groups()) {
            if (std::find(zones.begin(), zones.end(), machine_group.zone) == zones.end()) {
                zones.push_back(machine_group.zone);
            }
        }
    }
    // A zone without places enough is seen without trying.
    std::erase_if(zones, [&](Id zone) { return places(id, zone) < s.tasks; });
    if (zones.empty()) {
        return false;
    }
    if (zones.size() > 1) {
        // The zone that the best machine for one task lies in is tried first.
        Id first = Picker(*this, id, kNone).next();
        if (first != kNone) {
            auto it = std::find(zones.begin(), zones.end(), cluster.machines[first].zone);
            if (it != zones.end()) {
                std::iter_swap(zones.begin(), it);
            }
        }
    }
    std::uint32_t attempt = 0;
    for (std::uint32_t i = 0; i < s.tasks; ++i) {
        attempt = std::max(attempt, cluster.task({id, i}).attempt);
    }
    ++attempt;
    for (Id zone : zones) {
        std::vector<std::uint32_t> placed;
        Picker picker(*this, id, zone);
        for (std::uint32_t i = 0; i < s.tasks; ++i) {
            Id machine = picker.next();
            if (machine == kNone) {
                break;
            }
            put({id, i}, machine, attempt, now);
            picker.placed();
            placed.push_back(i);
        }
        if (placed.size() == s.tasks) {
            cluster.jobs[id].retry_queue.clear();
            cluster.jobs[id].next_unassigned = s.tasks;
            reservation_.release(id);
            cluster.jobs[id].replace_by = -1;
            spdlog::debug("{} attempt {}: all {} tasks placed", s.id, attempt, s.tasks);
            return true;
        }
        for (std::uint32_t i : placed) {
            Id machine = cluster.task({id, i}).machine;
            cluster.unassign({id, i});
            cluster.task({id, i}).phase = TaskPhase::pending;
            cluster.task({id, i}).attempt = attempt - 1;
            free_capacity_.update(cluster, machine);
        }
    }
    return false;
}

void Placer::round(Ms now, const WorkerManager& workers) {
    if (!context_.place_now && now < next_) {
        return;
    }
    // What many reports ask for at once is done in one round.
    if (now < last_round_at_ + kRoundSpacing) {
        return;
    }
    last_round_at_ = now;
    context_.place_now = false;
    next_ = now + kRoundEvery;
    ClusterState& cluster = context_.cluster;
    if (cluster.machine_types().empty()) {
        return;
    }
    std::vector<Id> schedulable;
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        Machine& m = cluster.machines[id];
        if (workers.schedulable(m, now)) {
            schedulable.push_back(id);
        }
        if (m.reservation.job != kNone &&
            (now >= m.reservation.until || !cluster.jobs[m.reservation.job].alive ||
             cluster.jobs[m.reservation.job].waiting() == 0)) {
            m.reservation.job = kNone;
        }
    }
    if (cursor_ >= order_.size()) {
        order_ = waiting_order(cluster, now, context_.controller.operator_settings.priority_aging_s,
                               zone_failover_);
        cursor_ = 0;
        blocked_.clear();
        reserving_ = 0;
    }
    now_ = now;
    free_capacity_.build(cluster, schedulable);
    classes_.count(now, free_capacity_);
    zone_failover_.begin_round(now, free_capacity_);
    if (zone_failover_.restricts()) {
        // Nothing is gathered or stopped in a zone that work comes back to slowly.
        std::erase_if(schedulable,
                      [&](Id id) { return !zone_failover_.open(cluster.machines[id].zone); });
    }
    // The budget keeps heartbeats and leases answered in time when thousands of jobs wait.
    auto deadline = context_.controller.stopwatch() +
                    to_ms(context_.controller.operator_settings.round_budget_ms);
    looked_ = 0;
    while (cursor_ < order_.size()) {
        place_job(now, order_[cursor_++], schedulable);
        bool spent = looked_ > kMostLooked || context_.controller.stopwatch() >= deadline;
        if (spent && cursor_ < order_.size()) {
            context_.place_now = true;
            break;
        }
    }
    context_.work.placing = looked_;
    if (cursor_ >= order_.size()) {
        ++rounds_;
    }
    if (context_.controller.operator_settings.preempt) {
        preemption_.tick(now, order_, schedulable);
    }
}

void Placer::place_job(Ms now, Id id, const std::vector<Id>& schedulable) {
    ClusterState& cluster = context_.cluster;
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    Job& j = cluster.jobs[id];
    if (!j.alive || j.cancelled || j.ending || j.waiting() == 0) {
        return;
    }
    // Who comes first waits for its team's limit; smaller tasks of the team that come later would
    // take every bit of it that frees up, and a large one would starve.
    const JobSpec& s = j.spec;
    // What it has risen to it keeps, or it would be stopped again as soon as it began.
    j.aged_priority = std::max(j.aged_priority, aged_priority(id));
    if (s.gang() && j.assigned > 0) {
        // Not kept back by who waits for the limit: that one may be waiting for what this gang
        // holds, and the two would wait for each other for ever.
        replace_members(now, id);
        return;
    }
    std::uint32_t least = s.gang() ? s.tasks : 1;
    Blocked& blocked = blocked_[s.team];
    auto own_priority = static_cast<int>(s.priority);
    if ((s.each.cpus > 0 && own_priority <= blocked.cpus) ||
        (s.each.gpus > 0 && own_priority <= blocked.gpus)) {
        return;
    }
    if (cluster.quota_headroom(s.team, s.each) < least && zone_failover_.waits_for_zone(id)) {
        return;  // it could not begin anyway, and keeps nobody back
    }
    if (cluster.quota_headroom(s.team, s.each) < least) {
        bool cpus = cluster.quota_headroom(s.team, {s.each.cpus, 0, 0}) < least;
        bool gpus = cluster.quota_headroom(s.team, {0, s.each.gpus, 0}) < least;
        if (cpus) {
            blocked.cpus = std::max(blocked.cpus, own_priority);
        }
        if (gpus) {
            blocked.gpus = std::max(blocked.gpus, own_priority);
        }
        return;
    }
    if (!s.gang()) {
        place_batch(now, id);
    } else if (!place_gang(now, id) && s.tasks > 1 &&
               reserving_ < operator_settings.max_reserving_gangs &&
               now >= j.waiting_since + to_ms(operator_settings.reserve_after_s)) {
        auto stop = [this, now](const Job& v, const Job& job) {
            return preemption_.may_preempt(now, v, job);
        };
        reserving_ += reservation_.reserve(now, id, schedulable, stop);
    }
}

}  // namespace walkford
