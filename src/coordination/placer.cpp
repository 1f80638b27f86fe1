#include "coordination/placer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>

#include "coordination/leader.hpp"

namespace walkford {

namespace {
constexpr Ms kRoundEvery = 400;
// Placements not yet written are bounded: more would only wait for the state service.
constexpr std::uint32_t kMostPerJob = 256;
}  // namespace

std::vector<Id> Placer::waiting_order(const Books& books, Ms now) {
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
        return std::tuple{-static_cast<int>(j.spec.priority),
                          books.within_guarantee(j.spec.team, j.spec.each) ? 0 : 1, j.born, id};
    };
    std::sort(order.begin(), order.end(), [&](Id a, Id b) { return rank(a) < rank(b); });
    return order;
}

Id Placer::choose(const Job& job, const std::vector<Id>& usable, Id zone_only) const {
    const Books& books = term_.books;
    const JobSpec& s = job.spec;
    using Score = std::tuple<int, int, int, int, double, Id>;
    Score best{9, 9, 9, 9, 0, kNone};
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
        // The order in which machines are tried: where this job hasn't failed, where no GPU lies
        // idle for it, where the image is, spot first for those who may, then the fullest.
        bool wasteful = s.each.gpus <= 0 && kind->size.gpus > 0;
        bool image = s.image == kNone || m.images.count(s.image) != 0;
        double left = kind->size.cpus > 0 ? (kind->size.cpus - m.used.cpus) / kind->size.cpus : 0;
        Score score{job.failed_on.count(id) || !m.error_jobs.empty() ? 1 : 0, wasteful ? 1 : 0,
                    image ? 0 : 1, s.spot && !m.spot ? 1 : 0, left, id};
        if (score < best) best = score;
    }
    return std::get<5>(best);
}

std::uint32_t Placer::place_batch(Ms now, Id id, const std::vector<Id>& usable) {
    Books& books = term_.books;
    std::uint32_t placed = 0;
    while (placed < kMostPerJob && books.jobs[id].waiting() > 0) {
        Job& j = books.jobs[id];
        if (!books.within_limit(j.spec.team, j.spec.each)) break;
        Id machine = choose(j, usable, kNone);
        if (machine == kNone) break;
        std::uint32_t index;
        if (!j.again.empty()) {
            index = j.again.front();
            j.again.pop_front();
        } else {
            index = j.next_fresh++;
        }
        TaskRef ref{id, index};
        books.place(ref, machine, books.task(ref).attempt + 1, now);
        spdlog::debug("{}/{} attempt {} to {}", j.spec.id, index, books.task(ref).attempt,
                      books.machines[machine].name);
        ++placed;
    }
    return placed;
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
        Id first = choose(books.jobs[id], usable, kNone);
        if (first != kNone) {
            auto it = std::find(zones.begin(), zones.end(), books.machines[first].zone);
            if (it != zones.end()) std::iter_swap(zones.begin(), it);
        }
    }
    for (Id zone : zones) {
        std::vector<std::uint32_t> placed;
        for (std::uint32_t i = 0; i < s.tasks; ++i) {
            Id machine = choose(books.jobs[id], usable, zone);
            if (machine == kNone) break;
            books.place({id, i}, machine, attempt, now);
            placed.push_back(i);
        }
        if (placed.size() == s.tasks) {
            books.jobs[id].again.clear();
            books.jobs[id].next_fresh = s.tasks;
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
    if (cursor_ >= order_.size()) {
        order_ = waiting_order(books, now);
        cursor_ = 0;
    }
    // The budget keeps beats and leases answered in time when thousands of jobs wait.
    auto deadline = term_.core.stopwatch() + to_ms(term_.core.policy.round_budget_ms);
    while (cursor_ < order_.size()) {
        Id id = order_[cursor_++];
        Job& j = books.jobs[id];
        if (j.alive && !j.cancelled && !j.ending && j.waiting() > 0) {
            if (j.spec.gang) {
                place_gang(now, id, usable);
            } else {
                place_batch(now, id, usable);
            }
        }
        if (term_.core.stopwatch() >= deadline && cursor_ < order_.size()) {
            term_.place_now = true;
            break;
        }
    }
}

}  // namespace walkford
