#include "coordination/placement/preemption.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kTick = 500;
constexpr int kMaxJobsTried = 8;   // jobs that look for tasks to preempt, in one tick
constexpr int kMaxJobsHelped = 2;  // jobs that room is made for, in one tick
constexpr Ms kMoveReplicasAfter = 60000;
constexpr double kStopGraceSlackS = 1;  // beyond the time that a checkpoint takes
constexpr Ms kReservationSlack = 3000;  // beyond the time until the victims are reported gone
constexpr double kNearlyOver = 0.8;     // of the estimate
constexpr double kFixedCost = 1;        // of any preemption, in seconds of work
}  // namespace

Preemption::Preemption(LeaderContext& context, TaskLifecycle& lifecycle,
                       const ClassCapacity& class_capacity)
    : context_(context), lifecycle_(lifecycle), class_capacity_(class_capacity) {}

void preempt_task(const ClusterState& cluster, TaskLifecycle& lifecycle, TaskRef task, Ms now) {
    double grace_s = cluster.jobs[task.job].spec.checkpoint_duration_s + kStopGraceSlackS;
    lifecycle.stop(task, grace_s, now, true);
}

// A replica never frees its slot by itself: for work that has waited long it is preempted, to run
// again elsewhere. (Three replicas on one of a zone's four small machines kept a gang of four from
// ever beginning.)
bool Preemption::may_move(Ms now, const Job& victim, const Job& job) {
    return victim.spec.service() && !job.spec.service() &&
           now >= job.waiting_since + kMoveReplicasAfter;
}

bool Preemption::may_preempt(Ms now, const Job& victim, const Job& job) const {
    const ClusterState& cluster = context_.cluster;
    if (victim.spec.starts_together()) {
        return false;
    }
    if (may_move(now, victim, job)) {
        return true;
    }
    if (victim.effective_priority() >= static_cast<int>(job.spec.priority)) {
        return false;
    }
    // What a team runs within its guaranteed share need not make room for others.
    if (victim.spec.team != job.spec.team &&
        cluster.within_guaranteed_share(victim.spec.team, Resources{})) {
        return false;
    }
    // Work that can run nowhere else only loses, unless it has no objective on its start latency.
    return class_capacity_.can_run_elsewhere(victim.spec, job.spec) ||
           class_capacity_.start_objective_s(victim.spec) >
               class_capacity_.start_objective_s(job.spec);
}

bool Preemption::outranks(Ms now, const Job& job, const Job& victim, bool guaranteed) const {
    if (victim.effective_priority() < static_cast<int>(job.spec.priority) ||
        may_move(now, victim, job)) {
        return true;
    }
    const ClusterState& cluster = context_.cluster;
    return guaranteed && victim.spec.team != job.spec.team && cluster.team(victim.spec.team) &&
           !cluster.within_guaranteed_share(victim.spec.team, Resources{});
}

// Work that can run nowhere else would only lose what it was doing.
bool Preemption::may_be_victim(Ms now, const Job& victim, const Job& job, bool guaranteed) const {
    return outranks(now, job, victim, guaranteed) &&
           class_capacity_.can_run_elsewhere(victim.spec, job.spec);
}

// A waiting job that could preempt none of these need not look at two thousand machines.
void Preemption::find_running_jobs() {
    const ClusterState& cluster = context_.cluster;
    running_jobs_.clear();
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& job = cluster.jobs[id];
        if (!job.alive || job.assigned == 0 || job.spec.starts_together()) {
            continue;
        }
        auto [lowest, inserted] =
            running_jobs_.try_emplace({job.spec.job_class, job.spec.team}, id);
        if (!inserted &&
            job.effective_priority() < cluster.jobs[lowest->second].effective_priority()) {
            lowest->second = id;
        }
    }
}

bool Preemption::wants_room(Ms now, Id job_id) const {
    const ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[job_id];
    const JobSpec& spec = job.spec;
    if (!job.alive || job.cancelled || job.ending || job.waiting() == 0 || job.not_before > now) {
        return false;
    }
    if (now < job.waiting_since + to_ms(context_.controller.operator_settings.preempt_after_s)) {
        return false;
    }
    if (spec.starts_together() || !cluster.within_quota(spec.team, spec.each)) {
        return false;
    }
    bool guaranteed = cluster.within_guaranteed_share(spec.team, spec.each);
    bool any_victim =
        std::any_of(running_jobs_.begin(), running_jobs_.end(), [&](const auto& entry) {
            return may_be_victim(now, cluster.jobs[entry.second], job, guaranteed);
        });
    if (!any_victim) {
        return false;
    }
    // Not where room is being made for it already.
    return std::none_of(cluster.machines.begin(), cluster.machines.end(),
                        [&](const Machine& machine) { return machine.reservation.job == job_id; });
}

// Few jobs are tried in one tick; the next goes on where this one stopped.
void Preemption::tick(Ms now, const std::vector<Id>& order, const std::vector<Id>& schedulable) {
    if (now < next_tick_at_) {
        return;
    }
    next_tick_at_ = now + kTick;
    find_running_jobs();
    if (running_jobs_.empty()) {
        return;
    }
    if (cursor_ >= order.size()) {
        cursor_ = 0;
    }
    int helped = 0;
    int tried = 0;
    for (std::size_t i = 0; i < order.size() && helped < kMaxJobsHelped && tried < kMaxJobsTried;
         ++i) {
        Id job = order[cursor_];
        cursor_ = (cursor_ + 1) % order.size();
        if (wants_room(now, job)) {
            ++tried;
            helped += make_room(now, job, schedulable);
        }
    }
    if (helped < kMaxJobsHelped && tried < kMaxJobsTried) {
        cursor_ = 0;  // all were looked at
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
        job.zones.at(machine.zone) >= spec.zone_most()) {
        return false;
    }
    return job.failed_on.count(machine_id) == 0;
}

double Preemption::preemption_cost(Ms now, TaskRef ref) const {
    const JobSpec& spec = context_.cluster.jobs[ref.job].spec;
    const Task& task = context_.cluster.task(ref);
    double ran_s =
        task.running_since < 0 ? 0 : static_cast<double>(now - task.running_since) / 1000.0;
    double cost =
        kFixedCost + (spec.checkpoint_interval_s > 0 ? spec.checkpoint_duration_s : ran_s);
    // One that is nearly over frees its slot by itself.
    if (task.running_since >= 0 && spec.estimate_s > 0 && ran_s > kNearlyOver * spec.estimate_s) {
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

Preemption::Choice Preemption::choose_victims(const Job& job, Id machine_id,
                                              const std::vector<Victim>& victims) const {
    const ClusterState& cluster = context_.cluster;
    const Machine& machine = cluster.machines[machine_id];
    Resources free = cluster.machine_type(machine.machine_type)->size - machine.used;
    Choice choice;
    std::map<Id, Resources> taken;  // by team: none is pushed below its guaranteed share
    for (const Victim& candidate : victims) {
        if (job.spec.each.fits_in(free)) {
            break;
        }
        const JobSpec& victim = cluster.jobs[candidate.task.job].spec;
        Resources& taken_from_team = taken[victim.team];
        if (victim.priority >= job.spec.priority &&
            cluster.within_guaranteed_share(victim.team, Resources{} - taken_from_team)) {
            continue;
        }
        taken_from_team += victim.each;
        free += victim.each;
        choice.cost += candidate.cost;
        choice.victims.push_back(candidate.task);
    }
    if (!job.spec.each.fits_in(free)) {
        return {};
    }
    choice.machine = machine_id;
    return choice;
}

bool Preemption::make_room(Ms now, Id job_id, const std::vector<Id>& schedulable) {
    const ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[job_id];
    Request request{job_id, cluster.within_guaranteed_share(job.spec.team, job.spec.each), {}};
    Choice best;
    for (Id machine : schedulable) {
        if (!may_host(job, machine)) {
            continue;
        }
        Choice choice =
            choose_victims(job, machine, find_victims(now, request, cluster.machines[machine]));
        if (choice.victims.empty()) {
            continue;
        }
        if (best.machine == kNone || choice.cost < best.cost) {
            best = std::move(choice);
        }
    }
    if (best.machine == kNone) {
        return false;
    }
    preempt(now, job_id, best);
    return true;
}

// The machine is reserved for the job that the victims make room for.
void Preemption::preempt(Ms now, Id job_id, const Choice& choice) {
    ClusterState& cluster = context_.cluster;
    Machine& machine = cluster.machines[choice.machine];
    double checkpoint_s = 0;
    for (TaskRef ref : choice.victims) {
        checkpoint_s = std::max(checkpoint_s, cluster.jobs[ref.job].spec.checkpoint_duration_s);
    }
    spdlog::info("{} preempts on {}: {} tasks stopped", cluster.jobs[job_id].spec.id, machine.name,
                 choice.victims.size());
    machine.reservation.job = job_id;
    machine.reservation.until =
        now + to_ms(checkpoint_s + 2 * context_.controller.platform_settings.report_s) +
        kReservationSlack;
    machine.reservation.ready_at = now;
    for (TaskRef ref : choice.victims) {
        preempt_task(cluster, lifecycle_, ref, now);
    }
}

}  // namespace walkford
