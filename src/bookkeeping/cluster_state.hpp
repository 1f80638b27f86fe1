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
#include "bookkeeping/view.hpp"

namespace walkford {

enum class Phase : std::uint8_t {
    idle,    // nowhere
    placed,  // on a machine in the cluster state; `run` not sent under this leader
    sent,    // `run` went out in an answer; not yet reported
    seen,    // reported by the worker
    exited,  // reported as ended; not on the machine any more
    done,
};

enum class TaskState : std::uint8_t { pulling, waiting, running, saving, exited, unknown };

struct Task {
    std::uint32_t attempt = 0;
    std::uint32_t c_attempt = 0;  // c_: as it stands in the durable record
    Id machine = kNone;
    Id c_machine = kNone;
    Phase phase = Phase::idle;
    TaskState state = TaskState::unknown;
    bool c_done = false;
    // A write that says something else of it was sent and is not known to have failed: what stands
    // in the record is not known until a later one is answered.
    bool c_doubt = false;
    bool inherited = false;  // placed by an earlier leader, not yet reported to this one
    bool halting = false;
    bool rerun = false;    // ended for want of its mates: cleared and run again where it is
    bool excused = false;  // stopped for the fleet's sake: no blame on job or machine
    float halt_grace = 0;
    std::uint64_t sent_tick = 0;  // the heartbeat whose answer carried `run`
    std::uint64_t sent_session = 0;
    Ms since = 0;  // when the phase began
    Ms running_since = -1;
    Ms halt_told = -1;

    bool durable_here() const {
        return machine != kNone && c_machine == machine && c_attempt == attempt && !c_done &&
               !c_doubt;
    }
};

struct Chunk {
    std::vector<Task> tasks;
    std::uint64_t stamp = 0;
    bool in_flight = false;
    Ms retry_at = 0;
};

struct Job {
    JobSpec spec;
    std::uint64_t stamp = 0;
    std::uint64_t born = 0;
    Ms known_since = 0;
    Ms start_by = 0;  // when its class's aim, or its deadline, wants it started
    bool cancelled = false;
    bool alive = true;    // false: this slot of the table is free
    bool ending = false;  // the final record is being written
    Ms retry_at = 0;
    std::vector<std::unique_ptr<Chunk>> chunks;  // made when first needed
    std::uint32_t next_fresh = 0;
    std::deque<std::uint32_t> again;  // tasks to be placed once more
    std::uint32_t done = 0;
    std::uint32_t placed = 0;           // counted on machines
    std::map<Id, std::uint32_t> zones;  // placed tasks by zone
    // A job that fails everywhere was submitted with a mistake: it waits longer and longer.
    std::set<Id> failed_on;
    std::set<Id> refuted;  // machines it failed on that completed work of other jobs since
    std::uint32_t failures = 0;
    Ms ran_well_until = -1000000000;  // service: a replica that had run for a while was last seen
    Ms not_before = 0;
    int rank = 0;  // the priority it has risen to by waiting
    Ms waiting_since = 0;
    Id interrupted_in = kNone;  // the zone in which a task of it was last lost or stopped ...
    Ms interrupted_at = -1;     // ... and when
    Ms gather_at = -1;          // gang: when room for it is next planned ...
    bool gathering = false;     // ... and whether machines are kept for it
    Ms replace_by = -1;         // gang: members lost before it began are to be replaced until then

    // Its priority, or what it has risen to by waiting.
    int effective_priority() const { return std::max(static_cast<int>(spec.priority), rank); }
    std::uint32_t waiting() const {
        return spec.tasks - next_fresh + static_cast<std::uint32_t>(again.size());
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
    bool kept = false;
};

enum class CloudStatus : std::uint8_t { unlisted, booting, running, failed };

struct Machine {
    std::string name;
    Id kind = kNone;
    Id zone = kNone;
    bool spot = false;
    std::string address;
    bool held = false;       // stands in the registry ...
    bool confirmed = false;  // ... durably: a leader to come knows of it, and of what runs on it
    bool permanent = false;
    bool returning = false;  // marked before the cloud is asked; never used again
    bool gone = false;
    Ms known_since = 0;
    Ms rented_at = 0;  // by our clock, as well as it is known
    CloudStatus cloud = CloudStatus::unlisted;
    Ms last_listed = -1;
    Ms listed_since = -1;
    // What its worker told.
    bool reported = false;    // to this leader
    bool token_seen = false;  // its worker has seen our token: no older leader is obeyed
    Ms token_seen_at = -1;
    std::uint64_t session = 0;
    std::uint64_t tick = 0;
    // Answers that its later reports show it never took in. Reports may arrive where answers don't.
    std::uint64_t answered_session = 0;  // the last heartbeat answered 200 ...
    std::uint64_t answered_tick = 0;
    std::uint64_t told_token_tick =
        0;                      // ... and the first one: from then on it should show our token
    std::uint32_t unheard = 0;  // in a row
    Ms deaf_since = -1;
    bool rented_now = false;  // by this leader: no older one can have given it work
    Ms last_heartbeat = -1;
    Ms last_ok = -1;                // when we last answered 200: its lease may count from there
    bool lost = false;              // lease surely over and not heard of since
    std::uint64_t min_session = 0;  // reports of earlier sessions come from before it was lost
    Ms notice_until = -1;           // spot: when the cloud takes it, by our clock
    // What we make of it.
    Amounts used;
    std::set<TaskRef> tasks;
    std::map<Id, Ms> images;       // fetched for a task of ours -> last use
    std::set<Id> error_jobs;       // jobs that failed here since the last success ...
    std::uint32_t error_done = 0;  // ... and have ended well elsewhere since
    std::size_t errors() const { return error_jobs.size() + error_done; }
    Ms last_error = -1;
    bool sick = false;
    Ms avoid_until = 0;
    Id kept_for = kNone;  // room is being made here for this job ...
    Ms kept_until = -1;   // ... and no other may take it until then ...
    Ms kept_ready = -1;   // ... unless it is surely done before the room is complete
    Ms idle_since = 0;
    Ms probe_at = 0;
    bool probing = false;
};

// What jobs of a class look like, by the latest one seen.
struct Shape {
    Id lane = kNone;
    JobSpec spec;
    Ms seen = 0;
};

class ClusterState {
  public:
    ClusterState(Names& names, std::vector<Team> teams);
    // How long after its arrival a job is to start; an input of the order in which jobs are served.
    std::function<Ms(const JobSpec&)> start_budget = [](const JobSpec&) { return Ms{0}; };

    void set_kinds(const std::vector<Kind>& kinds);
    const std::vector<Kind>& kinds() const { return kinds_; }
    const Kind* kind(Id id) const;
    const Team* team(Id id) const { return id < teams_.size() ? &teams_[id] : nullptr; }
    const Amounts& team_used(Id id) const { return used_.at(id); }

    // Deques: a reference stays good while others are added.
    std::deque<Job> jobs;
    std::deque<Machine> machines;
    Names& names;
    std::vector<Shape> shapes;
    std::set<std::pair<Id, std::uint32_t>> dirty;  // chunks that differ from the durable record

    Id find_job(const std::string& id) const;
    Id add_job(const JobView& view, Ms now);
    void remove_job(Id id);
    Id find_machine(const std::string& name) const;
    Id add_machine(const std::string& name, Id kind, Id zone, bool spot, Ms now);
    void forget_machine(Id id);

    Task& task(TaskRef ref);
    Chunk& chunk_of(TaskRef ref);
    Chunk& chunk(Id job, std::uint32_t index);

    // How many images the machine fetches, or is about to.
    int images_on_their_way(const Machine& machine);

    // The task is on the machine from now on, in the cluster state; the attempt rises.
    void place(TaskRef ref, Id machine, std::uint32_t attempt, Ms now);
    // The task is proven not to be on its machine any more.
    void unseat(TaskRef ref);
    // ... and is to be placed again.
    void requeue(TaskRef ref, Ms now);
    void mark_done(TaskRef ref);

    bool within_limit(Id team, const Amounts& more) const;
    // How many more tasks of this size the team's limit admits.
    std::uint32_t limit_room(Id team, const Amounts& each) const;
    // What the team is using lies within its guarantee, with `more` added.
    bool within_guarantee(Id team, const Amounts& more) const;

    // Adopts what an earlier leader wrote.
    void load_job(const JobView& view, const std::map<std::uint32_t, StoredValue>* chunks, Ms now);
    void touch(TaskRef ref) { dirty.insert({ref.job, ref.task / jobs[ref.job].spec.chunk}); }
    std::vector<TaskRecord> snapshot(Id job, std::uint32_t chunk) const;
    // Does the durable record say what the cluster state says?
    bool durable(Id job, std::uint32_t chunk) const;
    // The record is about to be written: what it changes is in doubt until a commit.
    void doubt(Id job, std::uint32_t index, const std::vector<TaskRecord>& written);
    void commit(Id job, std::uint32_t chunk, const std::vector<TaskRecord>& stored,
                std::uint64_t stamp);

    // How many tasks like this fit into free room on such a machine; 0 where the job isn't allowed.
    static std::uint32_t slots(const JobSpec& spec, Id kind, Id zone, bool spot,
                               const Amounts& free);
    std::uint32_t chunk_size(const JobSpec& spec, std::uint32_t index) const;

  private:
    std::vector<Kind> kinds_;
    std::vector<Team> teams_;
    std::vector<Amounts> used_;
    std::unordered_map<std::string, Id> job_ids_;
    std::vector<Id> free_jobs_;
    std::unordered_map<std::string, Id> machine_ids_;
};

}  // namespace walkford
