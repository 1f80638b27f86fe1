// A controller as a deterministic state machine. step() takes inputs and returns the messages to
// send, the records to write and the responses to give. It uses no socket and reads no clock, so
// the same inputs always produce the same outputs.
#pragma once

#include "coordination/controller/activity_times.hpp"
#include "coordination/controller/leader.hpp"
#include "coordination/controller/peer_heartbeats.hpp"
#include "coordination/controller/reachability.hpp"
#include "coordination/controller/user_requests.hpp"
#include "coordination/leadership/feature_level.hpp"
#include "coordination/leadership/leadership.hpp"
#include "coordination/leadership/lease_relay.hpp"

namespace walkford {

// Owns all modules of a controller process: those that every controller runs (store replica, leader
// election, peer heartbeats, user requests) and, while this controller leads, the Leader. Driven by
// the event loop of the process, or by a simulation in tests.
class Controller {
  public:
    // `seed`: seeds the random delays that keep controllers from retrying at the same time.
    Controller(PlatformSettings platform_settings, OperatorSettings operator_settings,
               std::uint64_t seed);

    // Handles all inputs that arrived together in order of priority, then runs all periodic work
    // once. `now` must not decrease between calls. The last output is a WakeAt: the time at which
    // step() must be called again if no input arrives earlier.
    Outputs step(Ms now, const std::vector<Input>& inputs);
    // Handles a single input.
    Outputs step(Ms now, const Input& input) { return step(now, std::vector<Input>{input}); }

    // Sets the clock, in microseconds, with which the leader limits the duration of a placement
    // round. The default clock always returns 0, so that rounds have no time limit.
    void set_stopwatch(std::function<std::int64_t()> microseconds) {
        context_.stopwatch = std::move(microseconds);
    }
    // Whether this controller has been elected and has built the cluster state.
    bool leading() const { return leader_ != nullptr; }
    // Whether this controller can serve user requests. False while it recovers, while it is
    // isolated, while the store refuses this controller but not its peers, and while the feature
    // level of the cluster is higher than this version supports.
    bool ready(Ms now) const;
    // This controller's replica of the store.
    const StoreReplica& replica() const { return context_.replica; }
    // The interned names of teams, zones, machine types, classes and images.
    Names& names() { return context_.names; }
    // The leader's cluster state, for checks in tests. Null unless leading.
    const ClusterState* cluster() const { return leader_ ? &leader_->context().cluster : nullptr; }

  private:
    void handle(Ms, const TickInput&) {}
    void handle(Ms now, const SubmitRequest& request) { users_.submit(now, request); }
    void handle(Ms now, const PollRequest& request) { users_.poll(now, request); }
    void handle(Ms now, const CancelRequest& request) { users_.cancel(now, request); }
    void handle(Ms now, const ReadyRequest& request);
    void handle(Ms now, const HeartbeatRequest& heartbeat);
    void handle(Ms now, const StoreResponse& response) { context_.store.reply(now, response); }
    void handle(Ms now, const CloudResponse& response) { context_.cloud.reply(now, response); }
    void handle(Ms now, const WorkerResponse& response) { context_.workers.reply(now, response); }
    void handle(Ms now, const IncomingPeerHeartbeat& input) {
        peer_heartbeats_.receive(now, input.peer, input.peer_heartbeat);
    }
    // Responds to a worker's heartbeat with the name of the leader, if it is known.
    void redirect_worker(Ms now, const HeartbeatRequest& heartbeat);

    void on_elected(Ms now);
    void on_deposed();
    // Builds the cluster state once a read barrier has confirmed that the replica contains this
    // controller's election. `confirmed`: the result of the read barrier.
    void start_leader(Ms now, std::uint64_t fencing_token, bool confirmed);
    void connect_leader(LeaderContext& leader_context);
    void depose_if_requested(Ms now);
    // `key`: the changed key; empty after a complete snapshot was loaded.
    void replica_changed(Ms now, const std::string& key);
    void load_machine_types();
    void notify_leader_of_all_jobs(Ms now);

    void tick(Ms now);
    void confirm_replica(Ms now);
    void step_down_if_workers_unreachable(Ms now);
    void update_readiness(Ms now);
    Ms cancellations_known_until();
    void set_authority(Ms now);
    Ms wake_at(Ms now) const;

    ControllerContext context_;
    ActivityTimes times_;
    StoreWatcher watcher_;
    Leadership leadership_;
    LeaseRelay relay_;
    FeatureLevel feature_level_;
    UserRequests users_;
    PeerHeartbeats peer_heartbeats_;
    Reachability reachability_;
    std::unique_ptr<Leader> leader_;
    Ms confirm_at_ = 0;  // when the leader next confirms that its replica is current
    bool was_ready_ = false;
    Ms unready_until_ = 0;
    std::string deposition_reason_;
    bool depose_requested_ = false;
};

}  // namespace walkford
