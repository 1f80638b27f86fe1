#include "bookkeeping/cluster_state.hpp"

#include <algorithm>
#include <cmath>

namespace walkford {

namespace {
// Sums of decimal amounts accumulate rounding errors, so differences up to a millionth of a unit
// are ignored.
constexpr double kRoundingSlack = 1e-6;
// Placement never considers more tasks than this on one machine.
constexpr double kMaxSlots = 1000;
constexpr std::uint32_t kNoLimit = 0xffffffffU;
constexpr double kMaxHeadroom = 4e9;

// The number of further tasks that the limit admits if each uses `each`. A limit of 0 means that
// there is no limit.
std::uint32_t headroom(double limit, double used, double each) {
    if (limit <= 0 || each <= 0) {
        return kNoLimit;
    }
    double tasks = std::floor((limit - used + kRoundingSlack) / each);
    return tasks <= 0 ? 0 : static_cast<std::uint32_t>(std::min(tasks, kMaxHeadroom));
}
}  // namespace

ClusterState::ClusterState(Names& shared_names, std::vector<Team> teams)
    : names(shared_names), teams_(std::move(teams)) {
    team_usage_.resize(teams_.size());
}

void ClusterState::set_machine_types(const std::vector<MachineType>& machine_types) {
    machine_types_ = machine_types;
}

const MachineType* ClusterState::machine_type(Id id) const {
    for (const MachineType& machine_type : machine_types_) {
        if (machine_type.id == id) {
            return &machine_type;
        }
    }
    return nullptr;
}

Id ClusterState::find_job(const std::string& id) const {
    auto found = job_ids_.find(id);
    return found == job_ids_.end() ? kNone : found->second;
}

// Returns an unused index and resets the job at that index to its initial state.
Id ClusterState::allocate_job() {
    if (free_job_indices_.empty()) {
        jobs.emplace_back();
        return static_cast<Id>(jobs.size() - 1);
    }
    Id job_id = free_job_indices_.back();
    free_job_indices_.pop_back();
    jobs[job_id] = Job{};
    return job_id;
}

void ClusterState::update_job_class_profile(const JobSpec& spec, Ms now) {
    if (spec.job_class == kNone) {
        return;
    }
    auto profile = std::find_if(
        job_class_profiles.begin(), job_class_profiles.end(),
        [&](const JobClassProfile& known) { return known.job_class == spec.job_class; });
    if (profile == job_class_profiles.end()) {
        profile = job_class_profiles.insert(job_class_profiles.end(), JobClassProfile{});
    }
    *profile = {spec.job_class, spec, now};
}

Id ClusterState::add_job(const StoredJob& stored_job, Ms now) {
    Id job_id = allocate_job();
    Job& job = jobs[job_id];
    job.spec = stored_job.record.spec;
    job.version = stored_job.version;
    job.created_version = stored_job.created_version;
    job.cancelled = stored_job.record.cancelled;
    job.known_since = now;
    job.waiting_since = now;
    job.start_deadline = now + start_budget(job.spec);
    update_job_class_profile(job.spec, now);
    job.placement_records.resize((job.spec.tasks + job.spec.tasks_per_record - 1) /
                                 job.spec.tasks_per_record);
    job_ids_[job.spec.id] = job_id;
    return job_id;
}

void ClusterState::remove_job(Id id) {
    Job& job = jobs[id];
    bool completed = job.done == job.spec.tasks;
    for (std::uint32_t index = 0; index < job.placement_records.size(); ++index) {
        if (!job.placement_records[index]) {
            continue;
        }
        for (std::uint32_t i = 0; i < job.placement_records[index]->tasks.size(); ++i) {
            unassign({id, index * job.spec.tasks_per_record + i});
        }
    }
    for (std::uint32_t index = 0; index < job.placement_records.size(); ++index) {
        dirty.erase({id, index});
    }
    job_ids_.erase(job.spec.id);
    jobs[id] = Job{};
    jobs[id].alive = false;
    free_job_indices_.push_back(id);
    for (Machine& machine : machines) {
        MachineHealth& health = machine.health;
        health.failed_jobs_done_elsewhere += health.failing_jobs.erase(id) > 0 && completed;
    }
}

Id ClusterState::find_machine(const std::string& name) const {
    auto found = machine_ids_.find(name);
    return found == machine_ids_.end() ? kNone : found->second;
}

Id ClusterState::add_machine(const std::string& name, Id machine_type, Id zone, bool spot, Ms now) {
    Id id = find_machine(name);
    if (id != kNone) {
        return id;
    }
    id = static_cast<Id>(machines.size());
    Machine machine;
    machine.name = name;
    machine.machine_type = machine_type;
    machine.zone = zone;
    machine.spot = spot;
    machine.known_since = now;
    machine.requested_at = now;
    machine.idle_since = now;
    machines.push_back(std::move(machine));
    machine_ids_[name] = id;
    return id;
}

void ClusterState::forget_machine(Id id) {
    Machine& machine = machines[id];
    machine.terminated = true;
    machine.registered = false;
    machine.images.clear();
    machine_ids_.erase(machine.name);
}

std::uint32_t ClusterState::slots(const JobSpec& spec, Id machine_type, Id zone, bool spot,
                                  const Resources& free) {
    if (!spec.allows_machine_type(machine_type) || (spec.zone != kNone && spec.zone != zone) ||
        (spot && !spec.spot)) {
        return 0;
    }
    double slots = kMaxSlots;
    for (Resource resource : kResources) {
        double each = spec.task_resources.get(resource);
        if (each > 0) {
            slots = std::min(slots, std::floor((free.get(resource) + kRoundingSlack) / each));
        }
    }
    return slots <= 0 ? 0 : static_cast<std::uint32_t>(slots);
}

std::uint32_t ClusterState::record_size(const JobSpec& spec, std::uint32_t index) const {
    return std::min(spec.tasks_per_record, spec.tasks - index * spec.tasks_per_record);
}

PlacementRecord& ClusterState::placement_record(Id job_id, std::uint32_t index) {
    Job& job = jobs[job_id];
    auto& record = job.placement_records.at(index);
    if (!record) {
        record = std::make_unique<PlacementRecord>();
        record->tasks.resize(record_size(job.spec, index));
    }
    return *record;
}

PlacementRecord& ClusterState::placement_record_of(TaskRef ref) {
    return placement_record(ref.job, ref.task / jobs[ref.job].spec.tasks_per_record);
}

Task& ClusterState::task(TaskRef ref) {
    return placement_record_of(ref).tasks.at(ref.task % jobs[ref.job].spec.tasks_per_record);
}

int ClusterState::image_fetches_in_progress(const Machine& machine) {
    std::vector<Id> images;
    for (TaskRef ref : machine.tasks) {
        const Task& assigned = task(ref);
        bool fetches = assigned.state == TaskState::pulling ||
                       assigned.phase == TaskPhase::assigned ||
                       assigned.phase == TaskPhase::dispatched;
        Id image = jobs[ref.job].spec.image;
        if (fetches && image != kNone &&
            std::find(images.begin(), images.end(), image) == images.end()) {
            images.push_back(image);
        }
    }
    return static_cast<int>(images.size());
}

void ClusterState::add_team_usage(Id team, const Resources& amount) {
    if (team < team_usage_.size()) {
        team_usage_[team] += amount;
    }
}

void ClusterState::remove_team_usage(Id team, const Resources& amount) {
    if (team < team_usage_.size()) {
        team_usage_[team] -= amount;
    }
}

void ClusterState::assign(TaskRef ref, Id machine_id, std::uint32_t attempt, Ms now) {
    Job& job = jobs[ref.job];
    Task& assigned = task(ref);
    assigned.attempt = attempt;
    assigned.machine = machine_id;
    assigned.phase = TaskPhase::assigned;
    assigned.state = TaskState::unknown;
    assigned.assigned_by_earlier_leader = false;
    assigned.stopping = false;
    assigned.rerun_in_place = false;
    assigned.failure_not_counted = false;
    assigned.stop_sent_at = -1;
    assigned.running_since = -1;
    assigned.since = now;
    Machine& machine = machines[machine_id];
    machine.used += job.spec.task_resources;
    machine.tasks.insert(ref);
    if (job.spec.image != kNone) {
        machine.images[job.spec.image] = now;
    }
    ++job.assigned;
    ++job.zones[machine.zone];
    add_team_usage(job.spec.team, job.spec.task_resources);
    mark_dirty(ref);
}

void ClusterState::unassign(TaskRef ref) {
    Task& assigned = task(ref);
    if (assigned.machine == kNone) {
        return;
    }
    Job& job = jobs[ref.job];
    Machine& machine = machines[assigned.machine];
    machine.used -= job.spec.task_resources;
    machine.tasks.erase(ref);
    if (machine.tasks.empty()) {
        machine.used = {};  // discards accumulated rounding errors
    }
    --job.assigned;
    if (--job.zones[machine.zone] == 0) {
        job.zones.erase(machine.zone);
    }
    remove_team_usage(job.spec.team, job.spec.task_resources);
    assigned.machine = kNone;
    assigned.stopping = false;
    mark_dirty(ref);
}

void ClusterState::requeue(TaskRef ref, Ms now) {
    Id machine = task(ref).machine;
    unassign(ref);
    Task& requeued = task(ref);
    if (requeued.phase == TaskPhase::done || requeued.phase == TaskPhase::pending) {
        return;
    }
    requeued.phase = TaskPhase::pending;
    requeued.since = now;
    Job& job = jobs[ref.job];
    if (job.waiting() == 0) {
        job.waiting_since = now;
    }
    job.retry_queue.push_back(ref.task);
    if (machine != kNone) {
        job.last_interruption_zone = machines[machine].zone;
        job.last_interruption_at = now;
    }
}

void ClusterState::mark_done(TaskRef ref) {
    unassign(ref);
    Task& completed = task(ref);
    if (completed.phase == TaskPhase::done) {
        return;
    }
    if (completed.phase == TaskPhase::pending) {
        // The task was reported as done while it was queued to be placed again.
        auto& retry_queue = jobs[ref.job].retry_queue;
        auto queued = std::find(retry_queue.begin(), retry_queue.end(), ref.task);
        if (queued == retry_queue.end()) {
            return;
        }
        retry_queue.erase(queued);
    }
    completed.phase = TaskPhase::done;
    ++jobs[ref.job].done;
    mark_dirty(ref);
}

std::uint32_t ClusterState::quota_headroom(Id team, const Resources& each) const {
    if (team >= teams_.size()) {
        return 0;
    }
    const Resources& quota = teams_[team].quota;
    return std::min(headroom(quota.cpus, team_usage_[team].cpus, each.cpus),
                    headroom(quota.gpus, team_usage_[team].gpus, each.gpus));
}

bool ClusterState::within_quota(Id team, const Resources& more) const {
    return quota_headroom(team, more) > 0;
}

bool ClusterState::within_guaranteed_share(Id team, const Resources& more) const {
    if (team >= teams_.size()) {
        return false;
    }
    const Resources& share = teams_[team].guaranteed_share;
    Resources total = team_usage_[team] + more;
    return total.cpus <= share.cpus + kRoundingSlack &&
           (more.gpus <= 0 || total.gpus <= share.gpus + kRoundingSlack);
}

}  // namespace walkford
