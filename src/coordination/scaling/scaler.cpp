#include "coordination/scaling/scaler.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace walkford {

namespace {
constexpr Ms kTickInterval = 500;
constexpr Ms kFleetLogInterval = 10000;
constexpr int kMaxScaleOutRequests = 24;  // per tick, for tasks that fit on no machine
constexpr double kMaxMachinesPerRequest = 50;
constexpr Ms kMinIdleTime = 5000;  // before a release below the low mark
constexpr double kMaxLoggedUtilization = 999;
constexpr double kNegligibleCapacity = 1e-6;
}  // namespace

Scaler::Scaler(LeaderContext& context, const ZoneFailoverManager& zone_failover)
    : context_(context),
      zone_failover_(zone_failover),
      meter_(context, zone_failover),
      trial_packing_(context.cluster) {}

void Scaler::tick(Ms now, const WorkerManager& workers, CloudManager& cloud) {
    if (now < next_tick_at_ && !context_.scale_out_requested) {
        return;
    }
    next_tick_at_ = now + kTickInterval;
    bool skip_interval = context_.scale_out_requested;
    context_.scale_out_requested = false;
    if (!cloud.registry_initialized() || context_.cluster.machine_types().empty()) {
        return;
    }
    FleetMeasurement& fleet = meter_.measure(now, workers, cloud);
    // A new leader waits one interval before it scales out, because not all machines have reported
    // to it yet.
    if (last_scale_out_at_ < 0) {
        last_scale_out_at_ = context_.elected_at;
    }
    pack_pending(fleet);
    log_fleet(now, workers);
    const OperatorSettings& settings = context_.controller.operator_settings;
    if (skip_interval || now >= last_scale_out_at_ + to_ms(settings.scale_out_interval_s)) {
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

void Scaler::pack_demands(const FleetMeasurement& fleet,
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
    context_.candidate_counts.packing_candidates = trial_packing_.examined_bins();
}

void Scaler::pack_pending(const FleetMeasurement& fleet) {
    pack_demands(fleet, [this](PendingDemand& demand) {
        trial_packing_.pack(demand, TrialPacking::PartialFit::pack);
    });
}

void Scaler::pack_and_scale_out(Ms now, FleetMeasurement& fleet, CloudManager& cloud) {
    int requests = 0;
    pack_demands(fleet, [&](PendingDemand& demand) {
        trial_packing_.pack(demand, TrialPacking::PartialFit::skip);
        while (demand.count > 0 && requests < kMaxScaleOutRequests &&
               scale_out_for_demand(now, demand, fleet, cloud)) {
            ++requests;
            trial_packing_.pack(demand, TrialPacking::PartialFit::skip);
        }
        // No more machines are requested for this demand, so the part that fits takes the free
        // slots.
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
    for (const auto& [type_in_zone, count] : fleet.registered_machines) {
        machines += type_in_zone.machine_type == machine_type ? count : 0;
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
    ZoneMachineCounts& zone_machine_counts = fleet.zone_machine_counts[candidate.zone];
    count = std::min(
        count, zone_failover_.scale_out_allowance(candidate.zone, zone_machine_counts.reporting,
                                                  zone_machine_counts.provisioning, for_job));
    bool permanent = !cloud.first_scale_out_done() && settings.permanent_first > 0;
    if (permanent) {
        count = std::min(count, settings.permanent_first);
    }
    if (count == 0 || !cloud.request_machines(now, candidate.machine_type, candidate.zone,
                                              candidate.spot, count, permanent, reason)) {
        return 0;
    }
    zone_machine_counts.provisioning += count;
    return count;
}

void Scaler::scale_out_by_utilization(Ms now, FleetMeasurement& fleet, CloudManager& cloud) {
    const OperatorSettings& settings = context_.controller.operator_settings;
    const Utilization& utilization = fleet.utilization;
    if (utilization.value <= settings.mark_high || fleet.demands.empty()) {
        return;
    }
    Resource dominant = utilization.dominant;
    double midpoint = (settings.mark_low + settings.mark_high) / 2;
    double needed_capacity =
        (utilization.allocated.get(dominant) + utilization.pending.get(dominant)) / midpoint -
        utilization.capacity.get(dominant);
    // Demand displaced by a lost zone is divided among the open zones.
    double zone_count = zone_failover_.evacuating() ? zone_failover_.open_zones() : 1;
    double needed_per_zone = needed_capacity / zone_count;
    for (const ScaleOutCandidate& candidate :
         ScaleOutCandidates(now, context_, fleet, cloud).for_resource(dominant, unplaced_)) {
        if (needed_capacity <= kNegligibleCapacity) {
            break;
        }
        double per_machine =
            context_.cluster.machine_type(candidate.machine_type)->size.get(dominant);
        double wanted_machines =
            std::ceil(std::min(needed_capacity, needed_per_zone) / per_machine);
        auto count =
            static_cast<std::uint32_t>(std::clamp(wanted_machines, 1.0, kMaxMachinesPerRequest));
        count = request_machines(
            now, candidate, count,
            fmt::format("utilization of {} is {:.2f}, above the high mark {:.2f}",
                        resource_name(dominant), std::min(utilization.value, kMaxLoggedUtilization),
                        settings.mark_high),
            fleet, cloud);
        if (count == 0) {
            continue;
        }
        needed_capacity -= per_machine * count;
        add_bins(candidate, count, fleet);
        last_scale_out_at_ = now;
    }
}

// Scales out regardless of the high mark: the utilization of the whole fleet doesn't reveal a task
// that fits on no machine because of its machine type, zone, spot setting or fragmentation.
// Requests machines of the cheapest candidate only; the caller repeats the call while demand is
// left over.
bool Scaler::scale_out_for_demand(Ms now, const PendingDemand& demand, FleetMeasurement& fleet,
                                  CloudManager& cloud) {
    const Job& job = context_.cluster.jobs[demand.job];
    const OperatorSettings& settings = context_.controller.operator_settings;
    if (now < job.waiting_since + to_ms(settings.unplaceable_after_s)) {
        return false;
    }
    std::vector<ScaleOutCandidate> candidates =
        ScaleOutCandidates(now, context_, fleet, cloud).for_job(job.spec);
    return std::any_of(demand.shortfalls.begin(), demand.shortfalls.end(),
                       [&](const ZoneShortfall& shortfall) {
                           return shortfall.missing_slots > 0 &&
                                  scale_out_in_zone(now, job, shortfall, candidates, fleet, cloud);
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
            fmt::format("job {} has {} tasks that fit on no machine", job.spec.id, missing), fleet,
            cloud, context_.cluster.find_job(job.spec.id));
        if (count == 0) {
            continue;
        }
        add_bins(candidate, count, fleet);
        last_scale_out_at_ = now;
        return true;
    }
    return false;
}

// One machine may be released per interval. In a fleet of hundreds of machines the interval can be
// shorter than a tick; then one machine may be released for each interval since the last tick.
std::uint32_t Scaler::releases_due(Ms now, Ms interval) const {
    Ms intervals =
        std::clamp<Ms>((now - next_scale_in_at_) / interval, 0, kTickInterval / interval);
    if (intervals == 0) {
        return now >= next_scale_in_at_ ? 1 : 0;
    }
    return static_cast<std::uint32_t>(intervals);
}

// Below the low mark, any machine that has been empty for the minimum time may be released. Above
// it, only one whose idle time has cost more than the limit: a high utilization of one resource
// says nothing about machines that were requested for another resource.
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
    return below_low_mark && now >= machine.idle_since + kMinIdleTime;
}

std::vector<Scaler::ReleaseCandidate> Scaler::release_candidates(Ms now,
                                                                 bool below_low_mark) const {
    const ClusterState& cluster = context_.cluster;
    std::set<Id> needed_machines = trial_packing_.used_machines();
    std::vector<ReleaseCandidate> candidates;
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        const Machine& machine = cluster.machines[id];
        const MachineType* machine_type = cluster.machine_type(machine.machine_type);
        if (machine.terminated || !machine.registered || machine.releasing || machine.permanent ||
            !machine.worker.reported || !machine_type) {
            continue;
        }
        // A machine reserved for a gang stays empty until there is room for all of its tasks.
        if (!machine.tasks.empty() || needed_machines.count(id) ||
            machine.reservation.job != kNone) {
            continue;
        }
        if (release_allowed(now, machine, *machine_type, below_low_mark)) {
            candidates.push_back(
                {machine.spot ? machine_type->spot_price : machine_type->price, id});
        }
    }
    std::sort(candidates.begin(), candidates.end());
    return candidates;
}

void Scaler::scale_in(Ms now, CloudManager& cloud) {
    const OperatorSettings& settings = context_.controller.operator_settings;
    Ms interval = std::max<Ms>(1, to_ms(settings.scale_in_interval_s));
    std::uint32_t max_releases = releases_due(now, interval);
    if (max_releases == 0) {
        return;
    }
    for (Machine& machine : context_.cluster.machines) {
        if (!machine.tasks.empty()) {
            machine.idle_since = now;
        }
    }
    bool below_low_mark = last_utilization().value < settings.mark_low;
    std::vector<ReleaseCandidate> candidates = release_candidates(now, below_low_mark);
    if (candidates.size() > max_releases) {
        candidates.resize(max_releases);
    }
    for (const ReleaseCandidate& candidate : candidates) {
        next_scale_in_at_ = now + interval;
        cloud.release_machine(now, candidate.machine,
                              below_low_mark ? "utilization is below the low mark" : "idle");
    }
}

// Logs, at debug level only, the utilization, the pending demand and the usage of each machine.
void Scaler::log_fleet(Ms now, const WorkerManager& workers) {
    if (now < next_fleet_log_at_ || !spdlog::should_log(spdlog::level::debug)) {
        return;
    }
    next_fleet_log_at_ = now + kFleetLogInterval;
    const ClusterState& cluster = context_.cluster;
    std::string machines;
    for (const Machine& machine : cluster.machines) {
        if (machine.terminated) {
            continue;
        }
        machines += fmt::format(
            " {} ({}{}: {} tasks, {} cores, {} GPUs, {} GB memory)", machine.name,
            machine.machine_type == kNone ? "?"
                                          : cluster.names.machine_types.name(machine.machine_type),
            workers.schedulable(machine, now) ? "" : ", not schedulable", machine.tasks.size(),
            machine.used.cpus, machine.used.gpus, machine.used.ram);
    }
    const FleetMeasurement& fleet = meter_.last_measurement();
    spdlog::debug(
        "utilization of {} is {:.2f}; {} jobs pending, {} of them with tasks that fit on no "
        "machine; {} store writes queued; machines:{}",
        resource_name(fleet.utilization.dominant),
        std::min(fleet.utilization.value, kMaxLoggedUtilization), fleet.demands.size(),
        unplaced_.size(), context_.controller.store.queued(), machines);
}

}  // namespace walkford
