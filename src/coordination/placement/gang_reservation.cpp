#include "coordination/placement/gang_reservation.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/gang_zones.hpp"
#include "coordination/placement/preemption.hpp"

namespace walkford {

namespace {
constexpr Ms kReservationLifetime = 2500;  // each round that finds the gang waiting renews it
// Planning examines every task of every machine, so the delay until the next plan for the same gang
// grows with the number of tasks examined; on a small fleet it is zero. Acting on plans one second
// old cost 0.12 of a busy day: newly freed capacity stayed unreserved, and reservations were held
// that the gang no longer needed.
constexpr std::size_t kExaminedTasksPerMs = 100;
constexpr Ms kPreemptionInterval = 1000;    // tasks are preempted for one gang per interval
constexpr Ms kMinPreemptionGain = 10000;    // a gang must gain more than this to preempt tasks
constexpr Ms kServiceRemaining = 86400000;  // assumed: a replica runs until its job is cancelled
constexpr Ms kReservedZoneBonus = 5000;     // lead that lets another zone be reserved instead
constexpr Ms kMinRemaining = 2000;          // the least assumed for a task that is running
}  // namespace

GangReservation::GangReservation(LeaderContext& context, TaskLifecycle& lifecycle)
    : context_(context), lifecycle_(lifecycle) {}

Ms GangReservation::expected_end(TaskRef ref, Ms now) const {
    const ClusterState& cluster = context_.cluster;
    const JobSpec& spec = cluster.jobs[ref.job].spec;
    const Task& task = context_.cluster.task(ref);
    if (task.stopping) {
        return now +
               to_ms(spec.checkpoint_duration_s + context_.controller.platform_settings.report_s);
    }
    if (spec.service()) {
        return now + kServiceRemaining;
    }
    Ms estimate = to_ms(spec.estimate_s);
    if (task.running_since < 0) {
        const MachineType* machine_type =
            cluster.machine_type(cluster.machines[task.machine].machine_type);
        double fetch_s = machine_type && machine_type->fetch_gb_per_s > 0
                             ? spec.image_gb / machine_type->fetch_gb_per_s
                             : 0;
        return now + estimate + to_ms(fetch_s);
    }
    // Estimates are often wrong by half. A task that has exceeded its estimate is expected to run
    // on for a third of the time that it has run so far.
    Ms ran = now - task.running_since;
    return now + std::max({kMinRemaining, estimate - ran, ran > estimate ? ran / 3 : 0});
}

std::vector<GangReservation::TaskEnd> GangReservation::task_ends(
    Ms now, Id job, Id machine, const MayPreempt* may_preempt) const {
    const ClusterState& cluster = context_.cluster;
    std::vector<TaskEnd> ends;
    examined_tasks_ += 1 + cluster.machines[machine].tasks.size();
    for (TaskRef ref : cluster.machines[machine].tasks) {
        const Job& victim = cluster.jobs[ref.job];
        Ms end = expected_end(ref, now);
        if (may_preempt && (*may_preempt)(victim, cluster.jobs[job])) {
            end = std::min(end, now + to_ms(victim.spec.checkpoint_duration_s +
                                            2 * context_.controller.platform_settings.report_s));
        }
        ends.push_back({end, ref});
    }
    std::sort(ends.begin(), ends.end());
    return ends;
}

bool GangReservation::may_host(const Machine& machine, Id machine_id, Id job_id, Id zone) const {
    const Job& job = context_.cluster.jobs[job_id];
    const MachineType* machine_type = context_.cluster.machine_type(machine.machine_type);
    if (!machine_type || (zone != kNone && machine.zone != zone) ||
        job.failed_on.count(machine_id)) {
        return false;
    }
    if (machine.reservation.job != kNone && machine.reservation.job != job_id) {
        return false;
    }
    return ClusterState::slots(job.spec, machine.machine_type, machine.zone, machine.spot,
                               machine_type->size) > 0;
}

void GangReservation::add_slots(Ms now, Id job, Id machine_id, const MayPreempt* may_preempt,
                                std::vector<Slot>& slots) const {
    const ClusterState& cluster = context_.cluster;
    const JobSpec& spec = cluster.jobs[job].spec;
    const Machine& machine = cluster.machines[machine_id];
    Resources free = cluster.machine_type(machine.machine_type)->size - machine.used;
    std::uint32_t added = 0;
    auto add_free_slots = [&](Ms at) {
        std::uint32_t available =
            ClusterState::slots(spec, machine.machine_type, machine.zone, machine.spot, free);
        for (; added < available; ++added) {
            slots.push_back({at, machine_id});
        }
    };
    add_free_slots(now);
    for (const TaskEnd& end : task_ends(now, job, machine_id, may_preempt)) {
        free += cluster.jobs[end.task.job].spec.task_resources;
        add_free_slots(end.at);
    }
}

std::optional<GangReservation::Plan> GangReservation::choose_slots(const JobSpec& spec,
                                                                   std::vector<Slot>& slots) const {
    std::sort(slots.begin(), slots.end());
    Plan plan;
    std::map<Id, std::uint32_t> slots_in_zone;
    for (const Slot& slot : slots) {
        if (plan.slots.size() == spec.tasks) {
            break;
        }
        // A gang that must be spread over zones can use a limited number of slots in each.
        Id zone = context_.cluster.machines[slot.machine].zone;
        if (++slots_in_zone[zone] > spec.max_tasks_per_zone()) {
            continue;
        }
        plan.slots.push_back(slot);
    }
    if (plan.slots.size() < spec.tasks) {
        return std::nullopt;
    }
    plan.ready_at = plan.slots.back().at;
    return plan;
}

std::optional<GangReservation::Plan> GangReservation::plan_zone(
    Ms now, Id job, Id zone, const std::vector<Id>& schedulable,
    const MayPreempt* may_preempt) const {
    const ClusterState& cluster = context_.cluster;
    std::vector<Slot> slots;
    for (Id machine : schedulable) {
        if (may_host(cluster.machines[machine], machine, job, zone)) {
            add_slots(now, job, machine, may_preempt, slots);
        }
    }
    return choose_slots(cluster.jobs[job].spec, slots);
}

Id GangReservation::reserved_zone(Id job, const std::vector<Id>& schedulable) const {
    Id zone = kNone;
    for (Id id : schedulable) {
        const Machine& machine = context_.cluster.machines[id];
        if (machine.reservation.job == job) {
            zone = machine.zone;
        }
    }
    return zone;
}

std::optional<GangReservation::Plan> GangReservation::best_plan(
    Ms now, Id job, const std::vector<Id>& schedulable, const MayPreempt* may_preempt) const {
    const ClusterState& cluster = context_.cluster;
    Id reserved = reserved_zone(job, schedulable);
    std::optional<Plan> best;
    Ms best_ready_at = 0;
    for (Id zone : gang_zones(cluster.jobs[job].spec, schedulable,
                              [&](Id machine) { return cluster.machines[machine].zone; })) {
        std::optional<Plan> plan = plan_zone(now, job, zone, schedulable, may_preempt);
        if (!plan) {
            continue;
        }
        Ms ready_at = plan->ready_at - (zone == reserved ? kReservedZoneBonus : 0);
        if (!best || ready_at < best_ready_at) {
            best = std::move(plan);
            best_ready_at = ready_at;
        }
    }
    return best;
}

void GangReservation::release(Id job) {
    for (Machine& machine : context_.cluster.machines) {
        if (machine.reservation.job == job) {
            machine.reservation.job = kNone;
        }
    }
}

bool GangReservation::may_preempt_now(Ms now, const Job& job) const {
    const OperatorSettings& settings = context_.controller.operator_settings;
    return settings.preempt && now >= job.waiting_since + to_ms(settings.preempt_after_s) &&
           now >= preempted_at_ + kPreemptionInterval;
}

bool GangReservation::reserve(Ms now, Id job_id, const std::vector<Id>& schedulable,
                              const MayPreempt& may_preempt) {
    Job& job = context_.cluster.jobs[job_id];
    if (now < job.reserve_at) {
        return job.reserving;
    }
    job.reserving = false;
    examined_tasks_ = 0;
    std::optional<Plan> best = best_plan(now, job_id, schedulable, nullptr);
    bool preempting = false;
    if (may_preempt_now(now, job)) {
        std::optional<Plan> sooner = best_plan(now, job_id, schedulable, &may_preempt);
        if (sooner && (!best || sooner->ready_at + kMinPreemptionGain < best->ready_at)) {
            best = std::move(sooner);
            preempting = true;
        }
    }
    job.reserve_at = now + static_cast<Ms>(examined_tasks_ / kExaminedTasksPerMs);
    release(job_id);
    if (!best) {
        spdlog::debug(
            "job {}: no machines reserved: too few slots for its {} gang members, "
            "even after running tasks end",
            job.spec.id, job.spec.tasks);
        return false;
    }
    reserve_machines(now, job_id, *best);
    job.reserving = true;
    if (preempting) {
        preempt_victims(now, job_id, *best, may_preempt);
    }
    return true;
}

void GangReservation::reserve_machines(Ms now, Id job, const Plan& plan) {
    ClusterState& cluster = context_.cluster;
    spdlog::debug(
        "job {}: machines reserved for its gang, the first in zone {}; all ready in {:.1f} s",
        cluster.jobs[job].spec.id,
        cluster.names.zones.name(cluster.machines[plan.slots.front().machine].zone),
        static_cast<double>(plan.ready_at - now) / 1000.0);
    for (const Slot& slot : plan.slots) {
        MachineReservation& reservation = cluster.machines[slot.machine].reservation;
        reservation.job = job;
        reservation.until = now + kReservationLifetime;
        reservation.ready_at = plan.ready_at;
    }
}

void GangReservation::preempt_victims(Ms now, Id job_id, const Plan& plan,
                                      const MayPreempt& may_preempt) {
    ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[job_id];
    std::map<Id, std::uint32_t> needed_slots;  // by machine
    for (const Slot& slot : plan.slots) {
        ++needed_slots[slot.machine];
    }
    int preempted = 0;
    for (const auto& [machine_id, needed] : needed_slots) {
        const Machine& machine = cluster.machines[machine_id];
        Resources free = cluster.machine_type(machine.machine_type)->size - machine.used;
        for (const TaskEnd& end : task_ends(now, job_id, machine_id, &may_preempt)) {
            if (ClusterState::slots(job.spec, machine.machine_type, machine.zone, machine.spot,
                                    free) >= needed) {
                break;
            }
            const Job& victim = cluster.jobs[end.task.job];
            free += victim.spec.task_resources;
            if (cluster.task(end.task).stopping || !may_preempt(victim, job)) {
                continue;
            }
            preempt_task(cluster, lifecycle_, end.task, now);
            ++preempted;
        }
    }
    preempted_at_ = now;
    if (preempted > 0) {
        spdlog::info(
            "job {}: preempting for its {} gang members on {} machines: {} tasks being stopped",
            job.spec.id, job.spec.tasks, needed_slots.size(), preempted);
    }
}

}  // namespace walkford
