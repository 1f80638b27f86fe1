// The leader's part of a controller: cluster state, placement, scaling, and communication with the
// workers and the cloud.
#pragma once

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/job_completion.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/leader/placement_writer.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/placer.hpp"
#include "coordination/scaling/scaler.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// Owns the subsystems of a leader and passes inputs to them. The Controller creates the Leader when
// it is elected and destroys it when it is deposed, so that no leader state outlives its fencing
// token.
class Leader {
  public:
    // Builds the cluster state from the controller's replica of the store. The callbacks in
    // context() must be set before the first input is passed in.
    Leader(ControllerContext& controller, std::uint64_t fencing_token, Ms now);
    // Responds to the heartbeats that are still open with 503 and drops the calls to the cloud that
    // have not been sent yet.
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    // Sets what the leader is allowed to do until the next call. LeaderContext describes the three
    // values.
    void set_authority(bool holds_lease, Ms heartbeat_answer_deadline, Ms replica_confirmed_until);

    // Runs the periodic work of all subsystems. Called after each batch of inputs.
    void tick(Ms now);

    // Must be called when the job's record in the replica has changed or has been deleted.
    void job_changed(Ms now, const std::string& id);

    // Handles a worker's heartbeat. The response is emitted now or in a later tick.
    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);

    // For the Controller, which sets the callbacks and reads the cluster state.
    LeaderContext& context() { return context_; }

  private:
    void load_cluster_state(Ms now);

    LeaderContext context_;
    TaskLifecycle lifecycle_;
    CloudManager cloud_;
    WorkerManager workers_;
    ZoneFailoverManager zone_failover_;
    Placer placer_;
    Scaler scaler_;
    PlacementWriter placement_writer_;
    JobCompletion job_completion_;
};

}  // namespace walkford
