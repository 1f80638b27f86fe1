// Persistence of the cluster state: which placement records to write, what the store is known to
// hold, and how a new leader loads jobs and placements.
#include <algorithm>
#include <memory>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

std::vector<TaskRecord> ClusterState::snapshot(Id job_id, std::uint32_t index) const {
    const Job& job = jobs[job_id];
    std::vector<TaskRecord> records(record_size(job.spec, index));
    const auto& placements = job.placement_records.at(index);
    if (!placements) {
        return records;
    }
    for (std::size_t i = 0; i < records.size(); ++i) {
        const Task& task = placements->tasks[i];
        records[i].attempt = task.attempt;
        records[i].done = task.phase == TaskPhase::done;
        if (!records[i].done && task.machine != kNone) {
            records[i].machine = machines[task.machine].name;
        }
    }
    return records;
}

bool ClusterState::durable(Id job_id, std::uint32_t index) const {
    const auto& placements = jobs[job_id].placement_records.at(index);
    if (!placements) {
        return true;
    }
    return std::all_of(placements->tasks.begin(), placements->tasks.end(), [](const Task& task) {
        bool done = task.phase == TaskPhase::done;
        if (task.write_outcome_unknown || done != task.durable_done) {
            return false;
        }
        return done ||
               (task.machine == task.durable_machine && task.attempt == task.durable_attempt);
    });
}

void ClusterState::mark_write_started(Id job_id, std::uint32_t index,
                                      const std::vector<TaskRecord>& written) {
    PlacementRecord& record = placement_record(job_id, index);
    for (std::size_t i = 0; i < record.tasks.size(); ++i) {
        Task& task = record.tasks[i];
        Id machine = written[i].machine.empty() ? kNone : find_machine(written[i].machine);
        if (task.durable_attempt != written[i].attempt || task.durable_done != written[i].done ||
            task.durable_machine != machine) {
            task.write_outcome_unknown = true;
        }
    }
}

void ClusterState::commit(Id job_id, std::uint32_t index, const std::vector<TaskRecord>& stored,
                          std::uint64_t version) {
    PlacementRecord& record = placement_record(job_id, index);
    record.version = version;
    for (std::size_t i = 0; i < record.tasks.size() && i < stored.size(); ++i) {
        Task& task = record.tasks[i];
        task.durable_attempt = stored[i].attempt;
        task.durable_done = stored[i].done;
        task.write_outcome_unknown = false;
        task.durable_machine = stored[i].machine.empty() ? kNone : find_machine(stored[i].machine);
    }
}

void ClusterState::load_task(TaskRef ref, const TaskRecord& record, Ms now) {
    Task& loaded = task(ref);
    loaded.attempt = record.attempt;
    if (record.done) {
        loaded.phase = TaskPhase::done;
        ++jobs[ref.job].done;
        return;
    }
    if (record.machine.empty()) {
        return;
    }
    Id machine = find_machine(record.machine);
    if (machine == kNone) {
        // The machine is no longer in the registry. It is removed from there only once it is known
        // to have terminated.
        loaded.phase = TaskPhase::pending;
        ++tasks_on_unregistered_machines;
        return;
    }
    assign(ref, machine, record.attempt, now);
    loaded.assigned_by_earlier_leader = true;
}

void ClusterState::load_placement_record(Id job_id, std::uint32_t index, const StoredValue& stored,
                                         Ms now) {
    const JobSpec& spec = jobs[job_id].spec;
    std::vector<TaskRecord> records(placement_record(job_id, index).tasks.size());
    if (!decode_placement_record(stored.value, records,
                                 keys::placement_record(jobs[job_id].spec.id, index))) {
        // Where its tasks run is unknown, so none may be started: every write of the record
        // conflicts with the stored one.
        return;
    }
    for (std::uint32_t i = 0; i < records.size(); ++i) {
        load_task({job_id, index * spec.tasks_per_record + i}, records[i], now);
    }
    commit(job_id, index, records, stored.version);
    dirty.erase({job_id, index});
}

void ClusterState::load_job(const StoredJob& stored_job,
                            const std::map<std::uint32_t, StoredValue>* placement_records, Ms now) {
    Id job_id = add_job(stored_job, now);
    if (!placement_records) {
        return;
    }
    Job& job = jobs[job_id];
    for (const auto& [index, stored] : *placement_records) {
        if (index < job.placement_records.size()) {
            load_placement_record(job_id, index, stored, now);
        }
    }
    // Tasks beyond the last stored record were never assigned.
    if (!placement_records->empty()) {
        std::uint32_t last_record = placement_records->rbegin()->first;
        job.next_unassigned =
            std::min(job.spec.tasks, (last_record + 1) * job.spec.tasks_per_record);
    }
    // All other tasks that are neither done nor assigned are queued to be placed again.
    for (std::uint32_t i = 0; i < job.next_unassigned; ++i) {
        if (task({job_id, i}).phase == TaskPhase::pending) {
            job.retry_queue.push_back(i);
        }
    }
}

}  // namespace walkford
