#include "coordination/scaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/leader.hpp"

namespace walkford {

namespace {
constexpr Ms kTick = 500;
constexpr std::uint32_t kTrialTasks = 1000;  // a trial packing looks no further
}  // namespace

void Scaler::survey(Ms now, const WorkerDialogue& workers, const CloudDialogue& cloud) {
    Books& books = term_.books;
    const Policy& policy = term_.core.policy;
    rooms_.clear();
    measure_ = {};
    for (Id id = 0; id < books.machines.size(); ++id) {
        const Machine& m = books.machines[id];
        const Kind* kind = books.kind(m.kind);
        if (m.gone || !m.held || !kind) continue;
        measure_.booked += m.used;
        bool up = workers.usable(m, now);
        // One on its way counts as capacity, or the rule rents twice; one that is late does not.
        bool booting = !m.reported && !m.returning &&
                       now < m.rented_at + to_ms(kind->boot_s * policy.boot_late) + 3000;
        bool settling = now < term_.elected_at + 6000 && !m.returning && !m.sick;
        if (!up && !booting && !settling) {
            // What is still booked there counts on both sides.
            measure_.capacity += m.used;
            continue;
        }
        measure_.capacity += kind->size;
        rooms_.push_back({kind->size - m.used, m.kind, m.zone, m.spot, id, {}});
    }
    for (const Hire& h : cloud.hires()) {
        const Kind* kind = books.kind(h.kind);
        if (!kind) continue;
        for (std::uint32_t i = 0; i < h.count; ++i) {
            measure_.capacity += kind->size;
            rooms_.push_back({kind->size, h.kind, h.zone, h.spot, kNone, {}});
        }
    }
    // Waiting demand, as far as the teams' limits admit it.
    waiting_.clear();
    std::map<Id, Amounts> extra;
    std::set<Id> blocked;
    std::uint32_t tasks = 0;
    for (Id id : Placer::waiting_order(books, now, policy.rise_s)) {
        const Job& j = books.jobs[id];
        const Team* team = books.team(j.spec.team);
        if (!team) continue;
        Amounts& more = extra[j.spec.team];
        std::uint32_t n = j.waiting();
        auto room = [](double limit, double used, double each) {
            if (limit <= 0 || each <= 0) return 1e9;
            return std::max(0.0, std::floor((limit - used + 1e-6) / each));
        };
        Amounts used = books.team_used(j.spec.team) + more;
        double most = std::min(room(team->limit.cpus, used.cpus, j.spec.each.cpus),
                               room(team->limit.gpus, used.gpus, j.spec.each.gpus));
        if (blocked.count(j.spec.team)) continue;
        if (most < (j.spec.gang ? n : 1)) {
            blocked.insert(j.spec.team);
            continue;
        }
        n = static_cast<std::uint32_t>(std::min<double>(n, most));
        if (n == 0) continue;
        bool fits_some = std::any_of(
            books.kinds().begin(), books.kinds().end(),
            [&](const Kind& k) { return j.spec.allows_kind(k.id) && j.spec.each.fits_in(k.size); });
        if (!fits_some) continue;
        more += j.spec.each * n;
        measure_.waiting += j.spec.each * n;
        waiting_.push_back({id, n});
        tasks += n;
        if (tasks > kTrialTasks) break;
    }
    for (int r = 0; r < kResources; ++r) {
        double want = measure_.booked.get(r) + measure_.waiting.get(r);
        double have = measure_.capacity.get(r);
        double share = want <= 1e-9 ? 0 : have <= 1e-9 ? 1e9 : want / have;
        if (share > measure_.value) {
            measure_.value = share;
            measure_.driving = r;
        }
    }
}

// A trial packing of what waits on what is there or on its way; what is left needs machines. Tasks
// that must share a zone are counted zone by zone (places in two zones complete no gang), and those
// that must be spread up to what each zone may hold.
std::vector<Scaler::Demand> Scaler::unplaceable(std::vector<Room>& rooms) const {
    const Books& books = term_.books;
    std::vector<Demand> left;
    for (const Demand& d : waiting_) {
        const Job& j = books.jobs[d.job];
        const JobSpec& s = j.spec;
        std::uint32_t n = d.count;
        if (!s.one_zone && !s.spread) {
            pack(s, d.job, kNone, n, rooms);
            if (n > 0) left.push_back({d.job, n, {{kNone, n}}});
            continue;
        }
        std::vector<std::pair<std::uint32_t, Id>> places;  // by zone
        for (Id zone = 0; zone < books.names.zones.size(); ++zone) {
            std::uint32_t most = n;
            auto here = j.zones.find(zone);
            std::uint32_t had = here == j.zones.end() ? 0 : here->second;
            if (s.one_zone && !j.zones.empty() && had == 0) continue;
            if (s.spread) most = std::min(n, s.zone_most() - std::min(had, s.zone_most()));
            std::uint32_t sum = 0;
            for (const Room& r : rooms) {
                if (r.zone == zone && sum < most)
                    sum += Books::slots(s, r.kind, r.zone, r.spot, r.free);
            }
            if (most > 0) places.emplace_back(std::min(sum, most), zone);
        }
        std::stable_sort(places.begin(), places.end(),
                         [](const auto& a, const auto& b) { return a.first > b.first; });
        Demand rest{d.job, 0, {}};
        if (s.one_zone) {
            for (const auto& [sum, zone] : places) rest.ways.emplace_back(zone, n - sum);
            if (!places.empty()) pack(s, d.job, places.front().second, n, rooms);
        } else {
            for (const auto& [sum, zone] : places) {
                auto here = j.zones.find(zone);
                std::uint32_t had = here == j.zones.end() ? 0 : here->second;
                std::uint32_t take = std::min(sum, n);
                n -= take;
                std::uint32_t unpacked = take;
                pack(s, d.job, zone, unpacked, rooms);
                if (s.zone_most() > had + take)
                    rest.ways.emplace_back(zone, s.zone_most() - had - take);
            }
            for (auto& way : rest.ways) way.second = std::min(way.second, n);
        }
        rest.count = n;
        if (n > 0) left.push_back(std::move(rest));
    }
    return left;
}

void Scaler::pack(const JobSpec& s, Id job, Id zone, std::uint32_t& n, std::vector<Room>& rooms) {
    for (Room& r : rooms) {
        if (n == 0) return;
        if (zone != kNone && r.zone != zone) continue;
        std::uint32_t k = std::min(n, Books::slots(s, r.kind, r.zone, r.spot, r.free));
        if (k == 0) continue;
        r.free -= s.each * k;
        r.taken[job] += k;
        n -= k;
    }
}

std::vector<Scaler::Option> Scaler::options(const JobSpec* s, int resource, Ms now,
                                            const CloudDialogue& cloud) const {
    const Books& books = term_.books;
    const Policy& policy = term_.core.policy;
    std::vector<Option> list;
    for (const Kind& k : books.kinds()) {
        if (resource >= 0 && k.size.get(resource) <= 0) continue;
        for (Id zone : k.zones) {
            for (bool spot : {true, false}) {
                if (spot && (policy.spot_prefer <= 0 || k.spot_price <= 0)) continue;
                auto suits = [&](const JobSpec& spec) {
                    return Books::slots(spec, k.id, zone, spot, k.size);
                };
                bool any = s ? suits(*s) > 0
                             : std::any_of(left_.begin(), left_.end(), [&](const Demand& d) {
                                   return suits(books.jobs[d.job].spec) > 0;
                               });
                if (!any) continue;
                Option o{k.id, zone, spot, spot ? k.spot_price : k.price, k.size.cpus, 0};
                // Price for a task of this job on such a machine, or for the driving resource.
                o.cost = o.price / (s ? suits(*s) : k.size.get(resource));
                if (o.cost <= 0) continue;
                if (cloud.can_rent(k.id, zone, spot, now)) list.push_back(o);
            }
        }
    }
    // Zones take turns: a wave or a cut takes one zone at a time.
    std::map<std::pair<Id, Id>, int> held;
    for (const Machine& m : books.machines) {
        if (m.held && !m.gone) ++held[{m.kind, m.zone}];
    }
    std::stable_sort(list.begin(), list.end(), [&](const Option& a, const Option& b) {
        if (policy.order == "cores" && a.cores != b.cores) return a.cores > b.cores;
        if (std::abs(a.cost - b.cost) > 1e-9) return a.cost < b.cost;
        return held[{a.kind, a.zone}] < held[{b.kind, b.zone}];
    });
    return list;
}

std::uint32_t Scaler::held_of(Id kind, const CloudDialogue& cloud) const {
    std::uint32_t n = 0;
    for (const Machine& m : term_.books.machines) n += m.held && !m.gone && m.kind == kind;
    for (const Hire& h : cloud.hires()) n += h.kind == kind ? h.count : 0;
    return n;
}

std::uint32_t Scaler::rent(Ms now, const Option& o, std::uint32_t n, const std::string& why,
                           CloudDialogue& cloud) {
    const Policy& policy = term_.core.policy;
    std::uint32_t held = held_of(o.kind, cloud);
    if (held >= policy.cap_per_kind) return 0;
    n = std::min(n, policy.cap_per_kind - held);
    bool permanent = !cloud.first_rented() && policy.permanent_first > 0;
    if (permanent) n = std::min(n, policy.permanent_first);
    return n > 0 && cloud.rent(now, o.kind, o.zone, o.spot, n, permanent, why) ? n : 0;
}

void Scaler::rent_by_rule(Ms now, CloudDialogue& cloud) {
    const Policy& policy = term_.core.policy;
    if (measure_.value <= policy.mark_high || waiting_.empty()) return;
    int r = measure_.driving;
    double middle = (policy.mark_low + policy.mark_high) / 2;
    double need =
        (measure_.booked.get(r) + measure_.waiting.get(r)) / middle - measure_.capacity.get(r);
    for (const Option& o : options(nullptr, r, now, cloud)) {
        if (need <= 1e-6) break;
        double each = term_.books.kind(o.kind)->size.get(r);
        auto n = static_cast<std::uint32_t>(std::clamp(std::ceil(need / each), 1.0, 50.0));
        n = rent(now, o, n,
                 fmt::format("measure {:.2f} of {} above {:.2f}", std::min(measure_.value, 999.0),
                             resource_name(r), policy.mark_high),
                 cloud);
        if (n == 0) continue;
        need -= each * n;
        for (std::uint32_t i = 0; i < n; ++i) {
            rooms_.push_back({term_.books.kind(o.kind)->size, o.kind, o.zone, o.spot, kNone, {}});
        }
        out_at_ = now;
    }
}

// Exception: the fleet-wide share can't see a task that fits nowhere (kind, zone, spot,
// fragmentation). The cheapest machine for it is rented, one option at a time.
void Scaler::rent_for_unplaceable(Ms now, CloudDialogue& cloud) {
    const Policy& policy = term_.core.policy;
    if (!policy.rent_unplaceable) return;
    Books& books = term_.books;
    for (int guard = 0; guard < 24; ++guard) {
        std::vector<Room> trial = rooms_;
        left_ = unplaceable(trial);
        bool rented = false;
        for (const Demand& d : left_) {
            const Job& j = books.jobs[d.job];
            if (now < j.waiting_since + to_ms(policy.unplaceable_after_s)) continue;
            std::vector<Option> all = options(&j.spec, -1, now, cloud);
            for (const auto& [zone, count] : d.ways) {
                rented = count > 0 && rent_places(now, j, zone, count, all, cloud);
                if (rented) break;
            }
            if (rented) break;
        }
        if (!rented) return;
    }
}

bool Scaler::rent_places(Ms now, const Job& j, Id zone, std::uint32_t count,
                         const std::vector<Option>& all, CloudDialogue& cloud) {
    for (const Option& o : all) {
        if (zone != kNone && o.zone != zone) continue;
        const Kind* kind = term_.books.kind(o.kind);
        std::uint32_t per = Books::slots(j.spec, o.kind, o.zone, o.spot, kind->size);
        if (per == 0) continue;
        std::uint32_t n = (count + per - 1) / per;
        n = rent(now, o, n, fmt::format("{} has {} tasks that fit nowhere", j.spec.id, count),
                 cloud);
        if (n == 0) continue;
        for (std::uint32_t i = 0; i < n; ++i) {
            rooms_.push_back({kind->size, o.kind, o.zone, o.spot, kNone, {}});
        }
        out_at_ = now;
        return true;
    }
    return false;
}

void Scaler::give_back(Ms now, CloudDialogue& cloud) {
    const Policy& policy = term_.core.policy;
    Books& books = term_.books;
    // Singly, as the design says; at hundreds of machines several intervals may have passed since
    // the last tick, and each of them is due its one machine.
    Ms interval = std::max<Ms>(1, to_ms(policy.in_interval_s));
    auto due =
        static_cast<std::uint32_t>(std::clamp<Ms>((now - in_at_) / interval, 0, kTick / interval));
    if (due == 0) due = now >= in_at_ ? 1 : 0;
    if (due == 0) return;
    std::vector<Room> trial = rooms_;
    left_ = unplaceable(trial);
    std::set<Id> wanted;
    for (const Room& r : trial) {
        if (!r.taken.empty() && r.machine != kNone) wanted.insert(r.machine);
    }
    std::vector<std::pair<double, Id>> empty;
    // Below the low mark one goes; above it only one that has stood empty for long: a measure held
    // up by one resource says nothing of machines bought for another.
    bool below = measure_.value < policy.mark_low;
    for (Id id = 0; id < books.machines.size(); ++id) {
        Machine& m = books.machines[id];
        if (!m.tasks.empty()) m.idle_since = now;
        const Kind* kind = books.kind(m.kind);
        if (m.gone || !m.held || m.returning || m.permanent || !m.reported || !kind) continue;
        // One that is kept for a gang stands empty until its mates are free.
        if (!m.tasks.empty() || wanted.count(id) || m.kept_for != kNone) continue;
        double price = m.spot ? kind->spot_price : kind->price;
        double wasted = price / 3600.0 * static_cast<double>(now - m.idle_since) / 1000.0;
        bool idle = policy.idle_cost > 0 && wasted > policy.idle_cost;
        if (!idle && !(below && now >= m.idle_since + 5000)) continue;
        empty.emplace_back(-price, id);
    }
    std::sort(empty.begin(), empty.end());
    if (empty.size() > due) empty.resize(due);
    for (const auto& [price, id] : empty) {
        in_at_ = now + interval;
        cloud.give_back(now, id, below ? "below the low mark" : "idle");
    }
}

// Every ten seconds, for those who ask for the debug log: what stands where.
void Scaler::tell(Ms now, const WorkerDialogue& workers) {
    if (now < told_at_ || !spdlog::should_log(spdlog::level::debug)) return;
    told_at_ = now + 10000;
    const Books& books = term_.books;
    std::string line;
    for (const Machine& m : books.machines) {
        if (m.gone) continue;
        line += fmt::format(" {}:{}{}:{}t/{}c/{}g/{}r", m.name,
                            m.kind == kNone ? "?" : books.names.kinds.name(m.kind),
                            workers.usable(m, now) ? "" : "(not up)", m.tasks.size(), m.used.cpus,
                            m.used.gpus, m.used.ram);
    }
    spdlog::debug(
        "measure {:.2f} of {}, {} jobs wait, {} with tasks that fit nowhere, {} writes queued;{}",
        std::min(measure_.value, 999.0), resource_name(measure_.driving), waiting_.size(),
        left_.size(), term_.core.state.queued(), line);
}

void Scaler::tick(Ms now, const WorkerDialogue& workers, CloudDialogue& cloud) {
    if (now < next_ && !term_.rent_now) return;
    next_ = now + kTick;
    bool at_once = term_.rent_now;
    term_.rent_now = false;
    if (!cloud.known() || term_.books.kinds().empty()) return;
    survey(now, workers, cloud);
    // A new leader has not heard all machines yet: it waits one interval before it rents.
    if (out_at_ < 0) out_at_ = term_.elected_at;
    std::vector<Room> trial = rooms_;
    left_ = unplaceable(trial);
    tell(now, workers);
    if (at_once || now >= out_at_ + to_ms(term_.core.policy.out_interval_s)) {
        rent_by_rule(now, cloud);
        rent_for_unplaceable(now, cloud);
    }
    give_back(now, cloud);
}

}  // namespace walkford
