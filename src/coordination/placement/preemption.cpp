#include "coordination/placement/preemption.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kTickInterval = 500;
constexpr int kMaxJobsTried = 8;   // jobs that search for victims, in one tick
constexpr int kMaxJobsServed = 2;  // jobs that tasks are preempted for, in one tick
constexpr Ms kMoveReplicasAfter = 60000;
constexpr double kStopGraceSlackS = 1;       // added to the checkpoint duration
constexpr Ms kReservationSlack = 3000;       // added to the time until the victims' end is reported
constexpr double kNearlyDoneShare = 0.8;     // share of the estimate
constexpr double kFixedPreemptionCostS = 1;  // of each preemption
}  // namespace

Preemption::Preemption(LeaderContext& context, TaskLifecycle& lifecycle,
                       const ClassCapacity& class_capacity)
    : context_(context), lifecycle_(lifecycle), class_capacity_(class_capacity) {}

void preempt_task(const ClusterState& cluster, TaskLifecycle& lifecycle, TaskRef task, Ms now) {
    double grace_s = cluster.jobs[task.job].spec.checkpoint_duration_s + kStopGraceSlackS;
    lifecycle.stop(task, grace_s, now, true);
}

// A service replica never frees its slot by itself, so it may be preempted, to run again elsewhere,
// for a job that has waited long. Without this, three replicas on one of a zone's four small
// machines kept a gang of four from ever starting.
bool Preemption::may_move_replicas(Ms now, const Job& victim, const Job& job) {
    return victim.spec.service() && !job.spec.service() &&
           now >= job.waiting_since + kMoveReplicasAfter;
}

bool Preemption::may_preempt(Ms now, const Job& victim, const Job& job) const {
    const ClusterState& cluster = context_.cluster;
    if (victim.spec.starts_together()) {
        return false;
    }
    if (may_move_replicas(now, victim, job)) {
        return true;
    }
    if (victim.effective_priority() >= static_cast<int>(job.spec.priority)) {
        return false;
    }
    // Work of a team that is within its guaranteed share is not preempted for other teams.
    if (victim.spec.team != job.spec.team &&
        cluster.within_guaranteed_share(victim.spec.team, Resources{})) {
        return false;
    }
    // A victim that can run nowhere else would only lose its progress; it is preempted only if its
    // start latency objective is looser than the job's. Having no objective counts as the loosest.
    return class_capacity_.can_run_elsewhere(victim.spec, job.spec) ||
           class_capacity_.start_objective_s(victim.spec) >
               class_capacity_.start_objective_s(job.spec);
}

bool Preemption::outranks(Ms now, const Job& job, const Job& victim, bool guaranteed) const {
    if (victim.effective_priority() < static_cast<int>(job.spec.priority) ||
        may_move_replicas(now, victim, job)) {
        return true;
    }
    const ClusterState& cluster = context_.cluster;
    return guaranteed && victim.spec.team != job.spec.team && cluster.team(victim.spec.team) &&
           !cluster.within_guaranteed_share(victim.spec.team, Resources{});
}

// A victim that can run nowhere else would only lose its progress.
bool Preemption::may_be_victim(Ms now, const Job& victim, const Job& job, bool guaranteed) const {
    return outranks(now, job, victim, guaranteed) &&
           class_capacity_.can_run_elsewhere(victim.spec, job.spec);
}

// A waiting job that may preempt none of these jobs is spared the search over all machines, of
// which there may be two thousand.
void Preemption::find_preemptible_jobs() {
    const ClusterState& cluster = context_.cluster;
    preemptible_jobs_.clear();
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& job = cluster.jobs[id];
        if (!job.alive || job.assigned == 0 || job.spec.starts_together()) {
            continue;
        }
        auto [lowest, inserted] =
            preemptible_jobs_.try_emplace({job.spec.job_class, job.spec.team}, id);
        if (!inserted &&
            job.effective_priority() < cluster.jobs[lowest->second].effective_priority()) {
            lowest->second = id;
        }
    }
}

bool Preemption::needs_preemption(Ms now, Id job_id) const {
    const ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[job_id];
    const JobSpec& spec = job.spec;
    if (!job.alive || job.cancelled || job.ending || job.waiting() == 0 || job.not_before > now) {
        return false;
    }
    if (now < job.waiting_since + to_ms(context_.controller.operator_settings.preempt_after_s)) {
        return false;
    }
    if (spec.starts_together() || !cluster.within_quota(spec.team, spec.task_resources)) {
        return false;
    }
    bool guaranteed = cluster.within_guaranteed_share(spec.team, spec.task_resources);
    bool any_victim =
        std::any_of(preemptible_jobs_.begin(), preemptible_jobs_.end(), [&](const auto& entry) {
            return may_be_victim(now, cluster.jobs[entry.second], job, guaranteed);
        });
    if (!any_victim) {
        return false;
    }
    // A machine reserved for the job means that tasks are already being preempted for it.
    return std::none_of(cluster.machines.begin(), cluster.machines.end(),
                        [&](const Machine& machine) { return machine.reservation.job == job_id; });
}

// Each tick tries a limited number of jobs; the next continues after the last one considered.
void Preemption::tick(Ms now, const std::vector<Id>& order, const std::vector<Id>& schedulable) {
    if (now < next_tick_at_) {
        return;
    }
    next_tick_at_ = now + kTickInterval;
    find_preemptible_jobs();
    if (preemptible_jobs_.empty()) {
        return;
    }
    if (cursor_ >= order.size()) {
        cursor_ = 0;
    }
    int served = 0;
    int tried = 0;
    for (std::size_t i = 0; i < order.size() && served < kMaxJobsServed && tried < kMaxJobsTried;
         ++i) {
        Id job = order[cursor_];
        cursor_ = (cursor_ + 1) % order.size();
        if (needs_preemption(now, job)) {
            ++tried;
            served += preempt_for(now, job, schedulable);
        }
    }
    if (served < kMaxJobsServed && tried < kMaxJobsTried) {
        cursor_ = 0;  // all jobs were considered
    }
}

bool Preemption::may_host(const Job& job, Id machine_id) const {
    const Machine& machine = context_.cluster.machines[machine_id];
    const JobSpec& spec = job.spec;
    const MachineType* machine_type = context_.cluster.machine_type(machine.machine_type);
    if (!machine_type || machine.reservation.job != kNone ||
        ClusterState::slots(spec, machine.machine_type, machine.zone, machine.spot,
                            machine_type->size) == 0) {
        return false;
    }
    if (spec.one_zone && !job.zones.empty() && job.zones.begin()->first != machine.zone) {
        return false;
    }
    if (spec.spread && job.zones.count(machine.zone) &&
        job.zones.at(machine.zone) >= spec.max_tasks_per_zone()) {
        return false;
    }
    return job.failed_on.count(machine_id) == 0;
}

double Preemption::preemption_cost(Ms now, TaskRef ref) const {
    const JobSpec& spec = context_.cluster.jobs[ref.job].spec;
    const Task& task = context_.cluster.task(ref);
    double ran_s =
        task.running_since < 0 ? 0 : static_cast<double>(now - task.running_since) / 1000.0;
    double cost = kFixedPreemptionCostS +
                  (spec.checkpoint_interval_s > 0 ? spec.checkpoint_duration_s : ran_s);
    // Preempting a task that is nearly done gains little, since it soon frees its slot by itself.
    if (task.running_since >= 0 && spec.estimate_s > 0 &&
        ran_s > kNearlyDoneShare * spec.estimate_s) {
        cost += spec.checkpoint_duration_s;
    }
    return cost;
}

std::vector<Preemption::Victim> Preemption::find_victims(Ms now, Request& request,
                                                         const Machine& machine) const {
    ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[request.job];
    std::vector<Victim> victims;
    for (TaskRef ref : machine.tasks) {
        const Job& victim = cluster.jobs[ref.job];
        if (cluster.task(ref).stopping || victim.spec.starts_together()) {
            continue;
        }
        auto [allowed, inserted] = request.may_be_victim.try_emplace(ref.job, false);
        if (inserted) {
            allowed->second = may_be_victim(now, victim, job, request.guaranteed);
        }
        if (allowed->second) {
            victims.push_back({preemption_cost(now, ref), ref});
        }
    }
    std::sort(victims.begin(), victims.end());
    return victims;
}

Preemption::Plan Preemption::choose_victims(const Job& job, Id machine_id,
                                            const std::vector<Victim>& victims) const {
    const ClusterState& cluster = context_.cluster;
    const Machine& machine = cluster.machines[machine_id];
    Resources free = cluster.machine_type(machine.machine_type)->size - machine.used;
    Plan plan;
    std::map<Id, Resources> preempted_by_team;  // by team; none may fall below its guaranteed share
    for (const Victim& candidate : victims) {
        if (job.spec.task_resources.fits_in(free)) {
            break;
        }
        const JobSpec& victim = cluster.jobs[candidate.task.job].spec;
        Resources& preempted_of_team = preempted_by_team[victim.team];
        if (victim.priority >= job.spec.priority &&
            cluster.within_guaranteed_share(victim.team, Resources{} - preempted_of_team)) {
            continue;
        }
        preempted_of_team += victim.task_resources;
        free += victim.task_resources;
        plan.cost += candidate.cost;
        plan.victims.push_back(candidate.task);
    }
    if (!job.spec.task_resources.fits_in(free)) {
        return {};
    }
    plan.machine = machine_id;
    return plan;
}

bool Preemption::preempt_for(Ms now, Id job_id, const std::vector<Id>& schedulable) {
    const ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[job_id];
    Request request{
        job_id, cluster.within_guaranteed_share(job.spec.team, job.spec.task_resources), {}};
    Plan best;
    for (Id machine : schedulable) {
        if (!may_host(job, machine)) {
            continue;
        }
        Plan plan =
            choose_victims(job, machine, find_victims(now, request, cluster.machines[machine]));
        if (plan.victims.empty()) {
            continue;
        }
        if (best.machine == kNone || plan.cost < best.cost) {
            best = std::move(plan);
        }
    }
    if (best.machine == kNone) {
        return false;
    }
    preempt(now, job_id, best);
    return true;
}

// Reserves the machine for the job until the victims have ended, and stops the victims.
void Preemption::preempt(Ms now, Id job_id, const Plan& plan) {
    ClusterState& cluster = context_.cluster;
    Machine& machine = cluster.machines[plan.machine];
    double checkpoint_s = 0;
    for (TaskRef ref : plan.victims) {
        checkpoint_s = std::max(checkpoint_s, cluster.jobs[ref.job].spec.checkpoint_duration_s);
    }
    spdlog::info("job {}: preempting on machine {}: {} tasks being stopped",
                 cluster.jobs[job_id].spec.id, machine.name, plan.victims.size());
    machine.reservation.job = job_id;
    machine.reservation.until =
        now + to_ms(checkpoint_s + 2 * context_.controller.platform_settings.report_s) +
        kReservationSlack;
    machine.reservation.ready_at = now;
    for (TaskRef ref : plan.victims) {
        preempt_task(cluster, lifecycle_, ref, now);
    }
}

}  // namespace walkford
