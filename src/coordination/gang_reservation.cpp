#include "coordination/gang_reservation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader.hpp"

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
    const ClusterState& cluster = term_.cluster;
    const JobSpec& s = cluster.jobs[ref.job].spec;
    const Task& t = term_.cluster.task(ref);
    if (t.halting) {
        return now + to_ms(s.save_s + term_.core.platform.report_s);
    }
    if (s.service()) {
        return now + kServiceEnd;
    }
    Ms run = to_ms(s.estimate_s);
    if (t.running_since < 0) {
        const Kind* kind = cluster.kind(cluster.machines[t.machine].kind);
        double fetch = kind && kind->fetch_gb_per_s > 0 ? s.image_gb / kind->fetch_gb_per_s : 0;
        return now + run + to_ms(fetch);
    }
    // Estimates are often wrong by half: one that has run longer than its own goes on for a while.
    Ms ran = now - t.running_since;
    return now + std::max({Ms{2000}, run - ran, ran > run ? ran / 3 : 0});
}

std::vector<std::pair<Ms, TaskRef>> GangReservation::ends(Ms now, Id job, Id machine,
                                                          const MayStop* may_stop) const {
    const ClusterState& cluster = term_.cluster;
    std::vector<std::pair<Ms, TaskRef>> list;
    looked_ += 1 + cluster.machines[machine].tasks.size();
    for (TaskRef ref : cluster.machines[machine].tasks) {
        const Job& v = cluster.jobs[ref.job];
        Ms end = expected_end(ref, now);
        if (may_stop && (*may_stop)(v, cluster.jobs[job])) {
            end = std::min(end, now + to_ms(v.spec.save_s + 2 * term_.core.platform.report_s));
        }
        list.emplace_back(end, ref);
    }
    std::sort(list.begin(), list.end());
    return list;
}

std::optional<GangReservation::Plan> GangReservation::plan(Ms now, Id id, Id zone,
                                                           const std::vector<Id>& usable,
                                                           const MayStop* may_stop) const {
    const ClusterState& cluster = term_.cluster;
    const Job& j = cluster.jobs[id];
    const JobSpec& s = j.spec;
    std::vector<Slot> all;
    for (Id mid : usable) {
        const Machine& m = cluster.machines[mid];
        const Kind* kind = cluster.kind(m.kind);
        if (!kind || (zone != kNone && m.zone != zone) || j.failed_on.count(mid)) {
            continue;
        }
        if (m.kept_for != kNone && m.kept_for != id) {
            continue;
        }
        if (ClusterState::slots(s, m.kind, m.zone, m.spot, kind->size) == 0) {
            continue;
        }
        Amounts free = kind->size - m.used;
        std::uint32_t had = 0;
        auto count = [&](Ms at) {
            std::uint32_t n = ClusterState::slots(s, m.kind, m.zone, m.spot, free);
            for (; had < n; ++had) {
                all.push_back({at, mid});
            }
        };
        count(now);
        for (const auto& [end, ref] : ends(now, id, mid, may_stop)) {
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
    for (Machine& m : term_.cluster.machines) {
        if (m.kept_for == job) {
            m.kept_for = kNone;
        }
    }
}

bool GangReservation::gather(Ms now, Id id, const std::vector<Id>& usable,
                             const MayStop& may_stop) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[id];
    if (now < j.gather_at) {
        return j.gathering;
    }
    j.gathering = false;
    looked_ = 0;
    std::vector<Id> zones{kNone};
    if (j.spec.one_zone) {
        zones.clear();
        for (Id m : usable) {
            Id zone = cluster.machines[m].zone;
            if (std::find(zones.begin(), zones.end(), zone) == zones.end()) {
                zones.push_back(zone);
            }
        }
    }
    Id kept_zone = kNone;
    for (Id m : usable) {
        if (cluster.machines[m].kept_for == id) {
            kept_zone = cluster.machines[m].zone;
        }
    }
    auto best_of = [&](const MayStop* stop) {
        std::optional<Plan> best;
        Ms best_at = 0;
        for (Id zone : zones) {
            auto p = plan(now, id, zone, usable, stop);
            if (!p) {
                continue;
            }
            Ms at = p->ready - (zone == kept_zone ? kSameZone : 0);
            if (!best || at < best_at) {
                best = std::move(p);
                best_at = at;
            }
        }
        return best;
    };
    std::optional<Plan> best = best_of(nullptr);
    bool stopping = false;
    const Policy& policy = term_.core.policy;
    if (policy.preempt && now >= j.waiting_since + to_ms(policy.preempt_after_s) &&
        now >= stopped_at_ + kStopEvery) {
        auto sooner = best_of(&may_stop);
        if (sooner && (!best || sooner->ready + kWorthStopping < best->ready)) {
            best = std::move(sooner);
            stopping = true;
        }
    }
    j.gather_at = now + static_cast<Ms>(looked_ / kLooksPerMs);
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
        m.kept_for = id;
        m.kept_until = now + kKeepFor;
        m.kept_ready = best->ready;
    }
    j.gathering = true;
    if (stopping) {
        stop_victims(now, id, *best, may_stop);
    }
    return true;
}

void GangReservation::stop_victims(Ms now, Id id, const Plan& plan, const MayStop& may_stop) {
    ClusterState& cluster = term_.cluster;
    const JobSpec& s = cluster.jobs[id].spec;
    std::map<Id, std::uint32_t> need;
    for (const Slot& slot : plan.slots) {
        ++need[slot.machine];
    }
    int stopped = 0;
    for (const auto& [mid, places] : need) {
        const Machine& m = cluster.machines[mid];
        Amounts free = cluster.kind(m.kind)->size - m.used;
        for (const auto& [end, ref] : ends(now, id, mid, &may_stop)) {
            if (ClusterState::slots(s, m.kind, m.zone, m.spot, free) >= places) {
                break;
            }
            const Job& v = cluster.jobs[ref.job];
            free += v.spec.each;
            if (cluster.task(ref).halting || !may_stop(v, cluster.jobs[id])) {
                continue;
            }
            lifecycle_.halt(ref, v.spec.save_s + 1, now, true);
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
