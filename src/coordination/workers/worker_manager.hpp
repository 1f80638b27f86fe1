// How the leader communicates with the workers: it applies their statuses, sends commands, and
// renews and expires their leases.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/direct_calls.hpp"
#include "coordination/workers/heartbeat_responder.hpp"
#include "coordination/workers/lease_expiry.hpp"
#include "coordination/workers/worker_status_handler.hpp"

namespace walkford {

// Combines the classes of this directory, and decides whether a machine may be given work. Owned by
// the Leader; its destructor answers the deferred heartbeats with 503.
class WorkerManager {
  public:
    // Both must outlive this object.
    WorkerManager(LeaderContext& context, TaskLifecycle& lifecycle);

    // Applies the status in a heartbeat and answers it, now or in respond_deferred(). Refuses
    // it with 503 while this leader may not renew leases. Adds an unknown machine to the cluster
    // state as unregistered.
    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);

    // Expires leases, sends probes and stop commands by direct calls, and stops tasks on machines
    // that the cloud is about to reclaim. Called at every tick of the leader; acts at its own
    // interval.
    void tick(Ms now);

    // Answers the deferred heartbeats whose commands are ready, or that have waited long enough.
    // `placement_rounds`: how many placement rounds are complete.
    void respond_deferred(Ms now, std::uint64_t placement_rounds) {
        responder_.respond_deferred(now, placement_rounds);
    }

    // Whether the worker has sent a heartbeat within about two report intervals.
    bool reported_recently(const Machine& machine, Ms now) const;

    // Whether the machine may be given work: it is registered and healthy, and its worker sends
    // heartbeats, receives our responses and accepts commands of no older leader.
    bool schedulable(const Machine& machine, Ms now) const;

  private:
    Id find_or_add_machine(Ms now, const WorkerStatus& status);
    void answer_stale_heartbeat(Ms now, Id machine_id, RequestId request);
    void expire_lease(Ms now, Id machine_id);
    void stop_before_reclaim(Ms now, const Machine& machine);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    RecentRuns recent_runs_;
    WorkerStatusHandler status_handler_;
    HeartbeatResponder responder_;
    DirectCalls direct_calls_;
    LeaseExpiry lease_expiry_;
    Ms next_check_at_ = 0;
};

}  // namespace walkford
