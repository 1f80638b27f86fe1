#include "coordination/placement/gang_reservation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kKeepFor = 2500;  // renewed by every round that still finds the gang waiting
// A plan looks at every task of every machine: the next for that gang waits as long as this one has
// earned, on a small fleet not at all. (Plans a second old cost 0.12 of a busy day: what had become
// free was kept for nobody, and what was kept was no longer needed.)
constexpr std::size_t kLooksPerMs = 100;
constexpr Ms kStopEvery = 1000;       // one gang at a time has work stopped for it
constexpr Ms kWorthStopping = 10000;  // ... and only to start so much sooner
constexpr Ms kServiceEnd = 86400000;  // a replica runs until its job is cancelled
constexpr Ms kSameZone = 5000;        // a zone begun with is not left for less
}  // namespace

Ms GangReservation::expected_end(TaskRef ref, Ms now) const {
    const ClusterState& cluster = context_.cluster;
    const JobSpec& s = cluster.jobs[ref.job].spec;
    const Task& t = context_.cluster.task(ref);
    if (t.stopping) {
        return now +
               to_ms(s.checkpoint_duration_s + context_.controller.platform_settings.report_s);
    }
    if (s.service()) {
        return now + kServiceEnd;
    }
    Ms run = to_ms(s.estimate_s);
    if (t.running_since < 0) {
        const MachineType* machine_type =
            cluster.machine_type(cluster.machines[t.machine].machine_type);
        double fetch = machine_type && machine_type->fetch_gb_per_s > 0
                           ? s.image_gb / machine_type->fetch_gb_per_s
                           : 0;
        return now + run + to_ms(fetch);
    }
    // Estimates are often wrong by half: one that has run longer than its own goes on for a while.
    Ms ran = now - t.running_since;
    return now + std::max({Ms{2000}, run - ran, ran > run ? ran / 3 : 0});
}

std::vector<std::pair<Ms, TaskRef>> GangReservation::ends(Ms now, Id job, Id machine,
                                                          const MayPreempt* may_preempt) const {
    const ClusterState& cluster = context_.cluster;
    std::vector<std::pair<Ms, TaskRef>> list;
    looked_ += 1 + cluster.machines[machine].tasks.size();
    for (TaskRef ref : cluster.machines[machine].tasks) {
        const Job& v = cluster.jobs[ref.job];
        Ms end = expected_end(ref, now);
        if (may_preempt && (*may_preempt)(v, cluster.jobs[job])) {
            end = std::min(end, now + to_ms(v.spec.checkpoint_duration_s +
                                            2 * context_.controller.platform_settings.report_s));
        }
        list.emplace_back(end, ref);
    }
    std::sort(list.begin(), list.end());
    return list;
}

std::optional<GangReservation::Plan> GangReservation::plan(Ms now, Id id, Id zone,
                                                           const std::vector<Id>& schedulable,
                                                           const MayPreempt* may_preempt) const {
    const ClusterState& cluster = context_.cluster;
    const Job& j = cluster.jobs[id];
    const JobSpec& s = j.spec;
    std::vector<Slot> all;
    for (Id mid : schedulable) {
        const Machine& m = cluster.machines[mid];
        const MachineType* machine_type = cluster.machine_type(m.machine_type);
        if (!machine_type || (zone != kNone && m.zone != zone) || j.failed_on.count(mid)) {
            continue;
        }
        if (m.reservation.job != kNone && m.reservation.job != id) {
            continue;
        }
        if (ClusterState::slots(s, m.machine_type, m.zone, m.spot, machine_type->size) == 0) {
            continue;
        }
        Resources free = machine_type->size - m.used;
        std::uint32_t had = 0;
        auto count = [&](Ms at) {
            std::uint32_t n = ClusterState::slots(s, m.machine_type, m.zone, m.spot, free);
            for (; had < n; ++had) {
                all.push_back({at, mid});
            }
        };
        count(now);
        for (const auto& [end, ref] : ends(now, id, mid, may_preempt)) {
            free += cluster.jobs[ref.job].spec.each;
            count(end);
        }
    }
    std::sort(all.begin(), all.end());
    Plan p;
    std::map<Id, std::uint32_t> in_zone;
    for (const Slot& slot : all) {
        if (p.slots.size() == s.tasks) {
            break;
        }
        // A gang that must be spread can't use them all in one zone.
        if (++in_zone[cluster.machines[slot.machine].zone] > s.zone_most()) {
            continue;
        }
        p.slots.push_back(slot);
    }
    if (p.slots.size() < s.tasks) {
        return std::nullopt;
    }
    p.ready = p.slots.back().at;
    return p;
}

void GangReservation::release(Id job) {
    for (Machine& m : context_.cluster.machines) {
        if (m.reservation.job == job) {
            m.reservation.job = kNone;
        }
    }
}

bool GangReservation::reserve(Ms now, Id id, const std::vector<Id>& schedulable,
                              const MayPreempt& may_preempt) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[id];
    if (now < j.reserve_at) {
        return j.reserving;
    }
    j.reserving = false;
    looked_ = 0;
    std::vector<Id> zones{kNone};
    if (j.spec.one_zone) {
        zones.clear();
        for (Id m : schedulable) {
            Id zone = cluster.machines[m].zone;
            if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
                zones.push_back(zone);
            }
        }
    }
    Id reserved_zone = kNone;
    for (Id m : schedulable) {
        if (cluster.machines[m].reservation.job == id) {
            reserved_zone = cluster.machines[m].zone;
        }
    }
    auto best_of = [&](const MayPreempt* stop) {
        std::optional<Plan> best;
        Ms best_at = 0;
        for (Id zone : zones) {
            auto p = plan(now, id, zone, schedulable, stop);
            if (!p) {
                continue;
            }
            Ms at = p->ready - (zone == reserved_zone ? kSameZone : 0);
            if (!best || at < best_at) {
                best = std::move(p);
                best_at = at;
            }
        }
        return best;
    };
    std::optional<Plan> best = best_of(nullptr);
    bool stopping = false;
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    if (operator_settings.preempt &&
        now >= j.waiting_since + to_ms(operator_settings.preempt_after_s) &&
        now >= stopped_at_ + kStopEvery) {
        auto sooner = best_of(&may_preempt);
        if (sooner && (!best || sooner->ready + kWorthStopping < best->ready)) {
            best = std::move(sooner);
            stopping = true;
        }
    }
    j.reserve_at = now + static_cast<Ms>(looked_ / kLooksPerMs);
    release(id);
    if (!best) {
        spdlog::debug("{} finds no zone with {} places, full or empty", j.spec.id, j.spec.tasks);
        return false;
    }
    spdlog::debug("{} has machines kept in {}, ready in {:.1f} s", j.spec.id,
                  cluster.names.zones.name(cluster.machines[best->slots.front().machine].zone),
                  static_cast<double>(best->ready - now) / 1000.0);
    for (const Slot& slot : best->slots) {
        Machine& m = cluster.machines[slot.machine];
        m.reservation.job = id;
        m.reservation.until = now + kKeepFor;
        m.reservation.ready_at = best->ready;
    }
    j.reserving = true;
    if (stopping) {
        preempt_victims(now, id, *best, may_preempt);
    }
    return true;
}

void GangReservation::preempt_victims(Ms now, Id id, const Plan& plan,
                                      const MayPreempt& may_preempt) {
    ClusterState& cluster = context_.cluster;
    const JobSpec& s = cluster.jobs[id].spec;
    std::map<Id, std::uint32_t> need;
    for (const Slot& slot : plan.slots) {
        ++need[slot.machine];
    }
    int stopped = 0;
    for (const auto& [mid, places] : need) {
        const Machine& m = cluster.machines[mid];
        Resources free = cluster.machine_type(m.machine_type)->size - m.used;
        for (const auto& [end, ref] : ends(now, id, mid, &may_preempt)) {
            if (ClusterState::slots(s, m.machine_type, m.zone, m.spot, free) >= places) {
                break;
            }
            const Job& v = cluster.jobs[ref.job];
            free += v.spec.each;
            if (cluster.task(ref).stopping || !may_preempt(v, cluster.jobs[id])) {
                continue;
            }
            lifecycle_.stop(ref, v.spec.checkpoint_duration_s + 1, now, true);
            ++stopped;
        }
    }
    stopped_at_ = now;
    if (stopped > 0) {
        spdlog::info("{} takes room for {} tasks on {} machines: {} tasks are stopped", s.id,
                     s.tasks, need.size(), stopped);
    }
}

}  // namespace walkford
