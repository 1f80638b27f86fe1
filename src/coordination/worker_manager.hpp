// The leader's talk with workers: reports in, orders out.
#pragma once

#include "coordination/core.hpp"
#include "coordination/term_fwd.hpp"

namespace walkford {

class WorkerManager {
  public:
    WorkerManager(Term& term, TaskLifecycle& lifecycle) : term_(term), lifecycle_(lifecycle) {}
    ~WorkerManager();
    WorkerManager(const WorkerManager&) = delete;
    WorkerManager& operator=(const WorkerManager&) = delete;

    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);
    void tick(Ms now);
    // Answers the held reports whose orders are ready, or whose time is over. `rounds`: how many
    // rounds of placing are complete.
    void answer_held(Ms now, std::uint64_t rounds);
    // It has reported within about two report intervals.
    bool heard_lately(const Machine& m, Ms now) const;
    // The machine answers heartbeats, under our token, and may be given work.
    bool usable(const Machine& m, Ms now) const;

  private:
    // Answers not taken in, in a row, from which on a machine gets nothing more.
    static constexpr std::uint32_t kDeafAfter = 2;

    // A report whose answer waits a little for what it should carry: `run` travels in answers only,
    // and the next one comes a report interval later.
    struct HeldReport {
        RequestId request = 0;
        WorkerReport report;
        Ms until = 0;
        bool idle = false;
        std::uint64_t rounds = 0;
    };
    // How long its answer may wait; 0: not at all.
    Ms hold_for(const Machine& m, const WorkerReport& r, bool& idle) const;
    bool ready(Id machine, const HeldReport& held, std::uint64_t rounds) const;
    void answer(Ms now, Id machine, RequestId request, const WorkerReport& r);
    // Did the report tell of an end that is not yet durable?
    bool unsettled(Id machine, const WorkerReport& r) const;
    // Takes in what a report says; false if it is an old one.
    bool take(Ms now, Id machine, const WorkerReport& report, bool is_heartbeat);
    // Do its reports show that our answers arrive?
    void listen(Ms now, Machine& m, const WorkerReport& report);
    static void unheard(Ms now, Machine& m);
    static void heard(Machine& m);
    void task_exited(Ms now, TaskRef ref, const ReportedTask& r);
    void done(TaskRef ref, const ReportedTask& r);
    void replica_ended(Ms now, TaskRef ref, const ReportedTask& r);
    // Work of the job has shown that the job itself is without a mistake.
    static bool proven_good(Ms now, const Job& job);
    void blame(Ms now, TaskRef ref, Id machine);
    std::vector<Order> orders(Ms now, Id machine, const WorkerReport& report);
    void watch_relays(Ms now);
    // Its worker has surely ended its session: nobody has renewed its lease for longer than that.
    bool lease_over(Ms now, Id machine) const;
    void send_direct(Ms now, Id machine, std::vector<Order> orders);

    Term& term_;
    TaskLifecycle& lifecycle_;
    Ms check_at_ = 0;
    std::map<Id, HeldReport> held_;  // by machine
    std::uint64_t rounds_ = 0;
    Ms held_at_ = 0;
    // By zone: when a controller was last seen to begin or end answering its workers for us.
    struct RelayWatch {
        std::uint64_t changes = 0;
        Ms changed_at = -1;
    };
    std::vector<RelayWatch> relays_;
};

}  // namespace walkford
