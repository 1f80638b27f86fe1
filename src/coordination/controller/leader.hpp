// What only the leader does: the cluster state, placement, scaling, and the dialogues with the
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

// Composes the subsystems of a leader and passes inputs to them. The controller creates it when it
// is elected and destroys it when it is deposed: nothing in it outlives its fencing token.
class Leader {
  public:
    // Builds the cluster state from the controller's replica of the store. The callbacks of
    // context() must be set before the first input is passed in.
    Leader(ControllerContext& controller, std::uint64_t fencing_token, Ms now);
    // Answers the open heartbeats with 503 and drops the calls to the cloud that were not sent.
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    // Sets what the leader may do until the next call; see LeaderContext for the three values.
    void set_authority(bool holds_lease, Ms heartbeat_answer_deadline, Ms view_confirmed_until);

    // Runs every subsystem whose work is due. Called after each batch of inputs.
    void tick(Ms now);

    // The replica has a new version of the job's record, or has it no longer.
    void job_changed(Ms now, const std::string& id);

    // A worker reports; the response is emitted now or at a later tick.
    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);

    // For the controller, which sets the callbacks and reads the cluster state.
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
