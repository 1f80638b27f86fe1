#include "bookkeeping/cluster_state.hpp"

#include <algorithm>
#include <cmath>

namespace walkford {

ClusterState::ClusterState(Names& n, std::vector<Team> teams) : names(n), teams_(std::move(teams)) {
    used_.resize(teams_.size());
}

void ClusterState::set_kinds(const std::vector<Kind>& kinds) { kinds_ = kinds; }

const Kind* ClusterState::kind(Id id) const {
    for (const Kind& k : kinds_) {
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

Id ClusterState::add_job(const JobView& view, Ms now) {
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
    j.spec = view.record.spec;
    j.stamp = view.stamp;
    j.born = view.born;
    j.cancelled = view.record.cancelled;
    j.known_since = now;
    j.waiting_since = now;
    j.start_by = now + start_budget(j.spec);
    if (j.spec.lane != kNone) {
        auto it = std::find_if(shapes.begin(), shapes.end(),
                               [&](const Shape& s) { return s.lane == j.spec.lane; });
        if (it == shapes.end()) {
            it = shapes.insert(shapes.end(), Shape{});
        }
        *it = {j.spec.lane, j.spec, now};
    }
    j.chunks.resize((j.spec.tasks + j.spec.chunk - 1) / j.spec.chunk);
    job_ids_[j.spec.id] = id;
    return id;
}

void ClusterState::remove_job(Id id) {
    Job& j = jobs[id];
    bool ended_well = j.done == j.spec.tasks;
    for (std::uint32_t c = 0; c < j.chunks.size(); ++c) {
        if (!j.chunks[c]) {
            continue;
        }
        for (std::uint32_t i = 0; i < j.chunks[c]->tasks.size(); ++i) {
            unseat({id, c * j.spec.chunk + i});
        }
    }
    for (std::uint32_t c = 0; c < j.chunks.size(); ++c) {
        dirty.erase({id, c});
    }
    job_ids_.erase(j.spec.id);
    jobs[id] = Job{};
    jobs[id].alive = false;
    free_jobs_.push_back(id);
    for (Machine& m : machines) {
        m.error_done += m.error_jobs.erase(id) > 0 && ended_well;
    }
}

Id ClusterState::find_machine(const std::string& name) const {
    auto it = machine_ids_.find(name);
    return it == machine_ids_.end() ? kNone : it->second;
}

Id ClusterState::add_machine(const std::string& name, Id kind, Id zone, bool spot, Ms now) {
    Id id = find_machine(name);
    if (id != kNone) {
        return id;
    }
    id = static_cast<Id>(machines.size());
    Machine m;
    m.name = name;
    m.kind = kind;
    m.zone = zone;
    m.spot = spot;
    m.known_since = now;
    m.rented_at = now;
    m.idle_since = now;
    machines.push_back(std::move(m));
    machine_ids_[name] = id;
    return id;
}

void ClusterState::forget_machine(Id id) {
    Machine& m = machines[id];
    m.gone = true;
    m.held = false;
    m.images.clear();
    machine_ids_.erase(m.name);
}

std::uint32_t ClusterState::slots(const JobSpec& s, Id kind, Id zone, bool spot,
                                  const Amounts& free) {
    if (!s.allows_kind(kind) || (s.zone != kNone && s.zone != zone) || (spot && !s.spot)) {
        return 0;
    }
    double n = 1000;
    for (int r = 0; r < kResources; ++r) {
        double each = s.each.get(r);
        if (each > 0) {
            n = std::min(n, std::floor((free.get(r) + 1e-6) / each));
        }
    }
    return n <= 0 ? 0 : static_cast<std::uint32_t>(n);
}

std::uint32_t ClusterState::chunk_size(const JobSpec& spec, std::uint32_t index) const {
    return std::min(spec.chunk, spec.tasks - index * spec.chunk);
}

Chunk& ClusterState::chunk(Id job, std::uint32_t index) {
    Job& j = jobs[job];
    auto& slot = j.chunks.at(index);
    if (!slot) {
        slot = std::make_unique<Chunk>();
        slot->tasks.resize(chunk_size(j.spec, index));
    }
    return *slot;
}

Chunk& ClusterState::chunk_of(TaskRef ref) {
    return chunk(ref.job, ref.task / jobs[ref.job].spec.chunk);
}

Task& ClusterState::task(TaskRef ref) {
    return chunk_of(ref).tasks.at(ref.task % jobs[ref.job].spec.chunk);
}

int ClusterState::images_on_their_way(const Machine& machine) {
    std::vector<Id> images;
    for (TaskRef ref : machine.tasks) {
        const Task& t = task(ref);
        bool fetches =
            t.state == TaskState::pulling || t.phase == Phase::placed || t.phase == Phase::sent;
        Id image = jobs[ref.job].spec.image;
        if (fetches && image != kNone &&
            std::find(images.begin(), images.end(), image) == images.end()) {
            images.push_back(image);
        }
    }
    return static_cast<int>(images.size());
}

void ClusterState::place(TaskRef ref, Id machine, std::uint32_t attempt, Ms now) {
    Job& j = jobs[ref.job];
    Task& t = task(ref);
    t.attempt = attempt;
    t.machine = machine;
    t.phase = Phase::placed;
    t.state = TaskState::unknown;
    t.inherited = false;
    t.halting = false;
    t.rerun = false;
    t.excused = false;
    t.halt_told = -1;
    t.running_since = -1;
    t.since = now;
    Machine& m = machines[machine];
    m.used += j.spec.each;
    m.tasks.insert(ref);
    if (j.spec.image != kNone) {
        m.images[j.spec.image] = now;
    }
    ++j.placed;
    ++j.zones[m.zone];
    if (j.spec.team < used_.size()) {
        used_[j.spec.team] += j.spec.each;
    }
    touch(ref);
}

void ClusterState::unseat(TaskRef ref) {
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
    --j.placed;
    if (--j.zones[m.zone] == 0) {
        j.zones.erase(m.zone);
    }
    if (j.spec.team < used_.size()) {
        used_[j.spec.team] -= j.spec.each;
    }
    t.machine = kNone;
    t.halting = false;
    touch(ref);
}

void ClusterState::requeue(TaskRef ref, Ms now) {
    Id machine = task(ref).machine;
    unseat(ref);
    Task& t = task(ref);
    if (t.phase == Phase::done || t.phase == Phase::idle) {
        return;
    }
    t.phase = Phase::idle;
    t.since = now;
    Job& j = jobs[ref.job];
    if (j.waiting() == 0) {
        j.waiting_since = now;
    }
    j.again.push_back(ref.task);
    if (machine != kNone) {
        j.interrupted_in = machines[machine].zone;
        j.interrupted_at = now;
    }
}

void ClusterState::mark_done(TaskRef ref) {
    unseat(ref);
    Task& t = task(ref);
    if (t.phase == Phase::done) {
        return;
    }
    if (t.phase == Phase::idle) {
        // It came back done while it waited to be placed again.
        auto& again = jobs[ref.job].again;
        auto it = std::find(again.begin(), again.end(), ref.task);
        if (it == again.end()) {
            return;
        }
        again.erase(it);
    }
    t.phase = Phase::done;
    ++jobs[ref.job].done;
    touch(ref);
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

std::uint32_t ClusterState::limit_room(Id team, const Amounts& each) const {
    if (team >= teams_.size()) {
        return 0;
    }
    const Amounts& limit = teams_[team].limit;
    return std::min(room(limit.cpus, used_[team].cpus, each.cpus),
                    room(limit.gpus, used_[team].gpus, each.gpus));
}

bool ClusterState::within_limit(Id team, const Amounts& more) const {
    return limit_room(team, more) > 0;
}

bool ClusterState::within_guarantee(Id team, const Amounts& more) const {
    if (team >= teams_.size()) {
        return false;
    }
    const Amounts& g = teams_[team].guarantee;
    Amounts total = used_[team] + more;
    return total.cpus <= g.cpus + 1e-6 && (more.gpus <= 0 || total.gpus <= g.gpus + 1e-6);
}

std::vector<TaskRecord> ClusterState::snapshot(Id job, std::uint32_t index) const {
    const Job& j = jobs[job];
    std::vector<TaskRecord> records(chunk_size(j.spec, index));
    const auto& slot = j.chunks.at(index);
    if (!slot) {
        return records;
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        const Task& t = slot->tasks[i];
        records[i].attempt = t.attempt;
        records[i].done = t.phase == Phase::done;
        if (!records[i].done && t.machine != kNone) {
            records[i].machine = machines[t.machine].name;
        }
    }
    return records;
}

bool ClusterState::durable(Id job, std::uint32_t index) const {
    const auto& slot = jobs[job].chunks.at(index);
    if (!slot) {
        return true;
    }
    return std::all_of(slot->tasks.begin(), slot->tasks.end(), [](const Task& t) {
        bool done = t.phase == Phase::done;
        if (t.c_doubt || done != t.c_done) {
            return false;
        }
        return done || (t.machine == t.c_machine && t.attempt == t.c_attempt);
    });
}

void ClusterState::doubt(Id job, std::uint32_t index, const std::vector<TaskRecord>& written) {
    Chunk& c = chunk(job, index);
    for (std::size_t i = 0; i < c.tasks.size(); ++i) {
        Task& t = c.tasks[i];
        Id machine = written[i].machine.empty() ? kNone : find_machine(written[i].machine);
        if (t.c_attempt != written[i].attempt || t.c_done != written[i].done ||
            t.c_machine != machine) {
            t.c_doubt = true;
        }
    }
}

void ClusterState::commit(Id job, std::uint32_t index, const std::vector<TaskRecord>& stored,
                          std::uint64_t stamp) {
    Chunk& c = chunk(job, index);
    c.stamp = stamp;
    for (std::size_t i = 0; i < c.tasks.size() && i < stored.size(); ++i) {
        Task& t = c.tasks[i];
        t.c_attempt = stored[i].attempt;
        t.c_done = stored[i].done;
        t.c_doubt = false;
        t.c_machine = stored[i].machine.empty() ? kNone : find_machine(stored[i].machine);
    }
}

void ClusterState::load_job(const JobView& view, const std::map<std::uint32_t, StoredValue>* chunks,
                            Ms now) {
    Id job = add_job(view, now);
    if (!chunks) {
        return;
    }
    Job& j = jobs[job];
    for (const auto& [index, stored] : *chunks) {
        if (index >= j.chunks.size()) {
            continue;
        }
        Chunk& c = chunk(job, index);
        std::vector<TaskRecord> records(c.tasks.size());
        if (!decode_chunk(stored.value, records)) {
            continue;
        }
        for (std::uint32_t i = 0; i < records.size(); ++i) {
            const TaskRecord& r = records[i];
            TaskRef ref{job, index * j.spec.chunk + i};
            Task& t = c.tasks[i];
            t.attempt = r.attempt;
            if (r.done) {
                t.phase = Phase::done;
                ++j.done;
            } else if (!r.machine.empty()) {
                Id m = find_machine(r.machine);
                if (m == kNone) {
                    // Its machine has left the registry: a return was answered, so it is gone.
                    t.phase = Phase::idle;
                } else {
                    place(ref, m, r.attempt, now);
                    t.inherited = true;
                }
            }
        }
        commit(job, index, records, stored.stamp);
        dirty.erase({job, index});
    }
    // What is neither done nor placed waits. Everything beyond the last known chunk is fresh.
    std::uint32_t known =
        chunks->empty() ? 0 : std::min(j.spec.tasks, (chunks->rbegin()->first + 1) * j.spec.chunk);
    j.next_fresh = known;
    for (std::uint32_t i = 0; i < known; ++i) {
        if (task({job, i}).phase == Phase::idle) {
            j.again.push_back(i);
        }
    }
}

}  // namespace walkford
