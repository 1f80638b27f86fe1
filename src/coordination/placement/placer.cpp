#include "coordination/placement/placer.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/placement/machine_picker.hpp"
#include "coordination/placement/waiting_order.hpp"

namespace walkford {

namespace {
constexpr Ms kRoundInterval = 400;
// The minimum time between rounds, so that one round serves many heartbeats. Without it, on a fleet
// of two thousand machines almost every heartbeat began a round that examined all of them.
constexpr Ms kMinRoundSpacing = 50;
// A round ends after this many machine examinations, if its time budget isn't spent earlier.
constexpr std::size_t kMaxExaminedMachines = 400000;
// The most tasks of one job that are assigned in a round. This bounds the assignments that are not
// written yet: more of them would only wait for the store.
constexpr std::uint32_t kMaxTasksPerJob = 256;

std::uint32_t take_next_task(Job& job) {
    if (job.retry_queue.empty()) {
        return job.next_unassigned++;
    }
    std::uint32_t index = job.retry_queue.front();
    job.retry_queue.pop_front();
    return index;
}
}  // namespace

Placer::Placer(LeaderContext& context, TaskLifecycle& lifecycle, ZoneFailoverManager& zone_failover)
    : context_(context),
      zone_failover_(zone_failover),
      round_(context, zone_failover),
      reservation_(context, lifecycle),
      gang_placement_(context, lifecycle, zone_failover, reservation_, round_),
      preemption_(context, lifecycle, round_.class_capacity()) {}

bool Placer::round_due(Ms now) {
    if (!context_.placement_requested && now < next_round_at_) {
        return false;
    }
    if (now < last_round_at_ + kMinRoundSpacing) {
        return false;
    }
    last_round_at_ = now;
    context_.placement_requested = false;
    next_round_at_ = now + kRoundInterval;
    return !context_.cluster.machine_types().empty();
}

void Placer::round(Ms now, const WorkerManager& workers) {
    if (!round_due(now)) {
        return;
    }
    std::vector<Id> schedulable = schedulable_machines(now, workers);
    expire_reservations(now);
    if (cursor_ >= order_.size()) {
        begin_pass(now);
    }
    round_.begin(now, schedulable);
    if (zone_failover_.has_restrictions()) {
        // Nothing is reserved or preempted in a zone that is not open: work returns to it slowly.
        std::erase_if(schedulable, [&](Id machine) {
            return !zone_failover_.open(context_.cluster.machines[machine].zone);
        });
    }
    place_waiting_jobs(now, schedulable);
    if (context_.controller.operator_settings.preempt) {
        preemption_.tick(now, order_, schedulable);
    }
}

std::vector<Id> Placer::schedulable_machines(Ms now, const WorkerManager& workers) const {
    const ClusterState& cluster = context_.cluster;
    std::vector<Id> schedulable;
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        if (workers.schedulable(cluster.machines[id], now)) {
            schedulable.push_back(id);
        }
    }
    return schedulable;
}

void Placer::expire_reservations(Ms now) {
    ClusterState& cluster = context_.cluster;
    for (Machine& machine : cluster.machines) {
        MachineReservation& reservation = machine.reservation;
        if (reservation.job == kNone) {
            continue;
        }
        const Job& job = cluster.jobs[reservation.job];
        if (now >= reservation.until || !job.alive || job.waiting() == 0) {
            reservation.job = kNone;
        }
    }
}

void Placer::begin_pass(Ms now) {
    order_ = waiting_order(context_.cluster, now,
                           context_.controller.operator_settings.priority_aging_s, zone_failover_);
    cursor_ = 0;
    quota_blocks_.clear();
    reserving_gangs_ = 0;
}

void Placer::place_waiting_jobs(Ms now, const std::vector<Id>& schedulable) {
    // The time budget lets the controller answer heartbeats and renew leases in time while
    // thousands of jobs wait.
    Ms deadline = context_.controller.stopwatch() +
                  to_ms(context_.controller.operator_settings.round_budget_ms);
    while (cursor_ < order_.size()) {
        place_job(now, order_[cursor_++], schedulable);
        bool budget_spent = round_.examined_machines() > kMaxExaminedMachines ||
                            context_.controller.stopwatch() >= deadline;
        if (budget_spent && cursor_ < order_.size()) {
            context_.placement_requested = true;
            break;
        }
    }
    context_.candidate_counts.placement_candidates = round_.examined_machines();
    if (cursor_ >= order_.size()) {
        ++passes_;
    }
}

void Placer::place_job(Ms now, Id job_id, const std::vector<Id>& schedulable) {
    Job& job = context_.cluster.jobs[job_id];
    if (!job.alive || job.cancelled || job.ending || job.waiting() == 0) {
        return;
    }
    // A job keeps the priority that it has reached by aging; otherwise its tasks would be preempted
    // as soon as they start.
    job.aged_priority = std::max(job.aged_priority, round_.scorer().aged_priority(job_id));
    if (job.spec.gang() && job.assigned > 0) {
        // Quota blocks don't apply here: a job that waits for quota may need what this gang
        // occupies, and the two would deadlock.
        gang_placement_.replace_members(now, job_id);
        return;
    }
    if (blocked_by_quota(job_id)) {
        return;
    }
    if (!job.spec.gang()) {
        place_tasks(now, job_id);
    } else if (!gang_placement_.place(now, job_id)) {
        reserve_for_gang(now, job_id, schedulable);
    }
}

// A job that lacks quota blocks jobs of the same team that are served after it, at the same or a
// lower priority. Otherwise their smaller tasks would take all the quota that becomes free, and a
// large task would starve.
bool Placer::blocked_by_quota(Id job_id) {
    const ClusterState& cluster = context_.cluster;
    const JobSpec& spec = cluster.jobs[job_id].spec;
    QuotaBlock& block = quota_blocks_[spec.team];
    int priority = static_cast<int>(spec.priority);
    if ((spec.task_resources.cpus > 0 && priority <= block.cpus) ||
        (spec.task_resources.gpus > 0 && priority <= block.gpus)) {
        return true;
    }
    std::uint32_t needed = spec.gang() ? spec.tasks : 1;
    if (cluster.quota_headroom(spec.team, spec.task_resources) >= needed) {
        return false;
    }
    if (zone_failover_.waits_for_zone(job_id)) {
        return true;  // the job can't start anyway, so it must not block others
    }
    if (cluster.quota_headroom(spec.team, {spec.task_resources.cpus, 0, 0}) < needed) {
        block.cpus = std::max(block.cpus, priority);
    }
    if (cluster.quota_headroom(spec.team, {0, spec.task_resources.gpus, 0}) < needed) {
        block.gpus = std::max(block.gpus, priority);
    }
    return true;
}

void Placer::place_tasks(Ms now, Id job_id) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[job_id];
    MachinePicker picker(round_, job_id, kNone);
    for (std::uint32_t placed = 0; placed < kMaxTasksPerJob && job.waiting() > 0; ++placed) {
        if (!cluster.within_quota(job.spec.team, job.spec.task_resources)) {
            break;
        }
        Id machine = picker.next();
        if (machine == kNone) {
            break;
        }
        TaskRef ref{job_id, take_next_task(job)};
        round_.assign(ref, machine, cluster.task(ref).attempt + 1, now);
        picker.on_task_assigned();
        spdlog::debug("task {}/{} attempt {} assigned to machine {}", job.spec.id, ref.task,
                      cluster.task(ref).attempt, cluster.machines[machine].name);
    }
}

void Placer::reserve_for_gang(Ms now, Id job_id, const std::vector<Id>& schedulable) {
    const OperatorSettings& settings = context_.controller.operator_settings;
    const Job& job = context_.cluster.jobs[job_id];
    if (job.spec.tasks <= 1 || reserving_gangs_ >= settings.max_reserving_gangs ||
        now < job.waiting_since + to_ms(settings.reserve_after_s)) {
        return;
    }
    auto may_preempt = [this, now](const Job& victim, const Job& gang) {
        return preemption_.may_preempt(now, victim, gang);
    };
    reserving_gangs_ += reservation_.reserve(now, job_id, schedulable, may_preempt);
}

}  // namespace walkford
