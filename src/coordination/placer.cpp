#include "coordination/placer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "coordination/leader.hpp"

namespace walkford {

namespace {
constexpr Ms kRoundEvery = 400;
constexpr Ms kShapeKept = 600000;  // a class not seen for so long is not kept room for
// Placements not yet written are bounded: more would only wait for the state service.
constexpr std::uint32_t kMostPerJob = 256;
}  // namespace

// One that has not begun rises by a priority each time it has waited so long again: strict priority
// would let the lowest wait for ever while higher work keeps coming.
int Placer::risen(const Job& j, Ms now, double rise_s) {
    int own = std::max(static_cast<int>(j.spec.priority), j.rank);
    if (rise_s <= 0 || j.placed > 0 || j.done > 0) return own;
    return std::clamp(static_cast<int>(j.spec.priority) +
                          static_cast<int>((now - j.waiting_since) / to_ms(rise_s)),
                      own, 4);
}

std::vector<Id> Placer::waiting_order(const Books& books, Ms now, double rise_s) {
    std::vector<Id> order;
    for (Id id = 0; id < books.jobs.size(); ++id) {
        const Job& j = books.jobs[id];
        if (j.alive && !j.cancelled && !j.ending && j.waiting() > 0 && j.not_before <= now) {
            order.push_back(id);
        }
    }
    // Guarantee demand goes before borrowed of the same priority; then age.
    auto rank = [&](Id id) {
        const Job& j = books.jobs[id];
        return std::tuple{-risen(j, now, rise_s),
                          books.within_guarantee(j.spec.team, j.spec.each) ? 0 : 1, j.start_by,
                          j.born, id};
    };
    std::sort(order.begin(), order.end(), [&](Id a, Id b) { return rank(a) < rank(b); });
    return order;
}

int Placer::fetching(const Machine& m) const {
    const Books& books = term_.books;
    std::set<Id> images;
    for (TaskRef ref : m.tasks) {
        const Task& t = term_.books.task(ref);
        if (t.state == TaskState::pulling || t.phase == Phase::placed || t.phase == Phase::sent) {
            Id image = books.jobs[ref.job].spec.image;
            if (image != kNone) images.insert(image);
        }
    }
    return static_cast<int>(images.size());
}

double Placer::regret(const Job& job, const Machine& m, const Kind& kind) const {
    const Books& books = term_.books;
    double sum = 0;
    Amounts free = kind.size - m.used;
    for (std::size_t i = 0; i < books.shapes.size(); ++i) {
        const Shape& shape = books.shapes[i];
        if (shape.lane == job.spec.lane || i >= lane_slots_.size()) continue;
        auto before = Books::slots(shape.spec, m.kind, m.zone, m.spot, free);
        if (before == 0) continue;
        auto after = Books::slots(shape.spec, m.kind, m.zone, m.spot, free - job.spec.each);
        sum += static_cast<double>(before - after) / std::max(1.0, lane_slots_[i]);
    }
    return sum;
}

// Keeps lane_slots_ right while a round goes on.
void Placer::take_slots(const Machine& m, const Amounts& each) {
    const Books& books = term_.books;
    const Kind* kind = books.kind(m.kind);
    for (std::size_t i = 0; kind && i < lane_slots_.size(); ++i) {
        Amounts free = kind->size - m.used;
        lane_slots_[i] -= Books::slots(books.shapes[i].spec, m.kind, m.zone, m.spot, free);
        lane_slots_[i] += Books::slots(books.shapes[i].spec, m.kind, m.zone, m.spot, free - each);
    }
}

bool Placer::kept(const Job& job, const Machine& m, const Kind& kind) const {
    const Books& books = term_.books;
    if (term_.core.policy.keep_slots == 0) return false;
    double own = 1e18;
    for (std::size_t i = 0; i < lane_aim_.size(); ++i) {
        if (books.shapes[i].lane == job.spec.lane) own = lane_aim_[i];
    }
    Amounts free = kind.size - m.used;
    for (std::size_t i = 0; i < lane_slots_.size(); ++i) {
        const JobSpec& other = books.shapes[i].spec;
        if (books.shapes[i].lane == job.spec.lane) continue;
        double lost = Books::slots(other, m.kind, m.zone, m.spot, free) -
                      Books::slots(other, m.kind, m.zone, m.spot, free - job.spec.each);
        if (lost <= 0 || lane_slots_[i] - lost >= term_.core.policy.keep_slots) continue;
        // Only from those who have somewhere else to go; for those with a tighter aim, or who have
        // not.
        if (!elsewhere(job.spec, other)) continue;
        if (lane_aim_[i] < own || !elsewhere(other, job.spec)) return true;
    }
    return false;
}

bool Placer::elsewhere(const JobSpec& one, const JobSpec& other) const {
    const Books& books = term_.books;
    return std::any_of(sorts_.begin(), sorts_.end(), [&](const auto& sort) {
        const auto& [kind, zone, spot] = sort;
        const Kind* k = books.kind(kind);
        return k && Books::slots(one, kind, zone, spot, k->size) > 0 &&
               Books::slots(other, kind, zone, spot, k->size) == 0;
    });
}

double Placer::aim_of(const JobSpec& s) const {
    for (std::size_t i = 0; i < lane_aim_.size(); ++i) {
        if (term_.books.shapes[i].lane == s.lane) return lane_aim_[i];
    }
    return 1e18;
}

bool Placer::over_in_time(const JobSpec& s, const Machine& m, double fetch_s) const {
    // Estimates are often wrong by half.
    double span = fetch_s + 1.5 * s.estimate_s + 2 * term_.core.platform.report_s;
    return !(s.gang && s.tasks > 1) && s.estimate_s > 0 && now_ + to_ms(span) <= m.kept_ready;
}

bool Placer::may_stop(const Job& v, const Job& j) const {
    const Books& books = term_.books;
    if (v.spec.gang && v.spec.tasks > 1) return false;
    if (std::max(static_cast<int>(v.spec.priority), v.rank) >= static_cast<int>(j.spec.priority)) {
        return false;
    }
    // What a team runs within its guarantee need not make room for others.
    if (v.spec.team != j.spec.team && books.within_guarantee(v.spec.team, Amounts{})) return false;
    // Work that can run nowhere else only loses, unless nobody asked for it to start soon.
    return elsewhere(v.spec, j.spec) || aim_of(v.spec) > aim_of(j.spec);
}

void Placer::count_slots(Ms now, const std::vector<Id>& usable) {
    const Books& books = term_.books;
    lane_slots_.assign(books.shapes.size(), 0);
    lane_aim_.assign(books.shapes.size(), 1e18);
    sorts_.clear();
    for (const Machine& m : books.machines) {
        if (m.held && !m.gone) sorts_.insert({m.kind, m.zone, m.spot});
    }
    for (std::size_t i = 0; i < books.shapes.size(); ++i) {
        for (const WaitAim& aim : term_.core.platform.wait_aims) {
            if (books.names.lanes.find(aim.lane) == books.shapes[i].lane) {
                lane_aim_[i] = std::min(lane_aim_[i], aim.within_s);
            }
        }
    }
    for (std::size_t i = 0; i < books.shapes.size(); ++i) {
        if (now > books.shapes[i].seen + kShapeKept) {
            lane_slots_[i] = 1e9;
            continue;
        }
        for (Id id : usable) {
            const Machine& m = books.machines[id];
            if (const Kind* kind = books.kind(m.kind)) {
                lane_slots_[i] +=
                    Books::slots(books.shapes[i].spec, m.kind, m.zone, m.spot, kind->size - m.used);
            }
        }
    }
}

Id Placer::choose(Id job_id, const std::vector<Id>& usable, Id zone_only) const {
    const Books& books = term_.books;
    const Job& job = books.jobs[job_id];
    const JobSpec& s = job.spec;
    using Score = std::tuple<int, double, int, double, Id>;
    Score best{9, 0, 0, 0, kNone};
    for (Id id : usable) {
        const Machine& m = books.machines[id];
        if (!s.allows_kind(m.kind) || (s.zone != kNone && s.zone != m.zone)) continue;
        if (m.spot && !s.spot) continue;
        if (zone_only != kNone && m.zone != zone_only) continue;
        if (s.one_zone && !job.zones.empty() && job.zones.begin()->first != m.zone) continue;
        if (s.spread) {
            auto it = job.zones.find(m.zone);
            if (it != job.zones.end() && it->second >= s.zone_most()) continue;
        }
        const Kind* kind = books.kind(m.kind);
        if (!kind || !s.each.fits_in(kind->size - m.used)) continue;
        // The order in which machines are tried: where this job hasn't failed, where the task
        // starts soonest and other classes lose least room, spot first for those who may, then the
        // fullest.
        double fetch = 0;
        if (s.image != kNone && !m.images.count(s.image) && kind->fetch_gb_per_s > 0) {
            // Images fetched at the same time share the rate.
            fetch = s.image_gb / kind->fetch_gb_per_s * (1 + fetching(m));
        }
        if (m.kept_for != kNone && m.kept_for != job_id && !over_in_time(s, m, fetch)) continue;
        if (m.kept_for != job_id && kept(job, m, *kind)) continue;
        double wait = fetch + term_.core.policy.regret_s * regret(job, m, *kind);
        double left = kind->size.cpus > 0 ? (kind->size.cpus - m.used.cpus) / kind->size.cpus : 0;
        Score score{job.failed_on.count(id) || m.errors() > 0 ? 1 : 0, std::round(wait / 2),
                    s.spot && !m.spot ? 1 : 0, left, id};
        if (score < best) best = score;
    }
    return std::get<4>(best);
}

std::uint32_t Placer::place_batch(Ms now, Id id, const std::vector<Id>& usable) {
    Books& books = term_.books;
    std::uint32_t placed = 0;
    while (placed < kMostPerJob && books.jobs[id].waiting() > 0) {
        Job& j = books.jobs[id];
        if (!books.within_limit(j.spec.team, j.spec.each)) break;
        Id machine = choose(id, usable, kNone);
        if (machine == kNone) break;
        std::uint32_t index;
        if (!j.again.empty()) {
            index = j.again.front();
            j.again.pop_front();
        } else {
            index = j.next_fresh++;
        }
        TaskRef ref{id, index};
        take_slots(books.machines[machine], j.spec.each);
        books.place(ref, machine, books.task(ref).attempt + 1, now);
        spdlog::debug("{}/{} attempt {} to {}", j.spec.id, index, books.task(ref).attempt,
                      books.machines[machine].name);
        ++placed;
    }
    return placed;
}

// Members lost before their gang began, with the attempt of those that wait for them.
void Placer::replace_members(Ms now, Id id, const std::vector<Id>& usable) {
    Books& books = term_.books;
    Job& j = books.jobs[id];
    if (j.spec.tasks <= 1 || !fates_.unbegun(id)) return;
    // (A new leader finds gangs with members missing, and gives them the same time.)
    if (j.replace_by < 0) j.replace_by = now + Fates::kReplaceFor;
    std::uint32_t attempt = 0;
    for (std::uint32_t i = 0; i < j.spec.tasks; ++i) {
        const Task& t = books.task({id, i});
        if (t.machine != kNone) attempt = std::max(attempt, t.attempt);
    }
    while (!j.again.empty() && books.within_limit(j.spec.team, j.spec.each)) {
        Id machine = choose(id, usable, kNone);
        if (machine == kNone) break;
        std::uint32_t index = j.again.front();
        // Only this attempt's own: a member that has used a later one can't join.
        if (books.task({id, index}).attempt > attempt) break;
        j.again.pop_front();
        take_slots(books.machines[machine], j.spec.each);
        books.place({id, index}, machine, attempt, now);
        spdlog::debug("{}/{} attempt {} replaced on {}", j.spec.id, index, attempt,
                      books.machines[machine].name);
    }
    if (j.again.empty()) {
        j.replace_by = -1;
    } else if (now >= j.replace_by) {
        j.replace_by = -1;
        fates_.halt_job(id, 0, now, true);
    }
}

bool Placer::place_gang(Ms now, Id id, const std::vector<Id>& usable) {
    Books& books = term_.books;
    const JobSpec& s = books.jobs[id].spec;
    // A new attempt only after every task of the old one is gone.
    if (books.jobs[id].placed > 0 || books.jobs[id].waiting() < s.tasks - books.jobs[id].done) {
        return false;
    }
    if (books.limit_room(s.team, s.each) < s.tasks) return false;
    std::uint32_t attempt = 0;
    for (std::uint32_t i = 0; i < s.tasks; ++i) {
        attempt = std::max(attempt, books.task({id, i}).attempt);
    }
    ++attempt;
    std::vector<Id> zones{kNone};
    if (s.one_zone) {
        zones.clear();
        for (Id m : usable) {
            if (std::find(zones.begin(), zones.end(), books.machines[m].zone) == zones.end()) {
                zones.push_back(books.machines[m].zone);
            }
        }
        // The zone that the best machine for one task lies in is tried first.
        Id first = choose(id, usable, kNone);
        if (first != kNone) {
            auto it = std::find(zones.begin(), zones.end(), books.machines[first].zone);
            if (it != zones.end()) std::iter_swap(zones.begin(), it);
        }
    }
    for (Id zone : zones) {
        // A zone without places enough is seen without trying.
        std::uint32_t places = 0;
        for (Id id_m : usable) {
            const Machine& m = books.machines[id_m];
            const Kind* kind = books.kind(m.kind);
            if (!kind || (zone != kNone && m.zone != zone)) continue;
            if (m.kept_for != kNone && m.kept_for != id) continue;
            places += Books::slots(s, m.kind, m.zone, m.spot, kind->size - m.used);
        }
        if (places < s.tasks) continue;
        std::vector<std::uint32_t> placed;
        for (std::uint32_t i = 0; i < s.tasks; ++i) {
            Id machine = choose(id, usable, zone);
            if (machine == kNone) break;
            take_slots(books.machines[machine], s.each);
            books.place({id, i}, machine, attempt, now);
            placed.push_back(i);
        }
        if (placed.size() == s.tasks) {
            books.jobs[id].again.clear();
            books.jobs[id].next_fresh = s.tasks;
            gatherer_.release(id);
            books.jobs[id].replace_by = -1;
            spdlog::debug("{} attempt {}: all {} tasks placed", s.id, attempt, s.tasks);
            return true;
        }
        for (std::uint32_t i : placed) {
            books.unseat({id, i});
            books.task({id, i}).phase = Phase::idle;
            books.task({id, i}).attempt = attempt - 1;
        }
    }
    return false;
}

void Placer::round(Ms now, const WorkerDialogue& workers) {
    if (!term_.place_now && now < next_) return;
    term_.place_now = false;
    next_ = now + kRoundEvery;
    Books& books = term_.books;
    if (books.kinds().empty()) return;
    std::vector<Id> usable;
    for (Id id = 0; id < books.machines.size(); ++id) {
        if (workers.usable(books.machines[id], now)) usable.push_back(id);
    }
    for (Machine& m : books.machines) {
        if (m.kept_for != kNone && (now >= m.kept_until || !books.jobs[m.kept_for].alive ||
                                    books.jobs[m.kept_for].waiting() == 0)) {
            m.kept_for = kNone;
        }
    }
    if (cursor_ >= order_.size()) {
        order_ = waiting_order(books, now, term_.core.policy.rise_s);
        cursor_ = 0;
        blocked_.clear();
        gathering_ = 0;
    }
    now_ = now;
    count_slots(now, usable);
    // The budget keeps beats and leases answered in time when thousands of jobs wait.
    auto deadline = term_.core.stopwatch() + to_ms(term_.core.policy.round_budget_ms);
    while (cursor_ < order_.size()) {
        Id id = order_[cursor_++];
        Job& j = books.jobs[id];
        if (j.alive && !j.cancelled && !j.ending && j.waiting() > 0) {
            // Who comes first waits for its team's limit; smaller tasks of the team that come later
            // would take every bit of it that frees up, and a large one would starve.
            const JobSpec& s = j.spec;
            // What it has risen to it keeps, or it would be stopped again as soon as it began.
            j.rank = risen(j, now, term_.core.policy.rise_s);
            std::uint32_t least = s.gang && j.placed == 0 ? s.tasks : 1;
            Blocked& blocked = blocked_[s.team];
            auto rank = static_cast<int>(s.priority);
            bool behind = (s.each.cpus > 0 && rank <= blocked.cpus) ||
                          (s.each.gpus > 0 && rank <= blocked.gpus);
            if (!behind && books.limit_room(s.team, s.each) < least) {
                behind = true;
                bool cpus = books.limit_room(s.team, {s.each.cpus, 0, 0}) < least;
                bool gpus = books.limit_room(s.team, {0, s.each.gpus, 0}) < least;
                if (cpus) blocked.cpus = std::max(blocked.cpus, rank);
                if (gpus) blocked.gpus = std::max(blocked.gpus, rank);
            }
            if (behind) {
                // Not before those it waits for.
            } else if (s.gang && j.placed > 0) {
                replace_members(now, id, usable);
            } else if (s.gang) {
                if (!place_gang(now, id, usable) && s.tasks > 1 && j.placed == 0 &&
                    gathering_ < term_.core.policy.gather &&
                    now >= j.waiting_since + to_ms(term_.core.policy.gather_after_s)) {
                    auto stop = [this](const Job& v, const Job& job) { return may_stop(v, job); };
                    gathering_ += gatherer_.gather(now, id, usable, stop);
                }
            } else {
                place_batch(now, id, usable);
            }
        }
        if (term_.core.stopwatch() >= deadline && cursor_ < order_.size()) {
            term_.place_now = true;
            break;
        }
    }
    if (term_.core.policy.preempt && now >= preempt_at_) {
        preempt_at_ = now + 500;
        preempt(now, usable);
    }
}

// Room for work of higher priority, or for a team within its guarantee from one beyond its own. The
// work stopped saves first; the room is kept for whom it was made.
void Placer::preempt(Ms now, const std::vector<Id>& usable) {
    Books& books = term_.books;
    const Policy& policy = term_.core.policy;
    int made = 0;
    for (Id id : order_) {
        Job& j = books.jobs[id];
        const JobSpec& s = j.spec;
        if (!j.alive || j.cancelled || j.ending || j.waiting() == 0 || j.not_before > now) continue;
        if (now < j.waiting_since + to_ms(policy.preempt_after_s)) continue;
        if ((s.gang && s.tasks > 1) || !books.within_limit(s.team, s.each)) continue;
        bool guaranteed = books.within_guarantee(s.team, s.each);
        bool being_made = std::any_of(books.machines.begin(), books.machines.end(),
                                      [&](const Machine& m) { return m.kept_for == id; });
        if (being_made) continue;
        double best_cost = 1e18;
        Id best = kNone;
        std::vector<TaskRef> best_victims;
        for (Id mid : usable) {
            const Machine& m = books.machines[mid];
            const Kind* kind = books.kind(m.kind);
            if (!kind || m.kept_for != kNone ||
                Books::slots(s, m.kind, m.zone, m.spot, kind->size) == 0) {
                continue;
            }
            if (s.one_zone && !j.zones.empty() && j.zones.begin()->first != m.zone) continue;
            if (s.spread && j.zones.count(m.zone) && j.zones.at(m.zone) >= s.zone_most()) continue;
            if (j.failed_on.count(mid)) continue;
            std::vector<std::pair<double, TaskRef>> victims;
            for (TaskRef ref : m.tasks) {
                const Job& v = books.jobs[ref.job];
                const Task& t = books.task(ref);
                if (t.halting || (v.spec.gang && v.spec.tasks > 1)) continue;
                const Team* team = books.team(v.spec.team);
                bool beyond = guaranteed && team && v.spec.team != s.team &&
                              !books.within_guarantee(v.spec.team, Amounts{});
                if (std::max(static_cast<int>(v.spec.priority), v.rank) >=
                        static_cast<int>(s.priority) &&
                    !beyond)
                    continue;
                // Work that can run nowhere else would only lose what it was doing.
                if (!elsewhere(v.spec, s)) continue;
                double ran =
                    t.running_since < 0 ? 0 : static_cast<double>(now - t.running_since) / 1000.0;
                double cost = 1 + (v.spec.checkpoint_s > 0 ? v.spec.save_s : ran);
                // One that is nearly over frees its room by itself.
                if (t.running_since >= 0 && v.spec.estimate_s > 0 &&
                    ran > 0.8 * v.spec.estimate_s) {
                    cost += v.spec.save_s;
                }
                victims.emplace_back(cost, ref);
            }
            std::sort(victims.begin(), victims.end());
            Amounts free = kind->size - m.used;
            double cost = 0;
            std::vector<TaskRef> chosen;
            std::map<Id, Amounts> taken;  // a team is not pushed below its guarantee
            for (const auto& [c, ref] : victims) {
                if (s.each.fits_in(free)) break;
                const Job& v = books.jobs[ref.job];
                Amounts& gone = taken[v.spec.team];
                if (v.spec.priority >= s.priority &&
                    books.within_guarantee(v.spec.team, Amounts{} - gone)) {
                    continue;
                }
                gone += v.spec.each;
                free += v.spec.each;
                cost += c;
                chosen.push_back(ref);
            }
            if (chosen.empty() || !s.each.fits_in(free)) continue;
            if (cost < best_cost) {
                best_cost = cost;
                best = mid;
                best_victims = std::move(chosen);
            }
        }
        if (best == kNone) continue;
        Machine& m = books.machines[best];
        double save = 0;
        for (TaskRef ref : best_victims) save = std::max(save, books.jobs[ref.job].spec.save_s);
        spdlog::info("{} takes room on {}: {} tasks are stopped", s.id, m.name,
                     best_victims.size());
        m.kept_for = id;
        m.kept_until = now + to_ms(save + 2 * term_.core.platform.report_s) + 3000;
        m.kept_ready = now;
        for (TaskRef ref : best_victims) {
            fates_.halt(ref, books.jobs[ref.job].spec.save_s + 1, now, true);
        }
        if (++made >= 2) return;
    }
}

}  // namespace walkford
