// The leader's talk with workers: reports in, orders out.
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

class WorkerManager {
  public:
    WorkerManager(LeaderContext& context, TaskLifecycle& lifecycle)
        : context_(context), lifecycle_(lifecycle) {}
    ~WorkerManager();
    WorkerManager(const WorkerManager&) = delete;
    WorkerManager& operator=(const WorkerManager&) = delete;

    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);
    void tick(Ms now);
    // Answers the held reports whose orders are ready, or whose time is over. `rounds`: how many
    // rounds of placing are complete.
    void respond_deferred(Ms now, std::uint64_t rounds);
    // It has reported within about two report intervals.
    bool reported_recently(const Machine& m, Ms now) const;
    // The machine answers heartbeats, under our token, and may be given work.
    bool schedulable(const Machine& m, Ms now) const;

  private:
    // Answers not taken in, in a row, from which on a machine gets nothing more.
    static constexpr std::uint32_t kMaxUnacknowledgedAnswers = 2;

    // A report whose answer waits a little for what it should carry: `run` travels in answers only,
    // and the next one comes a report interval later.
    struct DeferredHeartbeat {
        RequestId request = 0;
        WorkerStatus worker_status;
        Ms until = 0;
        bool idle = false;
        std::uint64_t rounds = 0;
    };
    // How long its answer may wait; 0: not at all.
    Ms response_hold(const Machine& m, const WorkerStatus& r, bool& idle) const;
    bool ready(Id machine, const DeferredHeartbeat& deferred, std::uint64_t rounds) const;
    void answer(Ms now, Id machine, RequestId request, const WorkerStatus& r);
    // Did the report tell of an end that is not yet durable?
    bool has_undurable_exit(Id machine, const WorkerStatus& r) const;
    // Takes in what a report says; false if it is an old one.
    bool apply_status(Ms now, Id machine, const WorkerStatus& worker_status, bool is_heartbeat);
    // Do its reports show that our answers arrive?
    void check_acknowledgement(Ms now, Machine& m, const WorkerStatus& worker_status);
    static void answer_unacknowledged(Ms now, Machine& m);
    static void answer_acknowledged(Machine& m);
    void task_exited(Ms now, TaskRef ref, const ReportedTask& r);
    void done(TaskRef ref, const ReportedTask& r);
    void replica_ended(Ms now, TaskRef ref, const ReportedTask& r);
    // Work of the job has shown that the job itself is without a mistake.
    static bool known_good(Ms now, const Job& job);
    void attribute_failure(Ms now, TaskRef ref, Id machine);
    std::vector<WorkerCommand> commands(Ms now, Id machine, const WorkerStatus& worker_status);
    void watch_relays(Ms now);
    // Its worker has surely ended its session: nobody has renewed its lease for longer than that.
    bool lease_over(Ms now, Id machine) const;
    void send_direct(Ms now, Id machine, std::vector<WorkerCommand> commands);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    Ms check_at_ = 0;
    std::map<Id, DeferredHeartbeat> deferred_;  // by machine
    std::uint64_t rounds_ = 0;
    Ms deferred_check_at_ = 0;
    // By zone: when a controller was last seen to begin or end answering its workers for us.
    struct RelayWatch {
        std::uint64_t changes = 0;
        Ms changed_at = -1;
    };
    std::vector<RelayWatch> relays_;
};

}  // namespace walkford
