#include "coordination/scaling/scaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/placer.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

namespace {
constexpr Ms kTick = 500;
constexpr std::uint32_t kTrialTasks = 20000;  // a trial packing looks no further ...
constexpr std::size_t kMostLooked = 400000;   // ... nor at more rooms, each time it looks at one
constexpr std::size_t kMostFull = 16;
constexpr std::size_t kManySilent = 8;    // and a fifth of the fleet: more than machines that stop
constexpr Ms kBackWithin = 20000;         // ... after their lease
constexpr int kMaxScaleOutRequests = 24;  // for work that fits nowhere, in one go
}  // namespace

bool Scaler::back_soon(const Machine& m, Ms now) const {
    return m.registered && m.worker.reported && !m.terminated && !m.releasing &&
           !m.health.quarantined && m.worker.reclaim_at < 0 &&
           m.listing.state != CloudMachineState::failed && m.acknowledgement.missed_answers == 0 &&
           !zone_failover_.lost(m.zone) &&
           (context_.relayed(m) || now < m.worker.last_heartbeat +
                                             to_ms(context_.controller.platform_settings.lease_s) +
                                             kBackWithin);
}

// Machines that fall silent by the dozen hang or stand behind a cut, and go on: a second fleet in
// their place would be up when they are back. (The cloud's list tells those that died.)
bool Scaler::many_silent(Ms now, const WorkerManager& workers) const {
    std::size_t silent = 0, all = 0;
    for (const Machine& m : context_.cluster.machines) {
        if (!m.registered || m.terminated || !m.worker.reported) {
            continue;
        }
        ++all;
        silent += back_soon(m, now) && !workers.schedulable(m, now);
    }
    return silent >= kManySilent && 5 * silent >= all;
}

void Scaler::measure_utilization(Ms now, const WorkerManager& workers, const CloudManager& cloud) {
    ClusterState& cluster = context_.cluster;
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    bins_.clear();
    machine_counts_.clear();
    machines_of_.clear();
    utilization_ = {};
    bool together = many_silent(now, workers);
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        const Machine& m = cluster.machines[id];
        const MachineType* machine_type = cluster.machine_type(m.machine_type);
        if (m.terminated || !m.registered || !machine_type) {
            continue;
        }
        ++machine_counts_[{m.machine_type, m.zone}];
        utilization_.allocated += m.used;
        bool up = workers.schedulable(m, now);
        machines_of_[m.zone].reporting += up;
        machines_of_[m.zone].on_their_way += !m.worker.reported && !m.releasing;
        // One on its way counts as capacity, or the rule rents twice; one that is late does not.
        bool booting = !m.worker.reported && !m.releasing &&
                       now < m.requested_at +
                                 to_ms(machine_type->boot_s * operator_settings.boot_late_factor) +
                                 3000;
        bool settling = now < context_.elected_at + 6000 && !m.releasing && !m.health.quarantined;
        bool silent = together && !up && back_soon(m, now);
        if (!up && !booting && !settling && !silent) {
            // What is still booked there counts on both sides.
            utilization_.capacity += m.used;
            continue;
        }
        utilization_.capacity += machine_type->size;
        bins_.push_back({machine_type->size - m.used, m.machine_type, m.zone, id, m.spot, false});
    }
    for (const ScaleOutRequest& h : cloud.scale_out_requests()) {
        const MachineType* machine_type = cluster.machine_type(h.machine_type);
        if (!machine_type) {
            continue;
        }
        utilization_.capacity += machine_type->size * h.count;
        machines_of_[h.zone].on_their_way += h.count;
        for (std::uint32_t i = 0; i < h.count; ++i) {
            bins_.push_back({machine_type->size, h.machine_type, h.zone, kNone, h.spot, false});
        }
    }
    // Waiting demand, as far as the teams' limits admit it.
    waiting_.clear();
    std::map<Id, Resources> extra;
    std::set<Id> blocked;
    std::uint32_t tasks = 0;
    for (Id id :
         Placer::waiting_order(cluster, now, operator_settings.priority_aging_s, zone_failover_)) {
        const Job& j = cluster.jobs[id];
        // Bound to a lost zone: no machine elsewhere helps it, and its limit keeps nobody back.
        if (zone_failover_.waits_for_zone(id)) {
            if (zone_failover_.waited_long(id)) {
                waiting_.push_back({id, j.waiting()});
            }
            continue;
        }
        const Team* team = cluster.team(j.spec.team);
        if (!team) {
            continue;
        }
        Resources& more = extra[j.spec.team];
        std::uint32_t n = j.waiting();
        auto room = [](double limit, double used, double each) {
            if (limit <= 0 || each <= 0) {
                return 1e9;
            }
            return std::max(0.0, std::floor((limit - used + 1e-6) / each));
        };
        Resources used = cluster.team_used(j.spec.team) + more;
        double most = std::min(room(team->quota.cpus, used.cpus, j.spec.each.cpus),
                               room(team->quota.gpus, used.gpus, j.spec.each.gpus));
        if (blocked.count(j.spec.team)) {
            continue;
        }
        if (most < (j.spec.gang() ? n : 1)) {
            blocked.insert(j.spec.team);
            continue;
        }
        n = static_cast<std::uint32_t>(std::min<double>(n, most));
        if (n == 0) {
            continue;
        }
        bool fits_some =
            std::any_of(cluster.machine_types().begin(), cluster.machine_types().end(),
                        [&](const MachineType& k) {
                            return j.spec.allows_machine_type(k.id) && j.spec.each.fits_in(k.size);
                        });
        if (!fits_some) {
            continue;
        }
        more += j.spec.each * n;
        utilization_.pending += j.spec.each * n;
        waiting_.push_back({id, n});
        tasks += n;
        if (tasks > kTrialTasks) {
            break;
        }
    }
    for (Resource resource : kResources) {
        double want = utilization_.allocated.get(resource) + utilization_.pending.get(resource);
        double have = utilization_.capacity.get(resource);
        double share = want <= 1e-9 ? 0 : have <= 1e-9 ? 1e9 : want / have;
        if (share > utilization_.value) {
            utilization_.value = share;
            utilization_.driving = resource;
        }
    }
}

// A trial packing of what waits on what is there or on its way; what is left needs machines.
void Scaler::trial_pack(Ms now, CloudManager* cloud) {
    left_.clear();
    full_.clear();
    looked_ = 0;
    // Rooms too small for any of it are not looked at again for each job: in a full fleet that is
    // most of them.
    least_ = {1e18, 1e18, 1e18};
    for (const PendingDemand& d : waiting_) {
        const Resources& each = context_.cluster.jobs[d.job].spec.each;
        least_ = {std::min(least_.cpus, each.cpus), std::min(least_.gpus, each.gpus),
                  std::min(least_.ram, each.ram)};
    }
    open_.clear();
    filled_ = 0;
    trial_ = bins_;
    for (std::uint32_t i = 0; i < trial_.size(); ++i) {
        trial_[i].taken = false;
        if (least_.fits_in(trial_[i].free)) {
            open_.push_back(i);
        }
    }
    int requested = 0;
    for (const PendingDemand& waiting : waiting_) {
        if (looked_ > kMostLooked) {
            break;
        }
        PendingDemand d = waiting;
        trial_pack_demand(d, !cloud);
        while (d.count > 0 && cloud && requested < kMaxScaleOutRequests &&
               scale_out_for(now, d, *cloud)) {
            ++requested;
            trial_pack_demand(d, false);
        }
        if (d.count > 0 && cloud) {
            trial_pack_demand(d, true);
        }
        if (d.count > 0) {
            left_.push_back(std::move(d));
        }
    }
    context_.work.packing = looked_;
}

// Tasks that must share a zone are counted zone by zone (places in two zones complete no gang), and
// those that must be spread up to what each zone may hold. Such a job is put somewhere only whole,
// or in part at last (`finally`), when no more is to be rented for it.
void Scaler::trial_pack_demand(PendingDemand& d, bool finally) {
    const ClusterState& cluster = context_.cluster;
    const Job& j = cluster.jobs[d.job];
    const JobSpec& s = j.spec;
    d.ways.clear();
    if (!s.one_zone && !s.spread) {
        if (!surely_full(s)) {
            fill_bins(s, kNone, d.count);
            if (d.count > 0 && full_.size() < kMostFull) {
                full_.push_back(d.job);
            }
        }
        d.ways = {{kNone, d.count}};
        return;
    }
    auto had_in = [&j](Id zone) {
        auto here = j.zones.find(zone);
        return here == j.zones.end() ? 0 : here->second;
    };
    std::vector<std::pair<std::uint32_t, Id>> sums;  // by zone
    std::uint32_t total = 0;
    for (Id zone = 0; zone < cluster.names.zones.size(); ++zone) {
        std::uint32_t most = d.count;
        std::uint32_t had = had_in(zone);
        if (s.one_zone && !j.zones.empty() && had == 0) {
            continue;
        }
        if (s.spread) {
            most = std::min(most, s.zone_most() - std::min(had, s.zone_most()));
        }
        if (most == 0) {
            continue;
        }
        std::uint32_t sum = places(s, zone, most);
        sums.emplace_back(sum, zone);
        total = s.one_zone ? std::max(total, sum) : total + sum;
    }
    std::stable_sort(sums.begin(), sums.end(),
                     [](const auto& a, const auto& b) { return a.first > b.first; });
    bool put = finally || total >= d.count;
    std::uint32_t n = d.count;
    if (s.one_zone) {
        for (const auto& [sum, zone] : sums) {
            d.ways.emplace_back(zone, d.count - sum);
        }
        if (put && !sums.empty()) {
            fill_bins(s, sums.front().second, n);
        }
    } else {
        for (const auto& [sum, zone] : sums) {
            std::uint32_t take = std::min(sum, n);
            n -= take;
            std::uint32_t unpacked = take;
            if (put) {
                fill_bins(s, zone, unpacked);
            }
            if (s.zone_most() > had_in(zone) + take) {
                d.ways.emplace_back(zone, s.zone_most() - had_in(zone) - take);
            }
        }
        for (auto& way : d.ways) {
            way.second = std::min(way.second, n);
        }
    }
    if (put) {
        d.count = n;
    }
}

// One like it, or smaller, has found no room since rooms were last added.
bool Scaler::surely_full(const JobSpec& s) const {
    return std::any_of(full_.begin(), full_.end(), [&](Id id) {
        const JobSpec& f = context_.cluster.jobs[id].spec;
        return f.any_machine_type == s.any_machine_type && f.machine_types == s.machine_types &&
               f.zone == s.zone && f.spot == s.spot && f.each.cpus <= s.each.cpus &&
               f.each.gpus <= s.each.gpus && f.each.ram <= s.each.ram;
    });
}

std::uint32_t Scaler::places(const JobSpec& s, Id zone, std::uint32_t most) {
    std::uint32_t sum = 0;
    for (std::uint32_t i : open_) {
        ++looked_;
        const Bin& r = trial_[i];
        if (r.zone != zone || !s.each.fits_in(r.free)) {
            continue;
        }
        sum += ClusterState::slots(s, r.machine_type, r.zone, r.spot, r.free);
        if (sum >= most) {
            return most;
        }
    }
    return sum;
}

void Scaler::fill_bins(const JobSpec& s, Id zone, std::uint32_t& n) {
    for (std::uint32_t i : open_) {
        if (n == 0) {
            break;
        }
        ++looked_;
        Bin& r = trial_[i];
        if ((zone != kNone && r.zone != zone) || !s.each.fits_in(r.free)) {
            continue;
        }
        std::uint32_t k =
            std::min(n, ClusterState::slots(s, r.machine_type, r.zone, r.spot, r.free));
        if (k == 0) {
            continue;
        }
        r.free -= s.each * k;
        r.taken = true;
        n -= k;
        filled_ += !least_.fits_in(r.free);
    }
    if (filled_ * 4 < open_.size()) {
        return;
    }
    std::erase_if(open_, [this](std::uint32_t i) { return !least_.fits_in(trial_[i].free); });
    filled_ = 0;
}

void Scaler::add_bins(const Option& o, std::uint32_t n) {
    const Resources& size = context_.cluster.machine_type(o.machine_type)->size;
    full_.clear();
    for (std::uint32_t i = 0; i < n; ++i) {
        open_.push_back(static_cast<std::uint32_t>(bins_.size()));
        bins_.push_back({size, o.machine_type, o.zone, kNone, o.spot, false});
        trial_.push_back(bins_.back());
    }
}

std::vector<Scaler::Option> Scaler::options(const JobSpec* s, std::optional<Resource> resource,
                                            Ms now, const CloudManager& cloud) const {
    const ClusterState& cluster = context_.cluster;
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    std::vector<Option> list;
    for (const MachineType& k : cluster.machine_types()) {
        if (resource && k.size.get(*resource) <= 0) {
            continue;
        }
        for (Id zone : k.zones) {
            for (bool spot : {true, false}) {
                if (spot && (operator_settings.prefer_spot <= 0 || k.spot_price <= 0)) {
                    continue;
                }
                auto suits = [&](const JobSpec& spec) {
                    return ClusterState::slots(spec, k.id, zone, spot, k.size);
                };
                bool any = s ? suits(*s) > 0
                             : std::any_of(left_.begin(), left_.end(), [&](const PendingDemand& d) {
                                   return suits(cluster.jobs[d.job].spec) > 0;
                               });
                if (!any) {
                    continue;
                }
                Option o{k.id, zone, spot, spot ? k.spot_price : k.price, k.size.cpus, 0};
                // Price for a task of this job on such a machine, or for the driving resource.
                o.cost = o.price / (s ? suits(*s) : k.size.get(*resource));
                if (o.cost <= 0) {
                    continue;
                }
                if (cloud.can_request(k.id, zone, spot, now)) {
                    list.push_back(o);
                }
            }
        }
    }
    // Zones take turns: a wave or a cut takes one zone at a time.
    auto registered = [this](const Option& o) {
        auto it = machine_counts_.find({o.machine_type, o.zone});
        return it == machine_counts_.end() ? 0 : it->second;
    };
    std::stable_sort(list.begin(), list.end(), [&](const Option& a, const Option& b) {
        if (operator_settings.order == "cores" && a.cores != b.cores) {
            return a.cores > b.cores;
        }
        if (std::abs(a.cost - b.cost) > 1e-9) {
            return a.cost < b.cost;
        }
        return registered(a) < registered(b);
    });
    return list;
}

std::uint32_t Scaler::machine_count(Id machine_type, const CloudManager& cloud) const {
    std::uint32_t n = 0;
    for (const auto& [where, count] : machine_counts_) {
        n += where.first == machine_type ? count : 0;
    }
    for (const ScaleOutRequest& h : cloud.scale_out_requests()) {
        n += h.machine_type == machine_type ? h.count : 0;
    }
    return n;
}

std::uint32_t Scaler::request_machines(Ms now, const Option& o, std::uint32_t n,
                                       const std::string& why, CloudManager& cloud, Id for_job) {
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    std::uint32_t registered = machine_count(o.machine_type, cloud);
    if (registered >= operator_settings.max_per_machine_type) {
        return 0;
    }
    n = std::min(n, operator_settings.max_per_machine_type - registered);
    ZoneMachines& there = machines_of_[o.zone];
    n = std::min(n, zone_failover_.scale_out_allowance(o.zone, there.reporting, there.on_their_way,
                                                       for_job));
    bool permanent = !cloud.first_scale_out_done() && operator_settings.permanent_first > 0;
    if (permanent) {
        n = std::min(n, operator_settings.permanent_first);
    }
    if (n == 0 || !cloud.request_machines(now, o.machine_type, o.zone, o.spot, n, permanent, why)) {
        return 0;
    }
    there.on_their_way += n;
    return n;
}

void Scaler::scale_out_by_utilization(Ms now, CloudManager& cloud) {
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    if (utilization_.value <= operator_settings.mark_high || waiting_.empty()) {
        return;
    }
    Resource driving = utilization_.driving;
    double middle = (operator_settings.mark_low + operator_settings.mark_high) / 2;
    double need =
        (utilization_.allocated.get(driving) + utilization_.pending.get(driving)) / middle -
        utilization_.capacity.get(driving);
    // What a lost zone displaced is divided among the others.
    double parts = zone_failover_.evacuating() ? zone_failover_.open_zones() : 1;
    double part = need / parts;
    for (const Option& o : options(nullptr, driving, now, cloud)) {
        if (need <= 1e-6) {
            break;
        }
        double each = context_.cluster.machine_type(o.machine_type)->size.get(driving);
        double wanted = std::ceil(std::min(need, part) / each);
        auto n = static_cast<std::uint32_t>(std::clamp(wanted, 1.0, 50.0));
        n = request_machines(
            now, o, n,
            fmt::format("measure {:.2f} of {} above {:.2f}", std::min(utilization_.value, 999.0),
                        resource_name(driving), operator_settings.mark_high),
            cloud);
        if (n == 0) {
            continue;
        }
        need -= each * n;
        add_bins(o, n);
        out_at_ = now;
    }
}

// Exception: the fleet-wide share can't see a task that fits nowhere (kind, zone, spot,
// fragmentation). The cheapest machine for it is rented, one option at a time.
bool Scaler::scale_out_for(Ms now, const PendingDemand& d, CloudManager& cloud) {
    const Job& j = context_.cluster.jobs[d.job];
    if (now < j.waiting_since + to_ms(context_.controller.operator_settings.unplaceable_after_s)) {
        return false;
    }
    std::vector<Option> all = options(&j.spec, std::nullopt, now, cloud);
    return std::any_of(d.ways.begin(), d.ways.end(), [&](const auto& way) {
        return way.second > 0 && scale_out_places(now, j, way.first, way.second, all, cloud);
    });
}

bool Scaler::scale_out_places(Ms now, const Job& j, Id zone, std::uint32_t count,
                              const std::vector<Option>& all, CloudManager& cloud) {
    for (const Option& o : all) {
        if (zone != kNone && o.zone != zone) {
            continue;
        }
        const MachineType* machine_type = context_.cluster.machine_type(o.machine_type);
        std::uint32_t per =
            ClusterState::slots(j.spec, o.machine_type, o.zone, o.spot, machine_type->size);
        if (per == 0) {
            continue;
        }
        std::uint32_t n = (count + per - 1) / per;
        n = request_machines(now, o, n,
                             fmt::format("{} has {} tasks that fit nowhere", j.spec.id, count),
                             cloud, context_.cluster.find_job(j.spec.id));
        if (n == 0) {
            continue;
        }
        add_bins(o, n);
        out_at_ = now;
        return true;
    }
    return false;
}

void Scaler::scale_in(Ms now, CloudManager& cloud) {
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    ClusterState& cluster = context_.cluster;
    // Singly, as the design says; at hundreds of machines several intervals may have passed since
    // the last tick, and each of them is due its one machine.
    Ms interval = std::max<Ms>(1, to_ms(operator_settings.in_interval_s));
    auto due =
        static_cast<std::uint32_t>(std::clamp<Ms>((now - in_at_) / interval, 0, kTick / interval));
    if (due == 0) {
        due = now >= in_at_ ? 1 : 0;
    }
    if (due == 0) {
        return;
    }
    std::set<Id> wanted;
    for (const Bin& r : trial_) {
        if (r.taken && r.machine != kNone) {
            wanted.insert(r.machine);
        }
    }
    std::vector<std::pair<double, Id>> empty;
    // Below the low mark one goes; above it only one that has stood empty for long: a measure held
    // up by one resource says nothing of machines bought for another.
    bool below = utilization_.value < operator_settings.mark_low;
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        Machine& m = cluster.machines[id];
        if (!m.tasks.empty()) {
            m.idle_since = now;
        }
        const MachineType* machine_type = cluster.machine_type(m.machine_type);
        if (m.terminated || !m.registered || m.releasing || m.permanent || !m.worker.reported ||
            !machine_type) {
            continue;
        }
        // One that is kept for a gang stands empty until its mates are free.
        if (!m.tasks.empty() || wanted.count(id) || m.reservation.job != kNone) {
            continue;
        }
        double price = m.spot ? machine_type->spot_price : machine_type->price;
        double wasted = price / 3600.0 * static_cast<double>(now - m.idle_since) / 1000.0;
        bool idle = operator_settings.max_idle_cost > 0 && wasted > operator_settings.max_idle_cost;
        if (!idle && !(below && now >= m.idle_since + 5000)) {
            continue;
        }
        empty.emplace_back(-price, id);
    }
    std::sort(empty.begin(), empty.end());
    if (empty.size() > due) {
        empty.resize(due);
    }
    for (const auto& [price, id] : empty) {
        in_at_ = now + interval;
        cloud.release_machine(now, id, below ? "below the low mark" : "idle");
    }
}

// Every ten seconds, for those who ask for the debug log: what stands where.
void Scaler::tell(Ms now, const WorkerManager& workers) {
    if (now < told_at_ || !spdlog::should_log(spdlog::level::debug)) {
        return;
    }
    told_at_ = now + 10000;
    const ClusterState& cluster = context_.cluster;
    std::string line;
    for (const Machine& m : cluster.machines) {
        if (m.terminated) {
            continue;
        }
        line += fmt::format(
            " {}:{}{}:{}t/{}c/{}g/{}r", m.name,
            m.machine_type == kNone ? "?" : cluster.names.machine_types.name(m.machine_type),
            workers.schedulable(m, now) ? "" : "(not up)", m.tasks.size(), m.used.cpus, m.used.gpus,
            m.used.ram);
    }
    spdlog::debug(
        "measure {:.2f} of {}, {} jobs wait, {} with tasks that fit nowhere, {} writes queued;{}",
        std::min(utilization_.value, 999.0), resource_name(utilization_.driving), waiting_.size(),
        left_.size(), context_.controller.store.queued(), line);
}

void Scaler::tick(Ms now, const WorkerManager& workers, CloudManager& cloud) {
    if (now < next_ && !context_.scale_out_now) {
        return;
    }
    next_ = now + kTick;
    bool at_once = context_.scale_out_now;
    context_.scale_out_now = false;
    if (!cloud.known() || context_.cluster.machine_types().empty()) {
        return;
    }
    measure_utilization(now, workers, cloud);
    // A new leader has not heard all machines yet: it waits one interval before it rents.
    if (out_at_ < 0) {
        out_at_ = context_.elected_at;
    }
    trial_pack(now, nullptr);
    tell(now, workers);
    if (at_once || now >= out_at_ + to_ms(context_.controller.operator_settings.out_interval_s)) {
        std::size_t had = bins_.size();
        scale_out_by_utilization(now, cloud);
        if (!left_.empty() || bins_.size() > had) {
            trial_pack(now, context_.controller.operator_settings.scale_out_unplaceable ? &cloud
                                                                                        : nullptr);
        }
    }
    scale_in(now, cloud);
}

}  // namespace walkford
