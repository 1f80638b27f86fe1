// The leader's in-memory model of the cluster: jobs, tasks, machines and the resource usage of
// teams. A task occupies the machine that it was assigned to until it is proven to have left that
// machine; every change of a task's machine goes through assign() and unassign().
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "bookkeeping/job.hpp"
#include "bookkeeping/machine.hpp"
#include "bookkeeping/records.hpp"
#include "bookkeeping/stored_values.hpp"
#include "bookkeeping/task.hpp"

namespace walkford {

// Owns the jobs, the machines and the resource usage of teams. It reads no clock and does no I/O.
// The index of a job is reused after remove_job(); the index of a machine is never reused.
class ClusterState {
  public:
    // `names` must outlive this object; it is shared with the codecs.
    ClusterState(Names& names, std::vector<Team> teams);
    // The time after its arrival within which a job should start. It determines the order of jobs.
    // The leader sets it; the default of 0 orders jobs by arrival.
    std::function<Ms(const JobSpec&)> start_budget = [](const JobSpec&) { return Ms{0}; };

    // Replaces the list of machine types that the cloud offers.
    void set_machine_types(const std::vector<MachineType>& machine_types);
    // The machine types that the cloud offers, in the order of the cloud's list.
    const std::vector<MachineType>& machine_types() const { return machine_types_; }
    // Returns null if the cloud does not offer the machine type, or no longer does.
    const MachineType* machine_type(Id id) const;
    // Returns null if there is no such team.
    const Team* team(Id id) const { return id < teams_.size() ? &teams_[id] : nullptr; }
    // The resources that the team's assigned tasks use. The team must exist.
    const Resources& team_used(Id id) const { return team_usage_.at(id); }

    // Deques, so that references stay valid when elements are appended.
    std::deque<Job> jobs;
    std::deque<Machine> machines;
    Names& names;
    std::vector<JobClassProfile> job_class_profiles;
    // Placement records that may differ from what the store holds.
    std::set<PlacementRecordRef> dirty;
    // The number of loaded tasks whose stored placement names a machine that is not registered.
    std::size_t tasks_on_unregistered_machines = 0;

    // Returns the index of a job, or kNone if the job is unknown.
    Id find_job(const std::string& id) const;
    // Adds a job none of whose tasks is placed. The job must not be known yet.
    Id add_job(const StoredJob& stored_job, Ms now);
    // Unassigns all tasks of the job and releases its index for reuse.
    void remove_job(Id id);
    // Returns the index of a machine, or kNone if it is unknown or has terminated.
    Id find_machine(const std::string& name) const;
    // Adds a machine and returns its index. If a machine of this name exists, returns its index
    // and changes nothing.
    Id add_machine(const std::string& name, Id machine_type, Id zone, bool spot, Ms now);
    // Marks the machine as terminated, after which find_machine() no longer returns it. The caller
    // has unassigned its tasks.
    void forget_machine(Id id);

    // Returns the task. Creates its placement record if there is none yet.
    Task& task(TaskRef ref);
    // Returns the placement record that contains the task. Creates it if there is none yet.
    PlacementRecord& placement_record_of(TaskRef ref);
    // Returns a placement record by its index. Creates it if there is none yet.
    PlacementRecord& placement_record(Id job_id, std::uint32_t index);

    // The number of images that the machine is fetching or is about to fetch.
    int image_fetches_in_progress(const Machine& machine);

    // Assigns the task to the machine as a new attempt. The task must not be assigned already.
    void assign(TaskRef ref, Id machine_id, std::uint32_t attempt, Ms now);
    // Removes the task from its machine. Call this only once the task is proven to have left the
    // machine.
    void unassign(TaskRef ref);
    // Like unassign(), and queues the task to be placed again.
    void requeue(TaskRef ref, Ms now);
    // Unassigns a task that has completed; it is never placed again.
    void mark_done(TaskRef ref);

    // Whether the team's usage stays within its quota with `more` added.
    bool within_quota(Id team, const Resources& more) const;
    // The number of further tasks of size `each` that the team's quota admits.
    std::uint32_t quota_headroom(Id team, const Resources& each) const;
    // Whether the team's usage stays within its guaranteed share with `more` added.
    bool within_guaranteed_share(Id team, const Resources& more) const;

    // Adds a job and its placements as an earlier leader stored them.
    void load_job(const StoredJob& stored_job,
                  const std::map<std::uint32_t, StoredValue>* placement_records, Ms now);
    // Marks the placement record of the task as needing to be written.
    void mark_dirty(TaskRef ref) {
        dirty.insert({ref.job, ref.task / jobs[ref.job].spec.tasks_per_record});
    }
    // The contents of a placement record that should be stored now.
    std::vector<TaskRecord> snapshot(Id job_id, std::uint32_t index) const;
    // Whether the stored placement record is known to agree with the cluster state.
    bool durable(Id job_id, std::uint32_t index) const;
    // Call this before a write of the record is sent. The stored state of the tasks that the write
    // changes is unknown from then until commit().
    void mark_write_started(Id job_id, std::uint32_t index, const std::vector<TaskRecord>& written);
    // Notes that the store holds the record as `stored`.
    void commit(Id job_id, std::uint32_t index, const std::vector<TaskRecord>& stored,
                std::uint64_t version);

    // The number of tasks of the job that fit into the free capacity of such a machine, at most
    // 1000; 0 if the job may not run on such a machine.
    static std::uint32_t slots(const JobSpec& spec, Id machine_type, Id zone, bool spot,
                               const Resources& free);
    // The number of tasks in a placement record of the job.
    std::uint32_t record_size(const JobSpec& spec, std::uint32_t index) const;

  private:
    Id allocate_job();
    void update_job_class_profile(const JobSpec& spec, Ms now);
    void add_team_usage(Id team, const Resources& amount);
    void remove_team_usage(Id team, const Resources& amount);
    void load_placement_record(Id job_id, std::uint32_t index, const StoredValue& stored, Ms now);
    void load_task(TaskRef ref, const TaskRecord& record, Ms now);

    std::vector<MachineType> machine_types_;
    std::vector<Team> teams_;
    std::vector<Resources> team_usage_;  // by team index
    std::unordered_map<std::string, Id> job_ids_;
    std::vector<Id> free_job_indices_;  // available for reuse
    std::unordered_map<std::string, Id> machine_ids_;
};

}  // namespace walkford
