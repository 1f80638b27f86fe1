#include "coordination/scaling/scaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace walkford {

namespace {
constexpr Ms kTick = 500;
constexpr Ms kLogFleetEvery = 10000;
constexpr int kMaxScaleOutRequests = 24;  // for demand that fits nowhere, in one tick
constexpr double kMaxMachinesPerRequest = 50;
constexpr Ms kMinIdle = 5000;  // before a machine is released below the low mark
constexpr double kMaxLoggedUtilization = 999;
constexpr double kNegligible = 1e-6;
}  // namespace

Scaler::Scaler(LeaderContext& context, const ZoneFailoverManager& zone_failover)
    : context_(context),
      zone_failover_(zone_failover),
      meter_(context, zone_failover),
      trial_packing_(context.cluster) {}

void Scaler::tick(Ms now, const WorkerManager& workers, CloudManager& cloud) {
    if (now < next_tick_at_ && !context_.scale_out_now) {
        return;
    }
    next_tick_at_ = now + kTick;
    bool at_once = context_.scale_out_now;
    context_.scale_out_now = false;
    if (!cloud.known() || context_.cluster.machine_types().empty()) {
        return;
    }
    FleetMeasurement& fleet = meter_.measure(now, workers, cloud);
    // Not all machines have reported to a new leader yet: it waits one interval before it scales
    // out.
    if (scaled_out_at_ < 0) {
        scaled_out_at_ = context_.elected_at;
    }
    pack_pending(fleet);
    log_fleet(now, workers);
    const OperatorSettings& settings = context_.controller.operator_settings;
    if (at_once || now >= scaled_out_at_ + to_ms(settings.out_interval_s)) {
        std::size_t bins_before = fleet.bins.size();
        scale_out_by_utilization(now, fleet, cloud);
        if (!unplaced_.empty() || fleet.bins.size() > bins_before) {
            if (settings.scale_out_unplaceable) {
                pack_and_scale_out(now, fleet, cloud);
            } else {
                pack_pending(fleet);
            }
        }
    }
    scale_in(now, cloud);
}

void Scaler::pack_each(const FleetMeasurement& fleet,
                       const std::function<void(PendingDemand&)>& pack) {
    unplaced_.clear();
    trial_packing_.begin(fleet.bins, fleet.demands);
    for (const PendingDemand& pending : fleet.demands) {
        if (trial_packing_.work_limit_reached()) {
            break;
        }
        PendingDemand demand = pending;
        pack(demand);
        if (demand.count > 0) {
            unplaced_.push_back(std::move(demand));
        }
    }
    context_.work.packing = trial_packing_.examined_bins();
}

void Scaler::pack_pending(const FleetMeasurement& fleet) {
    pack_each(fleet, [this](PendingDemand& demand) {
        trial_packing_.pack(demand, TrialPacking::PartialFit::pack);
    });
}

void Scaler::pack_and_scale_out(Ms now, FleetMeasurement& fleet, CloudManager& cloud) {
    int requests = 0;
    pack_each(fleet, [&](PendingDemand& demand) {
        trial_packing_.pack(demand, TrialPacking::PartialFit::leave_out);
        while (demand.count > 0 && requests < kMaxScaleOutRequests &&
               scale_out_for_demand(now, demand, fleet, cloud)) {
            ++requests;
            trial_packing_.pack(demand, TrialPacking::PartialFit::leave_out);
        }
        // No more is requested for it: what there is goes to it.
        if (demand.count > 0) {
            trial_packing_.pack(demand, TrialPacking::PartialFit::pack);
        }
    });
}

void Scaler::add_bins(const ScaleOutCandidate& candidate, std::uint32_t count,
                      FleetMeasurement& fleet) {
    const Resources& size = context_.cluster.machine_type(candidate.machine_type)->size;
    Bin bin{size, candidate.machine_type, candidate.zone, kNone, candidate.spot, false};
    for (std::uint32_t i = 0; i < count; ++i) {
        fleet.bins.push_back(bin);
        trial_packing_.add_bin(bin);
    }
}

std::uint32_t Scaler::machine_count(Id machine_type, const FleetMeasurement& fleet,
                                    const CloudManager& cloud) {
    std::uint32_t machines = 0;
    for (const auto& [where, count] : fleet.registered_machines) {
        machines += where.machine_type == machine_type ? count : 0;
    }
    for (const ScaleOutRequest& request : cloud.scale_out_requests()) {
        machines += request.machine_type == machine_type ? request.count : 0;
    }
    return machines;
}

std::uint32_t Scaler::request_machines(Ms now, const ScaleOutCandidate& candidate,
                                       std::uint32_t count, const std::string& reason,
                                       FleetMeasurement& fleet, CloudManager& cloud, Id for_job) {
    const OperatorSettings& settings = context_.controller.operator_settings;
    std::uint32_t existing = machine_count(candidate.machine_type, fleet, cloud);
    if (existing >= settings.max_per_machine_type) {
        return 0;
    }
    count = std::min(count, settings.max_per_machine_type - existing);
    ZoneMachines& zone_machines = fleet.zone_machines[candidate.zone];
    count =
        std::min(count, zone_failover_.scale_out_allowance(candidate.zone, zone_machines.reporting,
                                                           zone_machines.on_their_way, for_job));
    bool permanent = !cloud.first_scale_out_done() && settings.permanent_first > 0;
    if (permanent) {
        count = std::min(count, settings.permanent_first);
    }
    if (count == 0 || !cloud.request_machines(now, candidate.machine_type, candidate.zone,
                                              candidate.spot, count, permanent, reason)) {
        return 0;
    }
    zone_machines.on_their_way += count;
    return count;
}

void Scaler::scale_out_by_utilization(Ms now, FleetMeasurement& fleet, CloudManager& cloud) {
    const OperatorSettings& settings = context_.controller.operator_settings;
    const Utilization& utilization = fleet.utilization;
    if (utilization.value <= settings.mark_high || fleet.demands.empty()) {
        return;
    }
    Resource driving = utilization.driving;
    double midpoint = (settings.mark_low + settings.mark_high) / 2;
    double needed =
        (utilization.allocated.get(driving) + utilization.pending.get(driving)) / midpoint -
        utilization.capacity.get(driving);
    // What a lost zone displaced is divided among the others.
    double zones = zone_failover_.evacuating() ? zone_failover_.open_zones() : 1;
    double needed_per_zone = needed / zones;
    for (const ScaleOutCandidate& candidate :
         ScaleOutCandidates(now, context_, fleet, cloud).for_resource(driving, unplaced_)) {
        if (needed <= kNegligible) {
            break;
        }
        double each = context_.cluster.machine_type(candidate.machine_type)->size.get(driving);
        double wanted = std::ceil(std::min(needed, needed_per_zone) / each);
        auto count = static_cast<std::uint32_t>(std::clamp(wanted, 1.0, kMaxMachinesPerRequest));
        count = request_machines(now, candidate, count,
                                 fmt::format("utilization {:.2f} of {} above {:.2f}",
                                             std::min(utilization.value, kMaxLoggedUtilization),
                                             resource_name(driving), settings.mark_high),
                                 fleet, cloud);
        if (count == 0) {
            continue;
        }
        needed -= each * count;
        add_bins(candidate, count, fleet);
        scaled_out_at_ = now;
    }
}

// Exception: the utilization of the whole fleet doesn't show a task that fits nowhere (machine
// type, zone, spot, fragmentation). The cheapest machine for it is requested, one candidate at a
// time.
bool Scaler::scale_out_for_demand(Ms now, const PendingDemand& demand, FleetMeasurement& fleet,
                                  CloudManager& cloud) {
    const Job& job = context_.cluster.jobs[demand.job];
    const OperatorSettings& settings = context_.controller.operator_settings;
    if (now < job.waiting_since + to_ms(settings.unplaceable_after_s)) {
        return false;
    }
    std::vector<ScaleOutCandidate> list =
        ScaleOutCandidates(now, context_, fleet, cloud).for_job(job.spec);
    return std::any_of(demand.shortfalls.begin(), demand.shortfalls.end(),
                       [&](const ZoneShortfall& shortfall) {
                           return shortfall.missing_slots > 0 &&
                                  scale_out_in_zone(now, job, shortfall, list, fleet, cloud);
                       });
}

bool Scaler::scale_out_in_zone(Ms now, const Job& job, const ZoneShortfall& shortfall,
                               const std::vector<ScaleOutCandidate>& candidates,
                               FleetMeasurement& fleet, CloudManager& cloud) {
    std::uint32_t missing = shortfall.missing_slots;
    for (const ScaleOutCandidate& candidate : candidates) {
        if (shortfall.zone != kNone && candidate.zone != shortfall.zone) {
            continue;
        }
        const MachineType* machine_type = context_.cluster.machine_type(candidate.machine_type);
        std::uint32_t slots = ClusterState::slots(job.spec, candidate.machine_type, candidate.zone,
                                                  candidate.spot, machine_type->size);
        if (slots == 0) {
            continue;
        }
        std::uint32_t count = (missing + slots - 1) / slots;
        count = request_machines(
            now, candidate, count,
            fmt::format("{} has {} tasks that fit on no machine", job.spec.id, missing), fleet,
            cloud, context_.cluster.find_job(job.spec.id));
        if (count == 0) {
            continue;
        }
        add_bins(candidate, count, fleet);
        scaled_out_at_ = now;
        return true;
    }
    return false;
}

// One at a time, as the design says; at hundreds of machines several intervals may have passed
// since the last tick, and each of them is due its one machine.
std::uint32_t Scaler::releases_due(Ms now, Ms interval) const {
    Ms intervals = std::clamp<Ms>((now - scale_in_at_) / interval, 0, kTick / interval);
    if (intervals == 0) {
        return now >= scale_in_at_ ? 1 : 0;
    }
    return static_cast<std::uint32_t>(intervals);
}

// Below the low mark one that is empty goes; above it only one that has stood empty for long: a
// utilization held up by one resource says nothing of machines requested for another.
bool Scaler::release_allowed(Ms now, const Machine& machine, const MachineType& machine_type,
                             bool below_low_mark) const {
    constexpr double kSecondsPerHour = 3600.0;
    constexpr double kMsPerSecond = 1000.0;
    double max_idle_cost = context_.controller.operator_settings.max_idle_cost;
    double price = machine.spot ? machine_type.spot_price : machine_type.price;
    double idle_cost =
        price / kSecondsPerHour * static_cast<double>(now - machine.idle_since) / kMsPerSecond;
    if (max_idle_cost > 0 && idle_cost > max_idle_cost) {
        return true;
    }
    return below_low_mark && now >= machine.idle_since + kMinIdle;
}

std::vector<Scaler::ReleaseCandidate> Scaler::release_candidates(Ms now,
                                                                 bool below_low_mark) const {
    const ClusterState& cluster = context_.cluster;
    std::set<Id> needed = trial_packing_.used_machines();
    std::vector<ReleaseCandidate> list;
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        const Machine& machine = cluster.machines[id];
        const MachineType* machine_type = cluster.machine_type(machine.machine_type);
        if (machine.terminated || !machine.registered || machine.releasing || machine.permanent ||
            !machine.worker.reported || !machine_type) {
            continue;
        }
        // One that is reserved for a gang stands empty until there is room for all members.
        if (!machine.tasks.empty() || needed.count(id) || machine.reservation.job != kNone) {
            continue;
        }
        if (release_allowed(now, machine, *machine_type, below_low_mark)) {
            list.push_back({machine.spot ? machine_type->spot_price : machine_type->price, id});
        }
    }
    std::sort(list.begin(), list.end());
    return list;
}

void Scaler::scale_in(Ms now, CloudManager& cloud) {
    const OperatorSettings& settings = context_.controller.operator_settings;
    Ms interval = std::max<Ms>(1, to_ms(settings.in_interval_s));
    std::uint32_t due = releases_due(now, interval);
    if (due == 0) {
        return;
    }
    for (Machine& machine : context_.cluster.machines) {
        if (!machine.tasks.empty()) {
            machine.idle_since = now;
        }
    }
    bool below_low_mark = last().value < settings.mark_low;
    std::vector<ReleaseCandidate> list = release_candidates(now, below_low_mark);
    if (list.size() > due) {
        list.resize(due);
    }
    for (const ReleaseCandidate& candidate : list) {
        scale_in_at_ = now + interval;
        cloud.release_machine(now, candidate.machine,
                              below_low_mark ? "below the low mark" : "idle");
    }
}

// For those who ask for the debug log: what runs where.
void Scaler::log_fleet(Ms now, const WorkerManager& workers) {
    if (now < log_fleet_at_ || !spdlog::should_log(spdlog::level::debug)) {
        return;
    }
    log_fleet_at_ = now + kLogFleetEvery;
    const ClusterState& cluster = context_.cluster;
    std::string machines;
    for (const Machine& machine : cluster.machines) {
        if (machine.terminated) {
            continue;
        }
        machines += fmt::format(
            " {}:{}{}:{}t/{}c/{}g/{}r", machine.name,
            machine.machine_type == kNone ? "?"
                                          : cluster.names.machine_types.name(machine.machine_type),
            workers.schedulable(machine, now) ? "" : "(not up)", machine.tasks.size(),
            machine.used.cpus, machine.used.gpus, machine.used.ram);
    }
    const FleetMeasurement& fleet = meter_.last();
    spdlog::debug(
        "utilization {:.2f} of {}, {} jobs pending, {} with tasks that fit on no machine, "
        "{} writes queued;{}",
        std::min(fleet.utilization.value, kMaxLoggedUtilization),
        resource_name(fleet.utilization.driving), fleet.demands.size(), unplaced_.size(),
        context_.controller.store.queued(), machines);
}

}  // namespace walkford
