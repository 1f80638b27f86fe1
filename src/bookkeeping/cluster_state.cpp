#include "bookkeeping/cluster_state.hpp"

#include <algorithm>
#include <cmath>

namespace walkford {

ClusterState::ClusterState(Names& n, std::vector<Team> teams) : names(n), teams_(std::move(teams)) {
    used_.resize(teams_.size());
}

void ClusterState::set_machine_types(const std::vector<MachineType>& machine_types) {
    machine_types_ = machine_types;
}

const MachineType* ClusterState::machine_type(Id id) const {
    for (const MachineType& k : machine_types_) {
        if (k.id == id) {
            return &k;
        }
    }
    return nullptr;
}

Id ClusterState::find_job(const std::string& id) const {
    auto it = job_ids_.find(id);
    return it == job_ids_.end() ? kNone : it->second;
}

Id ClusterState::add_job(const StoredJob& stored_job, Ms now) {
    Id id;
    if (!free_jobs_.empty()) {
        id = free_jobs_.back();
        free_jobs_.pop_back();
        jobs[id] = Job{};
    } else {
        id = static_cast<Id>(jobs.size());
        jobs.emplace_back();
    }
    Job& j = jobs[id];
    j.spec = stored_job.record.spec;
    j.version = stored_job.version;
    j.created_version = stored_job.created_version;
    j.cancelled = stored_job.record.cancelled;
    j.known_since = now;
    j.waiting_since = now;
    j.start_deadline = now + start_budget(j.spec);
    if (j.spec.job_class != kNone) {
        auto it =
            std::find_if(job_class_profiles.begin(), job_class_profiles.end(),
                         [&](const JobClassProfile& s) { return s.job_class == j.spec.job_class; });
        if (it == job_class_profiles.end()) {
            it = job_class_profiles.insert(job_class_profiles.end(), JobClassProfile{});
        }
        *it = {j.spec.job_class, j.spec, now};
    }
    j.placement_records.resize((j.spec.tasks + j.spec.tasks_per_record - 1) /
                               j.spec.tasks_per_record);
    job_ids_[j.spec.id] = id;
    return id;
}

void ClusterState::remove_job(Id id) {
    Job& j = jobs[id];
    bool ended_well = j.done == j.spec.tasks;
    for (std::uint32_t c = 0; c < j.placement_records.size(); ++c) {
        if (!j.placement_records[c]) {
            continue;
        }
        for (std::uint32_t i = 0; i < j.placement_records[c]->tasks.size(); ++i) {
            unassign({id, c * j.spec.tasks_per_record + i});
        }
    }
    for (std::uint32_t c = 0; c < j.placement_records.size(); ++c) {
        dirty.erase({id, c});
    }
    job_ids_.erase(j.spec.id);
    jobs[id] = Job{};
    jobs[id].alive = false;
    free_jobs_.push_back(id);
    for (Machine& m : machines) {
        m.health.failed_jobs_done_elsewhere += m.health.failing_jobs.erase(id) > 0 && ended_well;
    }
}

Id ClusterState::find_machine(const std::string& name) const {
    auto it = machine_ids_.find(name);
    return it == machine_ids_.end() ? kNone : it->second;
}

Id ClusterState::add_machine(const std::string& name, Id machine_type, Id zone, bool spot, Ms now) {
    Id id = find_machine(name);
    if (id != kNone) {
        return id;
    }
    id = static_cast<Id>(machines.size());
    Machine m;
    m.name = name;
    m.machine_type = machine_type;
    m.zone = zone;
    m.spot = spot;
    m.known_since = now;
    m.requested_at = now;
    m.idle_since = now;
    machines.push_back(std::move(m));
    machine_ids_[name] = id;
    return id;
}

void ClusterState::forget_machine(Id id) {
    Machine& m = machines[id];
    m.terminated = true;
    m.registered = false;
    m.images.clear();
    machine_ids_.erase(m.name);
}

std::uint32_t ClusterState::slots(const JobSpec& s, Id machine_type, Id zone, bool spot,
                                  const Resources& free) {
    if (!s.allows_machine_type(machine_type) || (s.zone != kNone && s.zone != zone) ||
        (spot && !s.spot)) {
        return 0;
    }
    double n = 1000;
    for (Resource resource : kResources) {
        double each = s.each.get(resource);
        if (each > 0) {
            n = std::min(n, std::floor((free.get(resource) + 1e-6) / each));
        }
    }
    return n <= 0 ? 0 : static_cast<std::uint32_t>(n);
}

std::uint32_t ClusterState::record_size(const JobSpec& spec, std::uint32_t index) const {
    return std::min(spec.tasks_per_record, spec.tasks - index * spec.tasks_per_record);
}

PlacementRecord& ClusterState::placement_record(Id job, std::uint32_t index) {
    Job& j = jobs[job];
    auto& slot = j.placement_records.at(index);
    if (!slot) {
        slot = std::make_unique<PlacementRecord>();
        slot->tasks.resize(record_size(j.spec, index));
    }
    return *slot;
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
        const Task& t = task(ref);
        bool fetches = t.state == TaskState::pulling || t.phase == TaskPhase::assigned ||
                       t.phase == TaskPhase::dispatched;
        Id image = jobs[ref.job].spec.image;
        if (fetches && image != kNone &&
            std::find(images.begin(), images.end(), image) == images.end()) {
            images.push_back(image);
        }
    }
    return static_cast<int>(images.size());
}

void ClusterState::assign(TaskRef ref, Id machine, std::uint32_t attempt, Ms now) {
    Job& j = jobs[ref.job];
    Task& t = task(ref);
    t.attempt = attempt;
    t.machine = machine;
    t.phase = TaskPhase::assigned;
    t.state = TaskState::unknown;
    t.inherited = false;
    t.stopping = false;
    t.rerun = false;
    t.failure_not_counted = false;
    t.stop_sent_at = -1;
    t.running_since = -1;
    t.since = now;
    Machine& m = machines[machine];
    m.used += j.spec.each;
    m.tasks.insert(ref);
    if (j.spec.image != kNone) {
        m.images[j.spec.image] = now;
    }
    ++j.assigned;
    ++j.zones[m.zone];
    if (j.spec.team < used_.size()) {
        used_[j.spec.team] += j.spec.each;
    }
    mark_dirty(ref);
}

void ClusterState::unassign(TaskRef ref) {
    Task& t = task(ref);
    if (t.machine == kNone) {
        return;
    }
    Job& j = jobs[ref.job];
    Machine& m = machines[t.machine];
    m.used -= j.spec.each;
    m.tasks.erase(ref);
    if (m.tasks.empty()) {
        m.used = {};
    }
    --j.assigned;
    if (--j.zones[m.zone] == 0) {
        j.zones.erase(m.zone);
    }
    if (j.spec.team < used_.size()) {
        used_[j.spec.team] -= j.spec.each;
    }
    t.machine = kNone;
    t.stopping = false;
    mark_dirty(ref);
}

void ClusterState::requeue(TaskRef ref, Ms now) {
    Id machine = task(ref).machine;
    unassign(ref);
    Task& t = task(ref);
    if (t.phase == TaskPhase::done || t.phase == TaskPhase::pending) {
        return;
    }
    t.phase = TaskPhase::pending;
    t.since = now;
    Job& j = jobs[ref.job];
    if (j.waiting() == 0) {
        j.waiting_since = now;
    }
    j.retry_queue.push_back(ref.task);
    if (machine != kNone) {
        j.interrupted_in = machines[machine].zone;
        j.interrupted_at = now;
    }
}

void ClusterState::mark_done(TaskRef ref) {
    unassign(ref);
    Task& t = task(ref);
    if (t.phase == TaskPhase::done) {
        return;
    }
    if (t.phase == TaskPhase::pending) {
        // It came back done while it waited to be placed again.
        auto& retry_queue = jobs[ref.job].retry_queue;
        auto it = std::find(retry_queue.begin(), retry_queue.end(), ref.task);
        if (it == retry_queue.end()) {
            return;
        }
        retry_queue.erase(it);
    }
    t.phase = TaskPhase::done;
    ++jobs[ref.job].done;
    mark_dirty(ref);
}

namespace {
std::uint32_t room(double limit, double used, double each) {
    if (limit <= 0 || each <= 0) {
        return 0xffffffffU;
    }
    double n = std::floor((limit - used + 1e-6) / each);
    return n <= 0 ? 0 : static_cast<std::uint32_t>(std::min(n, 4e9));
}
}  // namespace

std::uint32_t ClusterState::quota_headroom(Id team, const Resources& each) const {
    if (team >= teams_.size()) {
        return 0;
    }
    const Resources& limit = teams_[team].quota;
    return std::min(room(limit.cpus, used_[team].cpus, each.cpus),
                    room(limit.gpus, used_[team].gpus, each.gpus));
}

bool ClusterState::within_quota(Id team, const Resources& more) const {
    return quota_headroom(team, more) > 0;
}

bool ClusterState::within_guaranteed_share(Id team, const Resources& more) const {
    if (team >= teams_.size()) {
        return false;
    }
    const Resources& g = teams_[team].guaranteed_share;
    Resources total = used_[team] + more;
    return total.cpus <= g.cpus + 1e-6 && (more.gpus <= 0 || total.gpus <= g.gpus + 1e-6);
}

std::vector<TaskRecord> ClusterState::snapshot(Id job, std::uint32_t index) const {
    const Job& j = jobs[job];
    std::vector<TaskRecord> records(record_size(j.spec, index));
    const auto& slot = j.placement_records.at(index);
    if (!slot) {
        return records;
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        const Task& t = slot->tasks[i];
        records[i].attempt = t.attempt;
        records[i].done = t.phase == TaskPhase::done;
        if (!records[i].done && t.machine != kNone) {
            records[i].machine = machines[t.machine].name;
        }
    }
    return records;
}

bool ClusterState::durable(Id job, std::uint32_t index) const {
    const auto& slot = jobs[job].placement_records.at(index);
    if (!slot) {
        return true;
    }
    return std::all_of(slot->tasks.begin(), slot->tasks.end(), [](const Task& t) {
        bool done = t.phase == TaskPhase::done;
        if (t.write_outcome_unknown || done != t.durable_done) {
            return false;
        }
        return done || (t.machine == t.durable_machine && t.attempt == t.durable_attempt);
    });
}

void ClusterState::mark_write_started(Id job, std::uint32_t index,
                                      const std::vector<TaskRecord>& written) {
    PlacementRecord& c = placement_record(job, index);
    for (std::size_t i = 0; i < c.tasks.size(); ++i) {
        Task& t = c.tasks[i];
        Id machine = written[i].machine.empty() ? kNone : find_machine(written[i].machine);
        if (t.durable_attempt != written[i].attempt || t.durable_done != written[i].done ||
            t.durable_machine != machine) {
            t.write_outcome_unknown = true;
        }
    }
}

void ClusterState::commit(Id job, std::uint32_t index, const std::vector<TaskRecord>& stored,
                          std::uint64_t version) {
    PlacementRecord& c = placement_record(job, index);
    c.version = version;
    for (std::size_t i = 0; i < c.tasks.size() && i < stored.size(); ++i) {
        Task& t = c.tasks[i];
        t.durable_attempt = stored[i].attempt;
        t.durable_done = stored[i].done;
        t.write_outcome_unknown = false;
        t.durable_machine = stored[i].machine.empty() ? kNone : find_machine(stored[i].machine);
    }
}

void ClusterState::load_job(const StoredJob& stored_job,
                            const std::map<std::uint32_t, StoredValue>* placement_records, Ms now) {
    Id job = add_job(stored_job, now);
    if (!placement_records) {
        return;
    }
    Job& j = jobs[job];
    for (const auto& [index, stored] : *placement_records) {
        if (index >= j.placement_records.size()) {
            continue;
        }
        PlacementRecord& c = placement_record(job, index);
        std::vector<TaskRecord> records(c.tasks.size());
        if (!decode_placement_record(stored.value, records)) {
            continue;
        }
        for (std::uint32_t i = 0; i < records.size(); ++i) {
            const TaskRecord& r = records[i];
            TaskRef ref{job, index * j.spec.tasks_per_record + i};
            Task& t = c.tasks[i];
            t.attempt = r.attempt;
            if (r.done) {
                t.phase = TaskPhase::done;
                ++j.done;
            } else if (!r.machine.empty()) {
                Id m = find_machine(r.machine);
                if (m == kNone) {
                    // Its machine has left the registry: a return was answered, so it is gone.
                    t.phase = TaskPhase::pending;
                } else {
                    assign(ref, m, r.attempt, now);
                    t.inherited = true;
                }
            }
        }
        commit(job, index, records, stored.version);
        dirty.erase({job, index});
    }
    // What is neither done nor placed waits. Everything beyond the last known chunk is fresh.
    std::uint32_t known = placement_records->empty()
                              ? 0
                              : std::min(j.spec.tasks, (placement_records->rbegin()->first + 1) *
                                                           j.spec.tasks_per_record);
    j.next_unassigned = known;
    for (std::uint32_t i = 0; i < known; ++i) {
        if (task({job, i}).phase == TaskPhase::pending) {
            j.retry_queue.push_back(i);
        }
    }
}

}  // namespace walkford
