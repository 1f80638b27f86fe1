#include "coordination/placement/preemption.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kEvery = 500;
constexpr int kMostPreemptions = 8;  // jobs that look for work to stop, in one go
constexpr Ms kMoveReplicasAfter = 60000;
}  // namespace

// A replica never frees its place by itself: for work that has waited long it is stopped, to run
// again elsewhere. (Three replicas on one of a zone's four small machines kept a gang of four from
// ever beginning.)
bool Preemption::may_move(Ms now, const Job& v, const Job& j) {
    return v.spec.service() && !j.spec.service() && now >= j.waiting_since + kMoveReplicasAfter;
}

bool Preemption::may_preempt(Ms now, const Job& v, const Job& j) const {
    const ClusterState& cluster = context_.cluster;
    if (v.spec.starts_together()) {
        return false;
    }
    if (may_move(now, v, j)) {
        return true;
    }
    if (v.effective_priority() >= static_cast<int>(j.spec.priority)) {
        return false;
    }
    // What a team runs within its guarantee need not make room for others.
    if (v.spec.team != j.spec.team && cluster.within_guaranteed_share(v.spec.team, Resources{})) {
        return false;
    }
    // Work that can run nowhere else only loses, unless nobody asked for it to start soon.
    return classes_.elsewhere(v.spec, j.spec) ||
           classes_.start_objective_s(v.spec) > classes_.start_objective_s(j.spec);
}

// May the victim's work make room for the job, by priority or by guarantee?
bool Preemption::preemptible(Ms now, const Job& v, const Job& j, bool guaranteed) const {
    if (v.effective_priority() < static_cast<int>(j.spec.priority) || may_move(now, v, j)) {
        return true;
    }
    return guaranteed && v.spec.team != j.spec.team && context_.cluster.team(v.spec.team) &&
           !context_.cluster.within_guaranteed_share(v.spec.team, Resources{});
}

// Room for work of higher priority, or for a team within its guarantee from one beyond its own. The
// work stopped saves first; the room is kept for whom it was made. At most two are helped and a few
// looked at in one go; the next goes on where this one stopped.
void Preemption::tick(Ms now, const std::vector<Id>& order, const std::vector<Id>& schedulable) {
    if (now < next_) {
        return;
    }
    next_ = now + kEvery;
    ClusterState& cluster = context_.cluster;
    // One job of each class and team with work that can be stopped, of the lowest rank: who could
    // stop none of these need not look at two thousand machines.
    running_.clear();
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& j = cluster.jobs[id];
        if (!j.alive || j.assigned == 0 || j.spec.starts_together()) {
            continue;
        }
        auto [it, fresh] = running_.try_emplace({j.spec.job_class, j.spec.team}, id);
        if (!fresh && j.effective_priority() < cluster.jobs[it->second].effective_priority()) {
            it->second = id;
        }
    }
    if (running_.empty()) {
        return;
    }
    int made = 0;
    int tried = 0;
    if (cursor_ >= order.size()) {
        cursor_ = 0;
    }
    for (std::size_t n = 0; n < order.size() && made < 2 && tried < kMostPreemptions; ++n) {
        Id id = order[cursor_];
        cursor_ = (cursor_ + 1) % order.size();
        const Job& j = cluster.jobs[id];
        const JobSpec& s = j.spec;
        if (!j.alive || j.cancelled || j.ending || j.waiting() == 0 || j.not_before > now) {
            continue;
        }
        if (now < j.waiting_since + to_ms(context_.controller.operator_settings.preempt_after_s)) {
            continue;
        }
        if (s.starts_together() || !cluster.within_quota(s.team, s.each)) {
            continue;
        }
        bool guaranteed = cluster.within_guaranteed_share(s.team, s.each);
        bool any = std::any_of(running_.begin(), running_.end(), [&](const auto& entry) {
            const Job& v = cluster.jobs[entry.second];
            return preemptible(now, v, j, guaranteed) && classes_.elsewhere(v.spec, s);
        });
        if (!any) {
            continue;
        }
        bool being_made = std::any_of(cluster.machines.begin(), cluster.machines.end(),
                                      [&](const Machine& m) { return m.reservation.job == id; });
        if (being_made) {
            continue;
        }
        ++tried;
        made += make_room(now, id, schedulable);
    }
    if (made < 2 && tried < kMostPreemptions) {
        cursor_ = 0;  // all were looked at
    }
}

bool Preemption::make_room(Ms now, Id id, const std::vector<Id>& schedulable) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[id];
    const JobSpec& s = j.spec;
    bool guaranteed = cluster.within_guaranteed_share(s.team, s.each);
    std::map<Id, bool> may;  // by the victim's job
    double best_cost = 1e18;
    Id best = kNone;
    std::vector<TaskRef> best_victims;
    for (Id mid : schedulable) {
        const Machine& m = cluster.machines[mid];
        const MachineType* machine_type = cluster.machine_type(m.machine_type);
        if (!machine_type || m.reservation.job != kNone ||
            ClusterState::slots(s, m.machine_type, m.zone, m.spot, machine_type->size) == 0) {
            continue;
        }
        if (s.one_zone && !j.zones.empty() && j.zones.begin()->first != m.zone) {
            continue;
        }
        if (s.spread && j.zones.count(m.zone) && j.zones.at(m.zone) >= s.zone_most()) {
            continue;
        }
        if (j.failed_on.count(mid)) {
            continue;
        }
        std::vector<std::pair<double, TaskRef>> victims;
        for (TaskRef ref : m.tasks) {
            const Job& v = cluster.jobs[ref.job];
            const Task& t = cluster.task(ref);
            if (t.stopping || v.spec.starts_together()) {
                continue;
            }
            auto [it, fresh] = may.try_emplace(ref.job, false);
            // Work that can run nowhere else would only lose what it was doing.
            if (fresh) {
                it->second = preemptible(now, v, j, guaranteed) && classes_.elsewhere(v.spec, s);
            }
            if (!it->second) {
                continue;
            }
            double ran =
                t.running_since < 0 ? 0 : static_cast<double>(now - t.running_since) / 1000.0;
            double cost =
                1 + (v.spec.checkpoint_interval_s > 0 ? v.spec.checkpoint_duration_s : ran);
            // One that is nearly over frees its room by itself.
            if (t.running_since >= 0 && v.spec.estimate_s > 0 && ran > 0.8 * v.spec.estimate_s) {
                cost += v.spec.checkpoint_duration_s;
            }
            victims.emplace_back(cost, ref);
        }
        std::sort(victims.begin(), victims.end());
        Resources free = machine_type->size - m.used;
        double cost = 0;
        std::vector<TaskRef> chosen;
        std::map<Id, Resources> taken;  // a team is not pushed below its guarantee
        for (const auto& [c, ref] : victims) {
            if (s.each.fits_in(free)) {
                break;
            }
            const Job& v = cluster.jobs[ref.job];
            Resources& gone = taken[v.spec.team];
            if (v.spec.priority >= s.priority &&
                cluster.within_guaranteed_share(v.spec.team, Resources{} - gone)) {
                continue;
            }
            gone += v.spec.each;
            free += v.spec.each;
            cost += c;
            chosen.push_back(ref);
        }
        if (chosen.empty() || !s.each.fits_in(free)) {
            continue;
        }
        if (cost < best_cost) {
            best_cost = cost;
            best = mid;
            best_victims = std::move(chosen);
        }
    }
    if (best == kNone) {
        return false;
    }
    Machine& m = cluster.machines[best];
    double save = 0;
    for (TaskRef ref : best_victims) {
        save = std::max(save, cluster.jobs[ref.job].spec.checkpoint_duration_s);
    }
    spdlog::info("{} takes room on {}: {} tasks are stopped", s.id, m.name, best_victims.size());
    m.reservation.job = id;
    m.reservation.until =
        now + to_ms(save + 2 * context_.controller.platform_settings.report_s) + 3000;
    m.reservation.ready_at = now;
    for (TaskRef ref : best_victims) {
        lifecycle_.stop(ref, cluster.jobs[ref.job].spec.checkpoint_duration_s + 1, now, true);
    }
    return true;
}

}  // namespace walkford
