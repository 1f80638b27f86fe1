#include "coordination/zone_failover/zone_admission.hpp"

#include <algorithm>

#include "coordination/zone_failover/recovery_ramp.hpp"

namespace walkford {

ZoneAdmission::ZoneAdmission(LeaderContext& context, const ZoneTable& zones,
                             const DisplacedWork& displaced)
    : context_(context),
      settings_(context.controller.operator_settings.zone_failover),
      zones_(zones),
      displaced_(displaced),
      budgets_(zones.size()) {}

void ZoneAdmission::begin_round(Ms now, const FreeCapacity& free_capacity, bool evacuating) {
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        compute_budget(now, zone, free_capacity);
    }
    if (evacuating && reserve_needed(now)) {
        build_reserve(free_capacity);
    }
}

void ZoneAdmission::compute_budget(Ms now, Id zone, const FreeCapacity& free_capacity) {
    Budget& budget = budgets_[zone];
    budget = {};
    if (zones_.unrestricted(zone)) {
        return;
    }
    Resources capacity;
    Resources allocated;
    for (const FreeCapacity::MachineGroup& machine_group : free_capacity.groups()) {
        if (machine_group.zone != zone) {
            continue;
        }
        for (const FreeCapacity::MachineCapacity& free : machine_group.machines) {
            const Machine& machine = context_.cluster.machines[free.machine];
            capacity += machine_group.size;
            allocated += machine.used;
            count_starting(budget, machine);
        }
    }
    const ZoneStatus& status = zones_[zone];
    RecoveryRamp ramp(settings_, status.durable.failed_ramps);
    double share = zones_.lost(zone) ? ramp.first_share() : ramp.share(now - status.durable_since);
    budget.capacity = capacity * share - allocated;
    budget.empty = allocated.cpus <= 0 && allocated.gpus <= 0 && allocated.ram <= 0;
}

void ZoneAdmission::count_starting(Budget& budget, const Machine& machine) {
    ClusterState& cluster = context_.cluster;
    budget.fetches += static_cast<std::uint32_t>(cluster.image_fetches_in_progress(machine));
    for (TaskRef ref : machine.tasks) {
        bool starting = cluster.task(ref).state != TaskState::running;
        if (cluster.jobs[ref.job].spec.service() && starting) {
            ++budget.replicas_starting;
            budget.jobs_starting.insert(ref.job);
        }
    }
}

// Capacity is reserved only for a limited time after a zone began to fail.
bool ZoneAdmission::reserve_needed(Ms now) const {
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        if (zones_.failing(zone) &&
            now < zones_[zone].failing_since + to_ms(settings_.reserve_duration_s)) {
            return true;
        }
    }
    return false;
}

void ZoneAdmission::build_reserve(const FreeCapacity& free_capacity) {
    claim_displaced_work();
    if (!reserve_.empty()) {
        count_free_slots(free_capacity);
    }
}

void ZoneAdmission::claim_displaced_work() {
    const ClusterState& cluster = context_.cluster;
    for (Id job_id : displaced_.jobs()) {
        int class_position = displaced_.evacuation_position(cluster, job_id);
        const Job& job = cluster.jobs[job_id];
        if (class_position == displaced_.order().last_position() || job.cancelled) {
            continue;
        }
        auto tasks_in_zone = job.zones.find(displaced_.zone_of(job_id));
        std::uint32_t tasks = tasks_in_zone == job.zones.end() ? 0 : tasks_in_zone->second;
        tasks += std::min(static_cast<std::uint32_t>(job.retry_queue.size()),
                          cluster.quota_headroom(job.spec.team, job.spec.task_resources));
        if (tasks > 0) {
            reserve_.add_claim(job.spec, static_cast<int>(job.spec.priority), class_position,
                               tasks);
        }
    }
}

void ZoneAdmission::count_free_slots(const FreeCapacity& free_capacity) {
    for (const FreeCapacity::MachineGroup& machine_group : free_capacity.groups()) {
        if (!zones_.open(machine_group.zone)) {
            continue;
        }
        for (const FreeCapacity::MachineCapacity& capacity : machine_group.machines) {
            reserve_.count_free_slots({machine_group.machine_type, machine_group.zone,
                                       machine_group.spot, capacity.free});
        }
    }
}

bool ZoneAdmission::is_bound_to(const Job& job, Id zone) {
    return job.spec.zone == zone || (job.spec.one_zone && job.zones.count(zone) > 0);
}

bool ZoneAdmission::admits(Id job_id, Id zone, bool waited_long) const {
    const Budget& budget = budgets_[zone];
    const Job& job = context_.cluster.jobs[job_id];
    if (job.spec.service() && (budget.replicas_starting >= settings_.replicas ||
                               budget.jobs_starting.count(job_id) > 0)) {
        return false;
    }
    if (waited_long) {
        return true;
    }
    if (zones_.lost(zone) && !is_bound_to(job, zone)) {
        return false;
    }
    std::uint32_t task_count = job.spec.gang() ? job.spec.tasks - job.assigned : 1;
    Resources requested = job.spec.task_resources * static_cast<double>(task_count);
    return budget.empty || requested.fits_in(budget.capacity);
}

bool ZoneAdmission::admits_fetch(Id zone, int fetches) const {
    return static_cast<std::uint32_t>(fetches) < settings_.max_fetches_per_machine &&
           budgets_[zone].fetches < settings_.max_fetches_per_zone;
}

bool ZoneAdmission::reserved(Id job, int priority,
                             const EvacuationReserve::PlacementTarget& target) const {
    if (reserve_.empty()) {
        return false;
    }
    return reserve_.blocks(context_.cluster.jobs[job].spec.task_resources, priority,
                           displaced_.evacuation_position(context_.cluster, job), target);
}

void ZoneAdmission::add_placed_task(Id job_id, const EvacuationReserve::PlacementTarget& target,
                                    bool fetches) {
    const Job& job = context_.cluster.jobs[job_id];
    reserve_.subtract_slots(job.spec.task_resources, target);
    reserve_.fulfill(job.spec.job_class, static_cast<int>(job.spec.priority),
                     displaced_.evacuation_position(context_.cluster, job_id));
    if (target.zone >= budgets_.size()) {
        return;
    }
    Budget& budget = budgets_[target.zone];
    budget.capacity -= job.spec.task_resources;
    budget.fetches += fetches;
    // The empty zone's exemption covers a whole gang, so it stays until all tasks of the gang are
    // placed.
    budget.empty = budget.empty && job.spec.gang() && job.assigned < job.spec.tasks;
    if (job.spec.service()) {
        ++budget.replicas_starting;
        budget.jobs_starting.insert(job_id);
    }
}

}  // namespace walkford
