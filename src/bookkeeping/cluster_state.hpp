// The leader's state of the cluster: jobs, tasks, machines and the usage of teams. A task is
// counted on the machine it was assigned to until it is proven to have left it; every change of
// machine goes through assign() and unassign().
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

// Owns jobs, machines and the usage of teams. Pure bookkeeping: it knows no clock, and sends
// nothing. Indices of jobs are used again after remove_job(); those of machines never are.
class ClusterState {
  public:
    // `names` must outlive this object; it is shared with the codecs.
    ClusterState(Names& names, std::vector<Team> teams);
    // How long after its arrival a job is to start, which orders the jobs. Set by the leader;
    // without it, jobs are ordered by age.
    std::function<Ms(const JobSpec&)> start_budget = [](const JobSpec&) { return Ms{0}; };

    // The machine types that the cloud offers; replaces the earlier ones.
    void set_machine_types(const std::vector<MachineType>& machine_types);
    // The machine types that the cloud offers, in its order.
    const std::vector<MachineType>& machine_types() const { return machine_types_; }
    // Null where the cloud doesn't offer the type (any more).
    const MachineType* machine_type(Id id) const;
    // Null where there is no such team.
    const Team* team(Id id) const { return id < teams_.size() ? &teams_[id] : nullptr; }
    // What the team's assigned tasks use. The team must exist.
    const Resources& team_used(Id id) const { return used_.at(id); }

    // Deques: a reference stays good while others are added.
    std::deque<Job> jobs;
    std::deque<Machine> machines;
    Names& names;
    std::vector<JobClassProfile> job_class_profiles;
    // Placement records that may differ from the durable ones.
    std::set<PlacementRecordRef> dirty;

    // The index of a job; kNone where it is unknown.
    Id find_job(const std::string& id) const;
    // Adds a job without any placement. It must be unknown so far.
    Id add_job(const StoredJob& stored_job, Ms now);
    // Unassigns all tasks of the job and frees its index.
    void remove_job(Id id);
    // The index of a machine; kNone where it is unknown or has terminated.
    Id find_machine(const std::string& name) const;
    // Adds a machine, or gives the index of the one that has this name already.
    Id add_machine(const std::string& name, Id machine_type, Id zone, bool spot, Ms now);
    // The machine has terminated: it is found no more. Its tasks have been unassigned before.
    void forget_machine(Id id);

    // The task; its placement record is made where it is missing.
    Task& task(TaskRef ref);
    // The placement record that has the task; made where it is missing.
    PlacementRecord& placement_record_of(TaskRef ref);
    // A placement record by index; made where it is missing.
    PlacementRecord& placement_record(Id job_id, std::uint32_t index);

    // How many images the machine fetches, or is about to.
    int image_fetches_in_progress(const Machine& machine);

    // Counts the task on the machine from now on, as a new attempt. It must be on no machine.
    void assign(TaskRef ref, Id machine_id, std::uint32_t attempt, Ms now);
    // Counts the task on no machine any more. Only once it is proven to have left its machine.
    void unassign(TaskRef ref);
    // The same, and the task is to be placed again.
    void requeue(TaskRef ref, Ms now);
    // The task has completed: it is unassigned and never placed again.
    void mark_done(TaskRef ref);

    // Whether the team's quota admits `more`.
    bool within_quota(Id team, const Resources& more) const;
    // How many more tasks of this size the team's quota admits.
    std::uint32_t quota_headroom(Id team, const Resources& each) const;
    // Whether the team's usage lies within its guaranteed share with `more` added.
    bool within_guaranteed_share(Id team, const Resources& more) const;

    // Adopts a job and its placements as an earlier leader wrote them.
    void load_job(const StoredJob& stored_job,
                  const std::map<std::uint32_t, StoredValue>* placement_records, Ms now);
    // The placement record of the task is to be written.
    void mark_dirty(TaskRef ref) {
        dirty.insert({ref.job, ref.task / jobs[ref.job].spec.tasks_per_record});
    }
    // A placement record as it should be stored now.
    std::vector<TaskRecord> snapshot(Id job_id, std::uint32_t index) const;
    // Whether the durable placement record surely says what the cluster state says.
    bool durable(Id job_id, std::uint32_t index) const;
    // The record is about to be written: the durable state of the tasks that it changes is unknown
    // until commit().
    void mark_write_started(Id job_id, std::uint32_t index, const std::vector<TaskRecord>& written);
    // The record stands durably as `stored`.
    void commit(Id job_id, std::uint32_t index, const std::vector<TaskRecord>& stored,
                std::uint64_t version);

    // How many tasks of the job fit into the free capacity of such a machine, at most 1000; 0 where
    // the job may not run there.
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
    std::vector<Resources> used_;  // by team
    std::unordered_map<std::string, Id> job_ids_;
    std::vector<Id> free_jobs_;  // indices to be used again
    std::unordered_map<std::string, Id> machine_ids_;
};

}  // namespace walkford
