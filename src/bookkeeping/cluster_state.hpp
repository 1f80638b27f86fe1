// The leader's state of the cluster: jobs, tasks, machines and team usage. A task is counted where
// it was placed until it is proven gone from there; every change of place goes through place() and
// release().
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include "bookkeeping/records.hpp"
#include "bookkeeping/stored_values.hpp"

namespace walkford {

enum class TaskPhase : std::uint8_t {
    pending,       // nowhere
    assigned,      // on a machine in the cluster state; `run` not sent under this leader
    dispatched,    // `run` went out in an answer; not yet reported
    acknowledged,  // reported by the worker
    exited,        // reported as ended; not on the machine any more
    done,
};

enum class TaskState : std::uint8_t { pulling, waiting, running, saving, exited, unknown };

struct Task {
    std::uint32_t attempt = 0;
    std::uint32_t durable_attempt = 0;  // c_: as it stands in the durable record
    Id machine = kNone;
    Id durable_machine = kNone;
    TaskPhase phase = TaskPhase::pending;
    TaskState state = TaskState::unknown;
    bool durable_done = false;
    // A write that says something else of it was sent and is not known to have failed: what stands
    // in the record is not known until a later one is answered.
    bool write_outcome_unknown = false;
    bool inherited = false;  // placed by an earlier leader, not yet reported to this one
    bool stopping = false;
    bool rerun = false;  // ended for want of its mates: cleared and run again where it is
    bool failure_not_counted = false;  // stopped for the fleet's sake: no blame on job or machine
    float stop_grace = 0;
    std::uint64_t dispatch_sequence = 0;  // the heartbeat whose answer carried `run`
    std::uint64_t dispatch_incarnation = 0;
    Ms since = 0;  // when the phase began
    Ms running_since = -1;
    Ms stop_sent_at = -1;

    bool durable_here() const {
        return machine != kNone && durable_machine == machine && durable_attempt == attempt &&
               !durable_done && !write_outcome_unknown;
    }
};

struct PlacementRecord {
    std::vector<Task> tasks;
    std::uint64_t version = 0;
    bool in_flight = false;
    Ms retry_at = 0;
};

struct Job {
    JobSpec spec;
    std::uint64_t version = 0;
    std::uint64_t created_version = 0;
    Ms known_since = 0;
    Ms start_deadline = 0;  // when its class's aim, or its deadline, wants it started
    bool cancelled = false;
    bool alive = true;    // false: this slot of the table is free
    bool ending = false;  // the final record is being written
    Ms retry_at = 0;
    std::vector<std::unique_ptr<PlacementRecord>> placement_records;  // made when first needed
    std::uint32_t next_unassigned = 0;
    std::deque<std::uint32_t> retry_queue;  // tasks to be placed once more
    std::uint32_t done = 0;
    std::uint32_t assigned = 0;         // counted on machines
    std::map<Id, std::uint32_t> zones;  // placed tasks by zone
    // A job that fails everywhere was submitted with a mistake: it waits longer and longer.
    std::set<Id> failed_on;
    std::set<Id>
        exonerated_machines;  // machines it failed on that completed work of other jobs since
    std::uint32_t failures = 0;
    Ms ran_well_until = -1000000000;  // service: a replica that had run for a while was last seen
    Ms not_before = 0;
    int aged_priority = 0;  // the priority it has risen to by waiting
    Ms waiting_since = 0;
    Id interrupted_in = kNone;  // the zone in which a task of it was last lost or stopped ...
    Ms interrupted_at = -1;     // ... and when
    Ms reserve_at = -1;         // gang: when room for it is next planned ...
    bool reserving = false;     // ... and whether machines are kept for it
    Ms replace_by = -1;         // gang: members lost before it began are to be replaced until then

    // Its priority, or what it has risen to by waiting.
    int effective_priority() const {
        return std::max(static_cast<int>(spec.priority), aged_priority);
    }
    std::uint32_t waiting() const {
        return spec.tasks - next_unassigned + static_cast<std::uint32_t>(retry_queue.size());
    }
};

struct TaskRef {
    Id job = kNone;
    std::uint32_t task = 0;
    auto operator<=>(const TaskRef&) const = default;
};

struct ReportedTask {
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskState state = TaskState::unknown;
    std::string cause;
    bool progress_saved = false;
};

enum class CloudMachineState : std::uint8_t { unlisted, booting, running, failed };

// What the cloud's list says of a machine. Times are -1 until it has been listed.
struct CloudListing {
    CloudMachineState state = CloudMachineState::unlisted;
    Ms last_listed = -1;
    Ms listed_since = -1;
};

// What the worker on a machine has told this leader, and the state of its lease.
struct WorkerState {
    bool reported = false;            // to this leader
    bool fencing_token_seen = false;  // it has seen our token: no older leader is obeyed
    Ms fencing_token_seen_at = -1;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;  // of its last heartbeat, within the incarnation
    Ms last_heartbeat = -1;
    Ms lease_renewed_at = -1;           // when we last answered 200: its lease may count from there
    bool lease_expired = false;         // surely, and not heard of since
    std::uint64_t min_incarnation = 0;  // earlier ones ended when the lease expired
    Ms reclaim_at = -1;                 // spot: when the cloud takes the machine, by our clock
    Ms probe_at = 0;                    // when it is next asked directly
    bool probe_open = false;            // ... and whether an answer to that is awaited
};

// Whether the worker acknowledges our answers: its later heartbeats show what became of them.
// Heartbeats may arrive where answers don't (a one-way partition).
struct Acknowledgement {
    std::uint64_t answered_incarnation = 0;  // the last heartbeat answered 200 ...
    std::uint64_t answered_sequence = 0;
    // ... and the first one: from then on it should show our fencing token.
    std::uint64_t token_announced_sequence = 0;
    std::uint32_t missed_answers = 0;  // in a row
    Ms missed_since = -1;
};

// Failures of tasks that speak against the machine rather than against the job.
struct MachineHealth {
    std::set<Id> failing_jobs;                     // failed here since the last success ...
    std::uint32_t failed_jobs_done_elsewhere = 0;  // ... and have ended well elsewhere since
    Ms last_failure = -1;
    bool quarantined = false;
    Ms backoff_until = 0;

    std::size_t failures() const { return failing_jobs.size() + failed_jobs_done_elsewhere; }
};

// Room that is being made on a machine for one job.
struct MachineReservation {
    Id job = kNone;    // kNone: not reserved
    Ms until = -1;     // no other job may take the room until then ...
    Ms ready_at = -1;  // ... unless it is surely done before the room is complete
};

struct Machine {
    std::string name;
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    std::string address;
    bool registered = false;            // stands in the registry ...
    bool registration_durable = false;  // ... durably: a leader to come knows of it
    bool permanent = false;
    bool releasing = false;  // marked before the cloud is asked; never used again
    bool terminated = false;
    Ms known_since = 0;
    Ms requested_at = 0;                    // by our clock, as well as it is known
    bool requested_by_this_leader = false;  // no older leader can have given it work
    Resources used;
    std::set<TaskRef> tasks;
    std::map<Id, Ms> images;  // fetched for a task of ours -> last use
    Ms idle_since = 0;
    CloudListing listing;
    WorkerState worker;
    Acknowledgement acknowledgement;
    MachineHealth health;
    MachineReservation reservation;
};

// What jobs of a class look like, by the latest one seen.
struct JobClassProfile {
    Id job_class = kNone;
    JobSpec spec;
    Ms seen = 0;
};

class ClusterState {
  public:
    ClusterState(Names& names, std::vector<Team> teams);
    // How long after its arrival a job is to start; an input of the order in which jobs are served.
    std::function<Ms(const JobSpec&)> start_budget = [](const JobSpec&) { return Ms{0}; };

    void set_machine_types(const std::vector<MachineType>& machine_types);
    const std::vector<MachineType>& machine_types() const { return machine_types_; }
    const MachineType* machine_type(Id id) const;
    const Team* team(Id id) const { return id < teams_.size() ? &teams_[id] : nullptr; }
    const Resources& team_used(Id id) const { return used_.at(id); }

    // Deques: a reference stays good while others are added.
    std::deque<Job> jobs;
    std::deque<Machine> machines;
    Names& names;
    std::vector<JobClassProfile> job_class_profiles;
    std::set<std::pair<Id, std::uint32_t>> dirty;  // chunks that differ from the durable record

    Id find_job(const std::string& id) const;
    Id add_job(const StoredJob& stored_job, Ms now);
    void remove_job(Id id);
    Id find_machine(const std::string& name) const;
    Id add_machine(const std::string& name, Id machine_type, Id zone, bool spot, Ms now);
    void forget_machine(Id id);

    Task& task(TaskRef ref);
    PlacementRecord& placement_record_of(TaskRef ref);
    PlacementRecord& placement_record(Id job, std::uint32_t index);

    // How many images the machine fetches, or is about to.
    int image_fetches_in_progress(const Machine& machine);

    // The task is on the machine from now on, in the cluster state; the attempt rises.
    void assign(TaskRef ref, Id machine, std::uint32_t attempt, Ms now);
    // The task is proven not to be on its machine any more.
    void unassign(TaskRef ref);
    // ... and is to be placed again.
    void requeue(TaskRef ref, Ms now);
    void mark_done(TaskRef ref);

    bool within_quota(Id team, const Resources& more) const;
    // How many more tasks of this size the team's limit admits.
    std::uint32_t quota_headroom(Id team, const Resources& each) const;
    // What the team is using lies within its guarantee, with `more` added.
    bool within_guaranteed_share(Id team, const Resources& more) const;

    // Adopts what an earlier leader wrote.
    void load_job(const StoredJob& stored_job,
                  const std::map<std::uint32_t, StoredValue>* placement_records, Ms now);
    void mark_dirty(TaskRef ref) {
        dirty.insert({ref.job, ref.task / jobs[ref.job].spec.tasks_per_record});
    }
    std::vector<TaskRecord> snapshot(Id job, std::uint32_t record) const;
    // Does the durable record say what the cluster state says?
    bool durable(Id job, std::uint32_t record) const;
    // The record is about to be written: what it changes is in doubt until a commit.
    void mark_write_started(Id job, std::uint32_t index, const std::vector<TaskRecord>& written);
    void commit(Id job, std::uint32_t record, const std::vector<TaskRecord>& stored,
                std::uint64_t version);

    // How many tasks like this fit into free room on such a machine; 0 where the job isn't allowed.
    static std::uint32_t slots(const JobSpec& spec, Id machine_type, Id zone, bool spot,
                               const Resources& free);
    std::uint32_t record_size(const JobSpec& spec, std::uint32_t index) const;

  private:
    std::vector<MachineType> machine_types_;
    std::vector<Team> teams_;
    std::vector<Resources> used_;
    std::unordered_map<std::string, Id> job_ids_;
    std::vector<Id> free_jobs_;
    std::unordered_map<std::string, Id> machine_ids_;
};

}  // namespace walkford
