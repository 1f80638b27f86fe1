// The leader's dialogue with the workers: statuses in, commands out, and the leases of machines.
#pragma once

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/direct_calls.hpp"
#include "coordination/workers/heartbeat_responder.hpp"
#include "coordination/workers/lease_expiry.hpp"
#include "coordination/workers/worker_status_handler.hpp"

namespace walkford {

// Composes the parts of that dialogue, and says of a machine whether it may be given work. Owned by
// the Leader; destroying it answers the open heartbeats with 503.
class WorkerManager {
  public:
    // Both must outlive this object.
    WorkerManager(LeaderContext& context, TaskLifecycle& lifecycle);

    // Applies the status in a heartbeat and answers it, now or in respond_deferred(). Refused with
    // 503 while this leader may not renew leases. A machine that is not in the registry is added to
    // the cluster state, unregistered.
    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);

    // Expires leases, probes and stops by direct calls, and saves tasks from machines that the
    // cloud reclaims. Called at every tick of the leader; acts at intervals of its own.
    void tick(Ms now);

    // Answers the deferred heartbeats whose commands are ready, or that have waited long enough.
    // `rounds`: how many placement rounds are complete.
    void respond_deferred(Ms now, std::uint64_t rounds) {
        responder_.respond_deferred(now, rounds);
    }

    // The worker has sent a heartbeat within about two report intervals.
    bool reported_recently(const Machine& machine, Ms now) const;

    // The machine may be given work: it is registered and healthy, and its worker sends heartbeats,
    // receives our answers and obeys no older leader.
    bool schedulable(const Machine& machine, Ms now) const;

  private:
    Id find_or_add_machine(Ms now, const WorkerStatus& status);
    void expire_lease(Ms now, Id machine_id);
    void stop_before_reclaim(Ms now, const Machine& machine);

    LeaderContext& context_;
    TaskLifecycle& lifecycle_;
    WorkerStatusHandler status_handler_;
    HeartbeatResponder responder_;
    DirectCalls direct_calls_;
    LeaseExpiry lease_expiry_;
    Ms check_at_ = 0;
};

}  // namespace walkford
