// A small world in one process: state service, cloud, workers, users and the network between them,
// on simulated time, written from PROTOCOL's pages alone. It drives several cores and checks the
// rules by its own records; it never looks into the service's cluster.
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

// A zone that is lost for a while: nothing reaches its machines and controllers, or leaves them.
struct ZoneLoss {
    Ms at = 0;
    Ms span = 0;
    std::string zone = {};
    double share = 1;         // of its machines; its controllers go with all of them only
    bool cold = false;        // its machines are gone for good, its controllers start anew
    bool scales_out = false;  // the cloud goes on renting there, but nothing comes up meanwhile
    bool controllers = true;
};

// Jobs alike that users submit at one moment.
struct PlannedWork {
    Ms at = 0;
    std::string job_class = {};
    int jobs = 1;
    std::uint32_t tasks = 1;
    double cpus = 4;
    Ms run_ms = 20000;
    JobShape shape = JobShape::array;
    Priority priority = Priority::normal;
    std::string zone = {};  // the only allowed one; empty: any
    bool spread = false;
    bool one_zone = false;
    Ms cancel_at = -1;
};

// What happened to one attempt of a task on a machine.
struct TaskEvent {
    enum class What : std::uint8_t { ordered, began, ended };
    Ms at = 0;
    What what = What::began;
    std::string job, job_class;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    std::string zone, machine;
};

// An image fetch began: how many were then under way.
struct FetchEvent {
    Ms at = 0;
    std::string zone;
    int in_zone = 0;
    int on_machine = 0;
};

struct Options {
    std::uint64_t seed = 1;
    Ms duration = 150000;
    std::size_t controllers = 3;
    int jobs = 24;
    bool faults = true;
    Ms longest_run = 20000;
    // From then on, for 100 s, the leader reaches the workers and nobody else does; nor does it
    // reach anything else.
    Ms split_at = -1;
    // From then on, for so long, nobody reaches the state service; all controllers live.
    Ms outage_at = -1;
    Ms outage_for = 0;
    // From then on the state service refuses the leader alone, users call off what runs, and as
    // soon as one of them is told so by another controller (the gap), nobody reaches the service
    // for longer than cancel_s. The workers reach the leader all the while.
    Ms gap_at = -1;
    // ... and within that outage the other controllers end and come back.
    bool gap_restarts = false;
    // Only these faults, or all when empty.
    std::vector<Fault> only;
    // After the last trouble everything is well for so long, and then every job must have been
    // served and every question about one answered (rules not_served and forgotten).
    Ms calm = 0;
    double unacknowledged_release_s = 12;
    // Services that users submit, after the rollout if there is one.
    int services = 0;
    // All controllers begin with the old version, and from then on change over; -1: none does.
    Ms rollout_at = -1;
    bool one_stays_old = false;  // the last controller is not upgraded on this day
    // From then on the state service's limits are lower; the settings told so from the start.
    Ms limits_fall_at = -1;
    std::vector<std::string> zones{"a", "b"};
    std::vector<ZoneLoss> zone_losses = {};
    std::vector<PlannedWork> work = {};
    std::vector<Ms> leader_ends_at = {};
    int cloud_room = 4;  // machines of a kind, zone and sort that the cloud has
    ZoneFailoverSettings zone_failover = {};
    // What stands in the state service before anybody starts.
    std::map<std::string, Json> stored = {};
    // Told what each step of a controller put out, and when; empty: nobody listens.
    std::function<void(Ms now, std::size_t controller, const Outputs&)> on_outputs = {};
    // Mutations: each takes one guard away, and the checks must then find a broken rule.
    bool strip_fence = false;    // transactions lose their conditions
    bool hide_relays = false;    // leaders don't see who answers workers for them
    double told_lease_s = 0;     // the service believes this lease instead of the real one
    double told_cancel_s = 0;    // ... and this time for cancellations
    double told_quota_cpus = 0;  // ... and this limit of the first team
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
        scale_out_requests;  // each machine: when, and in which zone
    int started = 0;
    int jobs_done = 0;
    int elections = 0;
    int accepted = 0;
    int machines_deaf = 0;
    int leases_over = 0;  // sessions that ended with tasks
    int copies = 0;
    int gap_cancelled = 0;  // jobs with a task on a machine, called off within the gap
    int gap_restarted = 0;  // controllers that came back in the outage behind it
    // How often the meetings of troubles came about.
    int written_late = 0;           // transactions without an answer that changed something later
    int cancelled_running = 0;      // jobs told to be cancelled while a task was on a machine
    int cancelled_at_end = 0;       // jobs called off at the end of a task of theirs
    int muted = 0;                  // reports that reached nobody
    int answers_lost = 0;           // transactions that changed something and were not answered
    int close_looks = 0;            // questions and repeats right after an answer
    int commands_late = 0;          // direct commands carried out late
    int reports_for_next = 0;       // reports that reached a new leader as it began
    int cancelled_in_handover = 0;  // running jobs told to be cancelled near a change of leader
    int started_fast = 0;           // machines up within two seconds while writes lagged
    int small_jobs = 0;             // accepted of a flood
    int zone_bound_losses = 0;      // machines lost that ran a task bound to their zone
    int starts_after_cancel = 0;    // starts after a confirmed cancellation, within cancel_s
    int refused_jobs = 0;           // jobs that can't run, and are told so
    int relayed = 0;                // reports answered by another than the leader
    int upgraded = 0;               // controllers that changed over
    int replicas_again = 0;         // replicas of services that ran once more
    int services_accepted = 0;
    int services_refused = 0;      // 503 while a controller is old
    std::size_t largest_turn = 0;  // inputs that a controller took in together

  private:
    friend class FaultInjector;
    struct Cloud;
    struct Worker;
    struct Job;
    struct Host;
    struct Running;

    void at(Ms when, std::function<void()> what);
    std::int64_t pick(std::int64_t least, std::int64_t most);
    bool chance(double p);
    // When a message sent now arrives; -1: never.
    Ms path(const std::string& from, const std::string& to);
    template <typename R>
    void call(const std::string& from, const std::string& to, Ms timeout, R none,
              std::function<void(std::function<void(R)>)> execute, std::function<void(R)> done);

    void broken(const std::string& rule, const std::string& what);
    void start_controller(std::size_t i);
    void crash_controller(std::size_t i);
    void feed(std::size_t i, const Input& input);
    void take_turn(std::size_t i);
    void carry_out(std::size_t i, Output& output);
    // What becomes of a message that controller `i` sends.
    void send(std::size_t i, const UserResponse& answer);
    void send(std::size_t i, const HeartbeatResponse& answer);
    void send(std::size_t i, const StoreRequest& sent);
    void send(std::size_t i, const CloudRequest& c);
    void send(std::size_t i, const WorkerRequest& c);
    void send(std::size_t i, const OutgoingPeerHeartbeat& message);
    void send(std::size_t i, const WakeAt& wake);
    // Hands a reply to controller `i`, unless its process has ended meanwhile.
    std::function<void(const Input&)> reply_to(std::size_t i);
    void watch_state(const std::string& controller, const StoreRequest& call, Ms until,
                     const std::function<void(StoreResponse)>& respond);
    void list_machine_types(Names& names, CloudResponse& reply) const;
    void request_machines(const CloudRequest& c, CloudResponse& reply);
    void list_machines(const std::string& after, CloudResponse& reply);
    std::optional<WorkerResponse> obey(const WorkerRequest& c);
    void plan_faults();
    void plan_zone_losses();
    void lose_zone(const ZoneLoss& loss);
    Ms zone_dark_until(const std::string& zone) const;
    void plan_work();
    void note(const Worker& worker, const Running& task, TaskEvent::What what);
    void begin_fetch(Worker& worker, const std::string& image);
    static void end_fetch(Worker& worker, const std::string& image);
    static void forget_images(Worker& worker);
    void split();
    void gap();
    void gap_outage();
    void restart(std::size_t i, Ms least, Ms most);
    std::size_t leader_or(std::size_t otherwise) const;
    void cancel_running(std::size_t most, Ms span);
    std::vector<std::string> on_machines(const std::string& job) const;
    void submit_impossible();
    void submit_small_job();
    void look_closely(const std::string& id);
    void deliver_replayed_reports();
    bool runs_zone_bound_task(const std::string& machine) const;
    void check_waits();
    bool waits_beside_room(const Job& job) const;
    void cut(const std::string& a, const std::string& b, Ms span, bool hold, bool one_way = false);
    void reboot(const std::string& machine);
    void last_look();

    // workers
    void add_machine(const std::string& name, Id machine_type, const std::string& zone, bool spot,
                     Ms up_at);
    void kill_machine(const std::string& name);
    void heartbeat(const std::string& name);
    void deliver_heartbeat(std::size_t to, const WorkerStatus& status,
                           std::function<void(HeartbeatResponse)> respond);
    void copy_heartbeat_sometimes(std::size_t controller, const WorkerStatus& status);
    void take_response(const std::string& name, Ms sent, std::uint64_t incarnation,
                       std::size_t controller, const HeartbeatResponse& response);
    WorkerStatus worker_status(Worker& w);
    void execute(Worker& w, const WorkerCommand& o);
    void execute_run(Worker& w, const WorkerCommand& o);
    void execute_stop(Worker& w, const WorkerCommand& o);
    void changed(Worker& w);
    void image_ready(const std::string& machine, const std::string& job, std::uint32_t task,
                     std::uint32_t attempt);
    void begin(Worker& w, Running& r);
    void end(Worker& w, Running& r, const std::string& cause, bool progress_saved);
    void gang_lost(const std::string& job, std::uint32_t attempt);
    void check_start(const Worker& w, const Running& r);
    void sweep();

    // users
    void plan_users();
    void plan_services();
    void plan_rollout();
    void plan_lower_limits();
    std::uint32_t feature_level(std::size_t i) const;
    const std::string& zone_of_controller(std::size_t i) const { return zones_[i % zones_.size()]; }
    std::size_t replicas_up(const std::string& id) const;
    void end_replica_sometimes(Worker& w, const Running& r);
    void submit(const std::string& id);
    void poll(const std::string& id);
    void cancel(const std::string& id);
    void ask(const Input& input, Ms timeout, std::function<void(UserResponse)> done);
    void ask_controller(std::size_t controller, const Input& input, Ms timeout,
                        std::function<void(UserResponse)> done);
    void told(Job& j, const UserResponse& a, bool cancelling, Ms asked);

    Options o_;
    std::mt19937_64 rng_;
    Ms now_ = 0;
    Ms well_since_ = 0;  // the last trouble is over
    bool in_gap_ = false;
    ActiveFaults active_;
    int impossible_ = 0;
    std::uint64_t order_ = 0;
    std::map<std::pair<Ms, std::uint64_t>, std::function<void()>> queue_;
    struct Cut {
        std::string a, b;
        Ms until;
        bool hold;
        bool one_way;  // from a to b only
    };
    std::vector<Cut> cuts_;
    PlatformSettings platform_settings_;
    OperatorSettings operator_settings_;
    std::vector<MachineType> machine_types_;  // ids are indices into machine_type_names_
    std::vector<std::string> machine_type_names_;
    std::vector<std::string> zones_;
    std::map<std::string, ZoneLoss> lost_zones_;  // the last loss of each
    std::unique_ptr<KeyValueStore> state_;
    std::unique_ptr<Cloud> cloud_;
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::map<std::string, std::unique_ptr<Job>> jobs_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::vector<WorkerStatus> replayed_reports_;
    int small_job_number_ = 0;
    Ms waits_checked_ = 0;
    FaultInjector injector_;
    RequestId next_request_ = 1;
    int next_machine_ = 1;
};

}  // namespace walkford::standin
