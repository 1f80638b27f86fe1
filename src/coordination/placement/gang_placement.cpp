#include "coordination/placement/gang_placement.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/placement/gang_zones.hpp"
#include "coordination/placement/machine_picker.hpp"

namespace walkford {

GangPlacement::GangPlacement(LeaderContext& context, TaskLifecycle& lifecycle,
                             const ZoneFailoverManager& zone_failover, GangReservation& reservation,
                             PlacementRound& round)
    : context_(context),
      lifecycle_(lifecycle),
      zone_failover_(zone_failover),
      reservation_(reservation),
      round_(round) {}

// A new attempt starts only after no task of the previous one is left on a machine.
bool GangPlacement::may_start_attempt(const Job& job) const {
    const JobSpec& spec = job.spec;
    if (job.assigned > 0 || job.waiting() < spec.tasks - job.done) {
        return false;
    }
    return context_.cluster.quota_headroom(spec.team, spec.task_resources) >= spec.tasks;
}

bool GangPlacement::place(Ms now, Id job_id) {
    Job& job = context_.cluster.jobs[job_id];
    if (!may_start_attempt(job)) {
        return false;
    }
    std::vector<Id> zones = zones_with_slots(job_id);
    if (zones.empty()) {
        return false;
    }
    std::uint32_t attempt = latest_attempt(job_id) + 1;
    bool placed = std::any_of(zones.begin(), zones.end(),
                              [&](Id zone) { return place_in_zone(now, job_id, zone, attempt); });
    if (!placed) {
        return false;
    }
    job.retry_queue.clear();
    job.next_unassigned = job.spec.tasks;
    reservation_.release(job_id);
    job.replacement_deadline = -1;
    spdlog::debug("job {} attempt {}: all {} gang members assigned", job.spec.id, attempt,
                  job.spec.tasks);
    return true;
}

std::vector<Id> GangPlacement::zones_with_slots(Id job_id) {
    const ClusterState& cluster = context_.cluster;
    const JobSpec& spec = cluster.jobs[job_id].spec;
    std::vector<Id> zones =
        gang_zones(spec, round_.free_capacity().groups(),
                   [](const FreeCapacity::MachineGroup& group) { return group.zone; });
    // Counting slots rules out zones that are too full without a trial placement.
    std::erase_if(zones, [&](Id zone) { return count_slots(job_id, zone) < spec.tasks; });
    if (zones.size() > 1) {
        // The zone of the best machine for a single task is tried first.
        Id best_machine = MachinePicker(round_, job_id, kNone).next();
        if (best_machine != kNone) {
            auto best = std::find(zones.begin(), zones.end(), cluster.machines[best_machine].zone);
            if (best != zones.end()) {
                std::iter_swap(zones.begin(), best);
            }
        }
    }
    return zones;
}

std::uint32_t GangPlacement::count_slots(Id job_id, Id zone) {
    const ClusterState& cluster = context_.cluster;
    const JobSpec& spec = cluster.jobs[job_id].spec;
    std::uint32_t slots = 0;
    for (const FreeCapacity::MachineGroup& group : round_.free_capacity().groups()) {
        if ((zone != kNone && group.zone != zone) ||
            !spec.task_resources.fits_in(group.largest_free)) {
            continue;
        }
        if (!FreeCapacity::allowed(spec, group) || !zone_failover_.admits(job_id, group.zone)) {
            continue;
        }
        round_.count_examined(group.machines.size());
        for (const FreeCapacity::MachineCapacity& capacity : group.machines) {
            if (slots >= spec.tasks) {
                return slots;
            }
            if (!spec.task_resources.fits_in(capacity.free)) {
                continue;
            }
            Id reserved_for = cluster.machines[capacity.machine].reservation.job;
            if (reserved_for != kNone && reserved_for != job_id) {
                continue;
            }
            slots += ClusterState::slots(spec, group.machine_type, group.zone, group.spot,
                                         capacity.free);
        }
    }
    return slots;
}

bool GangPlacement::place_in_zone(Ms now, Id job_id, Id zone, std::uint32_t attempt) {
    std::uint32_t tasks = context_.cluster.jobs[job_id].spec.tasks;
    MachinePicker picker(round_, job_id, zone);
    std::uint32_t placed = 0;
    for (; placed < tasks; ++placed) {
        Id machine = picker.next();
        if (machine == kNone) {
            break;
        }
        round_.assign({job_id, placed}, machine, attempt, now);
        picker.on_task_assigned();
    }
    if (placed == tasks) {
        return true;
    }
    for (std::uint32_t index = 0; index < placed; ++index) {
        round_.revert({job_id, index}, attempt - 1);
    }
    return false;
}

std::uint32_t GangPlacement::latest_attempt(Id job_id) const {
    ClusterState& cluster = context_.cluster;
    std::uint32_t attempt = 0;
    for (std::uint32_t index = 0; index < cluster.jobs[job_id].spec.tasks; ++index) {
        attempt = std::max(attempt, cluster.task({job_id, index}).attempt);
    }
    return attempt;
}

std::uint32_t GangPlacement::waiting_attempt(Id job_id) const {
    ClusterState& cluster = context_.cluster;
    std::uint32_t attempt = 0;
    for (std::uint32_t index = 0; index < cluster.jobs[job_id].spec.tasks; ++index) {
        const Task& task = cluster.task({job_id, index});
        if (task.machine != kNone) {
            attempt = std::max(attempt, task.attempt);
        }
    }
    return attempt;
}

void GangPlacement::replace_members(Ms now, Id job_id) {
    ClusterState& cluster = context_.cluster;
    Job& job = cluster.jobs[job_id];
    if (job.spec.tasks <= 1 || !lifecycle_.no_task_begun(job_id)) {
        return;
    }
    // A new leader that finds a gang with missing members allows the same time to replace them.
    if (job.replacement_deadline < 0) {
        job.replacement_deadline = now + TaskLifecycle::kReplacementTimeout;
    }
    std::uint32_t attempt = waiting_attempt(job_id);
    MachinePicker picker(round_, job_id, kNone);
    while (!job.retry_queue.empty() &&
           cluster.within_quota(job.spec.team, job.spec.task_resources)) {
        Id machine = picker.next();
        if (machine == kNone) {
            break;
        }
        std::uint32_t index = job.retry_queue.front();
        // A member that has already used a later attempt can't join this one.
        if (cluster.task({job_id, index}).attempt > attempt) {
            break;
        }
        job.retry_queue.pop_front();
        round_.assign({job_id, index}, machine, attempt, now);
        picker.on_task_assigned();
        spdlog::debug("task {}/{} attempt {}: lost gang member reassigned to machine {}",
                      job.spec.id, index, attempt, cluster.machines[machine].name);
    }
    if (job.retry_queue.empty()) {
        job.replacement_deadline = -1;
    } else if (now >= job.replacement_deadline) {
        job.replacement_deadline = -1;
        lifecycle_.stop_job(job_id, 0, now, true);
    }
}

}  // namespace walkford
