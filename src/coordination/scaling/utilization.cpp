#include "coordination/scaling/utilization.hpp"

#include <algorithm>
#include <cmath>

#include "coordination/placement/waiting_order.hpp"

namespace walkford {

namespace {
// A measurement ends with the job whose tasks exceed this total.
constexpr std::uint32_t kMaxPendingTasks = 20000;
// At least 8 silent machines that are also at least a fifth of the fleet indicate a common cause
// rather than failures of individual machines.
constexpr std::size_t kMinSilentMachines = 8;
constexpr std::size_t kMachinesPerSilentMachine = 5;
constexpr Ms kRecoveryWindow = 20000;           // after the lease of a silent machine has ended
constexpr Ms kBootAllowance = 3000;             // added for the request and the first heartbeat
constexpr Ms kReportGraceAfterElection = 6000;  // in which machines report to a new leader
constexpr double kUnlimited = 1e9;
constexpr double kNegligible = 1e-9;

// The number of tasks of size `each` that the quota admits on top of the used amount. A quota of 0
// sets no limit.
double tasks_within_quota(double quota, double used, double each) {
    constexpr double kRoundingTolerance = 1e-6;
    if (quota <= 0 || each <= 0) {
        return kUnlimited;
    }
    return std::max(0.0, std::floor((quota - used + kRoundingTolerance) / each));
}

double share_of(double demand, double capacity) {
    if (demand <= kNegligible) {
        return 0;
    }
    return capacity <= kNegligible ? kUnlimited : demand / capacity;
}
}  // namespace

UtilizationMeter::UtilizationMeter(LeaderContext& context, const ZoneFailoverManager& zone_failover)
    : context_(context), zone_failover_(zone_failover) {}

FleetMeasurement& UtilizationMeter::measure(Ms now, const WorkerManager& workers,
                                            const CloudManager& cloud) {
    fleet_.bins.clear();
    fleet_.registered_machines.clear();
    fleet_.zone_machine_counts.clear();
    fleet_.demands.clear();
    fleet_.utilization = {};
    measure_machines(now, workers);
    measure_requested_machines(cloud);
    measure_pending_demand(now);
    find_dominant_resource();
    return fleet_;
}

bool UtilizationMeter::expected_to_recover(const Machine& machine, Ms now) const {
    return machine.registered && machine.worker.reported && !machine.terminated &&
           !machine.releasing && !machine.health.quarantined && machine.worker.reclaim_at < 0 &&
           machine.listing.state != CloudMachineState::failed &&
           machine.acknowledgement.missed_answers == 0 && !zone_failover_.lost(machine.zone) &&
           (context_.relayed(machine) ||
            now < machine.worker.last_heartbeat +
                      to_ms(context_.controller.platform_settings.lease_s) + kRecoveryWindow);
}

// Many machines that fall silent together are usually hung or behind a network partition, and
// recover: replacements for them would be up only when they are back. Machines that died are
// marked as failed in the cloud's list and don't count here.
bool UtilizationMeter::many_machines_silent(Ms now, const WorkerManager& workers) const {
    std::size_t silent = 0;
    std::size_t all = 0;
    for (const Machine& machine : context_.cluster.machines) {
        if (!machine.registered || machine.terminated || !machine.worker.reported) {
            continue;
        }
        ++all;
        silent += expected_to_recover(machine, now) && !workers.schedulable(machine, now);
    }
    return silent >= kMinSilentMachines && kMachinesPerSilentMachine * silent >= all;
}

bool UtilizationMeter::boot_overdue(const Machine& machine, const MachineType& machine_type,
                                    Ms now) const {
    double factor = context_.controller.operator_settings.boot_late_factor;
    return now >= machine.requested_at + to_ms(machine_type.boot_s * factor) + kBootAllowance;
}

bool UtilizationMeter::counts_as_capacity(const Machine& machine, const MachineType& machine_type,
                                          bool schedulable, bool many_silent, Ms now) const {
    if (schedulable) {
        return true;
    }
    // A machine that is still booting counts, or machines would be requested twice for the same
    // demand. A machine whose boot is overdue doesn't count.
    if (!machine.worker.reported && !machine.releasing &&
        !boot_overdue(machine, machine_type, now)) {
        return true;
    }
    if (now < context_.elected_at + kReportGraceAfterElection && !machine.releasing &&
        !machine.health.quarantined) {
        return true;
    }
    return many_silent && expected_to_recover(machine, now);
}

void UtilizationMeter::measure_machines(Ms now, const WorkerManager& workers) {
    const ClusterState& cluster = context_.cluster;
    bool many_silent = many_machines_silent(now, workers);
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        const Machine& machine = cluster.machines[id];
        const MachineType* machine_type = cluster.machine_type(machine.machine_type);
        if (machine.terminated || !machine.registered || !machine_type) {
            continue;
        }
        ++fleet_.registered_machines[{machine.machine_type, machine.zone}];
        fleet_.utilization.allocated += machine.used;
        bool schedulable = workers.schedulable(machine, now);
        ZoneMachineCounts& zone_machine_counts = fleet_.zone_machine_counts[machine.zone];
        zone_machine_counts.reporting += schedulable;
        zone_machine_counts.provisioning += !machine.worker.reported && !machine.releasing;
        if (!counts_as_capacity(machine, *machine_type, schedulable, many_silent, now)) {
            // Tasks still allocated to this machine count as allocated, so their resources also
            // count as capacity.
            fleet_.utilization.capacity += machine.used;
            continue;
        }
        fleet_.utilization.capacity += machine_type->size;
        fleet_.bins.push_back({machine_type->size - machine.used, machine.machine_type,
                               machine.zone, id, machine.spot, false});
    }
}

void UtilizationMeter::measure_requested_machines(const CloudManager& cloud) {
    for (const ScaleOutRequest& request : cloud.scale_out_requests()) {
        const MachineType* machine_type = context_.cluster.machine_type(request.machine_type);
        if (!machine_type) {
            continue;
        }
        fleet_.utilization.capacity += machine_type->size * request.count;
        fleet_.zone_machine_counts[request.zone].provisioning += request.count;
        for (std::uint32_t i = 0; i < request.count; ++i) {
            fleet_.bins.push_back({machine_type->size, request.machine_type, request.zone, kNone,
                                   request.spot, false});
        }
    }
}

void UtilizationMeter::measure_pending_demand(Ms now) {
    const ClusterState& cluster = context_.cluster;
    std::map<Id, TeamDemand> team_demands;
    std::uint32_t tasks = 0;
    for (Id id : waiting_order(cluster, now, context_.controller.operator_settings.priority_aging_s,
                               zone_failover_)) {
        const Job& job = cluster.jobs[id];
        // The job can run in a lost zone only. Machines in other zones don't help it, and it
        // doesn't block other jobs of its team by the quota.
        if (zone_failover_.waits_for_zone(id)) {
            if (zone_failover_.waited_long(id)) {
                fleet_.demands.push_back({id, job.waiting()});
            }
            continue;
        }
        if (!cluster.team(job.spec.team)) {
            continue;
        }
        TeamDemand& team_demand = team_demands[job.spec.team];
        std::uint32_t count = admitted_tasks(job, team_demand);
        if (count == 0) {
            team_demand.blocked = true;
            continue;
        }
        if (!fits_some_machine_type(job.spec)) {
            continue;
        }
        team_demand.admitted += job.spec.task_resources * count;
        fleet_.utilization.pending += job.spec.task_resources * count;
        fleet_.demands.push_back({id, count});
        tasks += count;
        if (tasks > kMaxPendingTasks) {
            break;
        }
    }
}

std::uint32_t UtilizationMeter::admitted_tasks(const Job& job, TeamDemand& team_demand) const {
    if (team_demand.blocked) {
        return 0;
    }
    const JobSpec& spec = job.spec;
    const Resources& quota = context_.cluster.team(spec.team)->quota;
    Resources used = context_.cluster.team_used(spec.team) + team_demand.admitted;
    double admitted = std::min(tasks_within_quota(quota.cpus, used.cpus, spec.task_resources.cpus),
                               tasks_within_quota(quota.gpus, used.gpus, spec.task_resources.gpus));
    std::uint32_t waiting = job.waiting();
    if (admitted < (spec.gang() ? waiting : 1)) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::min<double>(waiting, admitted));
}

bool UtilizationMeter::fits_some_machine_type(const JobSpec& spec) const {
    const std::vector<MachineType>& machine_types = context_.cluster.machine_types();
    return std::any_of(machine_types.begin(), machine_types.end(),
                       [&](const MachineType& machine_type) {
                           return spec.allows_machine_type(machine_type.id) &&
                                  spec.task_resources.fits_in(machine_type.size);
                       });
}

void UtilizationMeter::find_dominant_resource() {
    Utilization& utilization = fleet_.utilization;
    for (Resource resource : kResources) {
        double demand = utilization.allocated.get(resource) + utilization.pending.get(resource);
        double capacity = utilization.capacity.get(resource);
        double share = share_of(demand, capacity);
        if (share > utilization.value) {
            utilization.value = share;
            utilization.dominant = resource;
        }
    }
}

}  // namespace walkford
