// Simulates the store, the cloud, workers, users and the network between them in one process on
// simulated time. The simulation is implemented from the protocol documentation alone. It drives
// several controllers and checks invariants against its own records; it never reads the cluster
// state inside a controller.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/controller/controller.hpp"
#include "standin/faults.hpp"
#include "standin/key_value_store.hpp"

namespace walkford::standin {

// A temporary zone outage: no message reaches or leaves the machines and controllers of the zone.
struct ZoneLoss {
    Ms at = 0;
    Ms span = 0;
    std::string zone = {};
    double share = 1;         // fraction of machines lost; controllers are lost only with 1
    bool cold = false;        // machines are terminated and controllers restart
    bool scales_out = false;  // the cloud accepts requests, but machines boot after the loss
    bool controllers = true;
};

// A group of identical jobs that users submit at nearly the same time.
struct PlannedWork {
    Ms at = 0;
    std::string job_class = {};
    int jobs = 1;
    std::uint32_t tasks = 1;
    double cpus = 4;
    Ms run_ms = 20000;
    JobShape shape = JobShape::array;
    Priority priority = Priority::normal;
    std::string zone = {};  // the only allowed zone; empty allows any
    bool spread = false;
    bool one_zone = false;
    Ms cancel_at = -1;
};

// A lifecycle event of one task attempt on a machine.
struct TaskEvent {
    enum class EventType : std::uint8_t { ordered, began, ended };
    Ms at = 0;
    EventType what = EventType::began;
    std::string job, job_class;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    std::string zone, machine;
};

// The start of an image fetch, with the number of fetches in progress including this one.
struct FetchEvent {
    Ms at = 0;
    std::string zone;
    int in_zone = 0;
    int on_machine = 0;
};

// Late copies of messages that were carried out and answered before, and machines that are back
// within a second. Copies arrive only where the protocol's pages allow it, unless a test changes a
// limit to show that the checks see what follows.
struct MessageCopies {
    double reports = 0;    // share of the heartbeats of which a copy arrives up to 45 s later
    double responses = 0;  // share of the responses to heartbeats of which a copy arrives
    // How long after its heartbeat a worker still accepts a response.
    Ms response_valid_ms = 4000;
    double commands = 0;        // share of the direct commands that are carried out again later
    double refused_starts = 0;  // share of the `run` commands that are refused as `no_room`
    // Mean time between two restarts of a machine whose counters start anew; 0: none.
    Ms machine_restart_interval = 0;
};

struct Options {
    std::uint64_t seed = 1;
    Ms duration = 150000;
    std::size_t controllers = 3;
    int jobs = 24;
    bool faults = true;
    Ms max_run_duration = 20000;
    // Time of a partition of 100 s: only the leader can reach the workers, and it can reach nothing
    // else. -1 disables it.
    Ms leader_isolated_at = -1;
    // Start and duration of a store outage during which all controllers keep running; -1 disables
    // it.
    Ms outage_at = -1;
    Ms outage_duration = 0;
    // From this time the store refuses only the leader, and users cancel their jobs. As soon as
    // another controller confirms the cancellation of a running job, the store is unavailable to
    // everyone for longer than cancel_s. Workers can reach the leader throughout. -1 disables it.
    Ms cancellation_gap_at = -1;
    // Whether the other controllers restart during that outage.
    bool gap_restarts_followers = false;
    // The faults to inject; empty allows all of them.
    std::vector<Fault> only;
    // Time without faults after the last one. At its end every job must have been served and every
    // status request answered (rules not_served and forgotten). 0 disables these checks.
    Ms recovery_period = 0;
    double unacknowledged_release_s = 12;
    // Number of services that users submit; submission starts after the rollout, if there is one.
    int services = 0;
    // All controllers start with the old version and are upgraded one by one from this time; -1
    // disables the rollout.
    Ms rollout_at = -1;
    bool one_controller_stays_old = false;  // one controller is left out of the rollout
    // From this time the store enforces lower limits. The settings announce them from the start.
    // -1 disables the change.
    Ms limits_lowered_at = -1;
    std::vector<std::string> zones{"a", "b"};
    std::vector<ZoneLoss> zone_losses = {};
    std::vector<PlannedWork> work = {};
    std::vector<Ms> leader_restarts_at = {};
    int cloud_machines_per_option = 4;  // per machine type, zone and purchase option (spot or not)
    ZoneFailoverSettings zone_failover = {};
    // Initial contents of the store.
    std::map<std::string, Json> stored = {};
    MessageCopies copies = {};
    // Called with the outputs of each controller step; may be empty.
    std::function<void(Ms now, std::size_t controller, const Outputs&)> on_outputs = {};
    // Mutations: each removes one safeguard, and the checks must then report a violation.
    bool drop_transaction_conditions = false;  // removes the comparisons from all transactions
    bool hide_relay_records = false;           // removes relay records from store replies
    double configured_lease_s =
        0;  // worker lease in the controllers' settings, if not the real one
    double configured_cancel_s = 0;    // cancel_s in the controllers' settings, if not the real one
    double configured_quota_cpus = 0;  // CPU quota of the first team in the controllers' settings
};

class World {
  public:
    explicit World(Options options);
    ~World();
    void run();

    const KeyValueStore& state() const { return *state_; }

    std::vector<std::string> violations;
    std::vector<TaskEvent> history;
    std::vector<FetchEvent> fetches;
    std::vector<std::pair<Ms, std::string>>
        scale_out_requests;  // time and zone of each requested machine
    int started = 0;
    int jobs_done = 0;
    int elections = 0;
    int accepted = 0;
    int machines_not_receiving = 0;
    int expired_leases_with_tasks = 0;  // worker sessions whose lease expired while they had tasks
    int duplicate_heartbeats = 0;
    int cancelled_in_gap = 0;  // running jobs whose cancellation was confirmed in the gap
    int restarted_in_gap = 0;  // controllers restarted in the outage after the gap
    // Counts of fault combinations that occurred, so that tests can check their coverage.
    int writes_applied_late = 0;     // unanswered transactions that were applied late
    int cancelled_running = 0;       // cancellations confirmed while a task was on a machine
    int cancelled_at_end = 0;        // jobs cancelled around the time one of their tasks ends
    int undelivered_heartbeats = 0;  // heartbeats dropped by the machines_mute fault
    int write_replies_lost = 0;      // transactions applied whose reply was lost
    int close_looks = 0;             // polls sent to every controller right after a response
    int commands_applied_late = 0;   // direct commands executed late
    int heartbeats_replayed_to_leader = 0;  // recorded heartbeats delivered when a leader starts
    int cancelled_in_handover = 0;          // running jobs cancelled around a leader change
    int fast_boots = 0;                     // machines requested with a boot time of at most 2 s
    int small_jobs = 0;                     // accepted jobs of a flood
    int zone_bound_machines_lost = 0;       // machines lost while running a zone-bound task
    int starts_after_cancel = 0;            // task starts after a confirmed cancellation
    int refused_jobs = 0;                   // submissions rejected because they can never run
    int relayed = 0;                        // heartbeats answered by a follower
    int upgraded = 0;                       // controllers upgraded
    int replica_restarts = 0;               // service replicas started again
    int services_accepted = 0;
    int services_refused = 0;  // 503 responses while a controller has the old version
    // `run` commands in responses to heartbeats, by how they reach the worker.
    int runs_sent = 0;                    // every one
    int runs_deferred = 0;                // in a response that was deferred
    int runs_repeated = 0;                // of the same attempt, by the same leader
    int runs_after_clear = 0;             // after a `clear` of the same attempt
    int runs_by_next_leader = 0;          // of an attempt that an earlier leader had commanded
    int direct_commands = 0;              // direct commands that were carried out
    int responses_copied = 0;             // copies of responses with a `run` that a worker accepted
    int commands_copied = 0;              // copies of direct commands that a worker carried out
    int machines_restarted = 0;           // machines that were back with counters that start anew
    std::size_t largest_input_batch = 0;  // most inputs handled in one event loop iteration

  private:
    friend class FaultInjector;
    struct Cloud;
    struct Worker;
    struct Job;
    struct Host;
    struct Running;

    void schedule(Ms when, std::function<void()> what);
    std::int64_t random_integer(std::int64_t least, std::int64_t most);
    bool chance(double p);
    // Arrival time of a message sent now; -1 if it is lost.
    Ms arrival_time(const std::string& from, const std::string& to);
    template <typename R>
    void call(const std::string& from, const std::string& to, Ms timeout, R none,
              std::function<void(std::function<void(R)>)> execute, std::function<void(R)> done);

    void report_violation(const std::string& rule, const std::string& what);
    void start_controller(std::size_t i);
    void crash_controller(std::size_t i);
    void enqueue_input(std::size_t i, const Input& input);
    void run_iteration(std::size_t i);
    void deliver_output(std::size_t i, Output& output);
    // Delivers an output of controller `i`.
    void send(std::size_t i, const UserResponse& answer);
    void send(std::size_t i, const HeartbeatResponse& answer);
    void send(std::size_t i, const StoreRequest& sent);
    void send(std::size_t i, const CloudRequest& request);
    void send(std::size_t i, const WorkerRequest& request);
    void send(std::size_t i, const OutgoingPeerHeartbeat& message);
    void send(std::size_t i, const WakeAt& wake);
    // Returns a callback that delivers a reply to controller `i`, unless its process has ended.
    std::function<void(const Input&)> reply_to(std::size_t i);
    void wait_for_store_changes(const std::string& controller, const StoreRequest& call, Ms until,
                                const std::function<void(StoreResponse)>& respond);
    void list_machine_types(Names& names, CloudResponse& reply) const;
    void request_machines(const CloudRequest& request, CloudResponse& reply);
    void list_machines(const std::string& after, CloudResponse& reply);
    std::optional<WorkerResponse> execute_worker_request(const WorkerRequest& request);
    void plan_faults();
    void plan_zone_losses();
    void lose_zone(const ZoneLoss& loss);
    Ms zone_unreachable_until(const std::string& zone) const;
    void plan_work();
    void record_task_event(const Worker& worker, const Running& task, TaskEvent::EventType what);
    void begin_fetch(Worker& worker, const std::string& image);
    static void end_fetch(Worker& worker, const std::string& image);
    static void forget_images(Worker& worker);
    void isolate_leader();
    void start_cancellation_gap();
    void start_gap_outage();
    void restart_controller(std::size_t i, Ms least, Ms most);
    std::size_t leader_or(std::size_t otherwise) const;
    void cancel_running(std::size_t most, Ms span);
    std::vector<std::string> machines_running_job(const std::string& job) const;
    void submit_impossible();
    void submit_small_job();
    void send_immediate_follow_ups(const std::string& id);
    void deliver_replayed_reports();
    bool runs_zone_bound_task(const std::string& machine) const;
    void check_waiting_jobs();
    bool waits_despite_room(const Job& job) const;
    void cut_link(const std::string& a, const std::string& b, Ms span, bool hold,
                  bool one_way = false);
    void reboot(const std::string& machine);
    void check_all_jobs_served();

    // workers
    void add_machine(const std::string& name, Id machine_type, const std::string& zone, bool spot,
                     Ms up_at);
    void kill_machine(const std::string& name);
    void heartbeat(const std::string& name);
    void deliver_heartbeat(std::size_t to, const WorkerStatus& status,
                           std::function<void(HeartbeatResponse)> respond);
    void maybe_duplicate_heartbeat(std::size_t controller, const WorkerStatus& status);
    // A heartbeat that a worker has sent.
    struct SentReport {
        std::string machine;
        Ms sent = 0;
        std::uint64_t session = 0;  // of the worker
        std::uint64_t process = 0;  // of the worker
        std::size_t controller = 0;
    };
    void handle_heartbeat_response(const SentReport& report, const HeartbeatResponse& response);
    void maybe_copy_response(const SentReport& report, const HeartbeatResponse& response);
    void maybe_copy_command(const WorkerRequest& request);
    void record_runs(std::size_t controller, const HeartbeatResponse& response);
    void plan_machine_restarts();
    void restart_with_new_counters(const std::string& machine);
    WorkerStatus worker_status(Worker& worker);
    void execute(Worker& worker, const WorkerCommand& command);
    void execute_run(Worker& worker, const WorkerCommand& command);
    void execute_stop(Worker& worker, const WorkerCommand& command);
    void hasten_heartbeat(Worker& worker);
    // A phase of an attempt on a machine, to which a later event refers.
    struct TaskPhase {
        std::string machine;
        std::uint64_t session = 0;                                  // of the worker
        std::tuple<std::string, std::uint32_t, std::uint32_t> key;  // job, task and attempt
        std::uint64_t version = 0;
    };
    // Returns the attempt, or null if the phase is over.
    Running* find_task(const TaskPhase& phase);
    void image_ready(const std::string& machine, const std::string& job, std::uint32_t task,
                     std::uint32_t attempt);
    void begin(Worker& worker, Running& running_task);
    void end(Worker& worker, Running& running_task, const std::string& cause, bool progress_saved);
    void end_remaining_gang_members(const std::string& job, std::uint32_t attempt);
    void check_start(const Worker& worker, const Running& running_task);
    void run_periodic_checks();

    // users
    void plan_users();
    void plan_services();
    void plan_rollout();
    void plan_lower_limits();
    std::uint32_t feature_level(std::size_t i) const;
    const std::string& zone_of_controller(std::size_t i) const { return zones_[i % zones_.size()]; }
    std::size_t replicas_up(const std::string& id) const;
    void maybe_end_replica(Worker& worker, const Running& running_task);
    void submit(const std::string& id);
    void poll(const std::string& id);
    void cancel(const std::string& id);
    void ask(const Input& input, Ms timeout, std::function<void(UserResponse)> done);
    void ask_controller(std::size_t controller, const Input& input, Ms timeout,
                        std::function<void(UserResponse)> done);
    void check_response(Job& job, const UserResponse& response, bool cancelling, Ms asked);

    Options options_;
    std::mt19937_64 rng_;
    Ms now_ = 0;
    Ms faults_end_at_ = 0;  // end of the last fault
    bool in_gap_ = false;
    ActiveFaults active_;
    int impossible_job_number_ = 0;
    std::uint64_t next_event_number_ = 0;
    std::map<std::pair<Ms, std::uint64_t>, std::function<void()>> queue_;
    struct Cut {
        std::string a, b;
        Ms until;
        bool hold;     // delays messages until the cut ends instead of dropping them
        bool one_way;  // blocks only messages from a to b
    };
    std::vector<Cut> cuts_;
    PlatformSettings platform_settings_;
    OperatorSettings operator_settings_;
    std::vector<MachineType> machine_types_;  // ids are indices into machine_type_names_
    std::vector<std::string> machine_type_names_;
    std::vector<std::string> zones_;
    std::map<std::string, ZoneLoss> lost_zones_;  // the most recent loss of each zone
    std::unique_ptr<KeyValueStore> state_;
    std::unique_ptr<Cloud> cloud_;
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::map<std::string, std::unique_ptr<Job>> jobs_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<WorkerStatus> replayed_reports_;
    // The controller process that last commanded each attempt to run, by job, task and attempt.
    std::map<std::tuple<std::string, std::uint32_t, std::uint64_t>, std::string> run_commanded_by_;
    int small_job_number_ = 0;
    Ms waits_last_checked_at_ = 0;
    FaultInjector injector_;
    RequestId next_request_ = 1;
    int next_machine_ = 1;
};

}  // namespace walkford::standin
