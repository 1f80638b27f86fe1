// One controller: a deterministic state machine. step() takes inputs and returns what to send,
// write and answer; it knows no socket and no clock, so the same inputs always give the same
// outputs.
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

// Owns all modules of a controller process: those that every controller runs (replica of the state
// service, election, peers, user requests) and, while it leads, the Leader. Driven by the event
// loop of the process, or by a simulated world in tests.
class Controller {
  public:
    // `seed`: of the random delays that keep controllers from retrying in step.
    Controller(PlatformSettings platform_settings, OperatorSettings operator_settings,
               std::uint64_t seed);

    // Takes in all inputs that arrived together, the most urgent first, then decides once for all
    // of them. `now` never goes back between calls. The last output is the WakeAt by which step()
    // is to be called again if no input arrives before.
    Outputs step(Ms now, const std::vector<Input>& inputs);
    // The same for a single input.
    Outputs step(Ms now, const Input& input) { return step(now, std::vector<Input>{input}); }

    // Injects a clock in microseconds by which the leader limits the time of a placement round;
    // without one it reads 0 always.
    void set_stopwatch(std::function<std::int64_t()> microseconds) {
        context_.stopwatch = std::move(microseconds);
    }
    // Elected, and the cluster state has been built.
    bool leading() const { return leader_ != nullptr; }
    // May users be sent here? False while recovering, isolated, refused by the state service alone,
    // or older than what the cluster's feature level demands.
    bool ready(Ms now) const;
    // This controller's copy of the state service.
    const StoreReplica& replica() const { return context_.replica; }
    // The interned names of teams, zones, machine types, classes and images.
    Names& names() { return context_.names; }
    // The leader's cluster state, for checks from outside; null unless leading.
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
    void handle(Ms now, const PeerInput& input) {
        peer_heartbeats_.receive(now, input.peer, input.fact);
    }
    // Points a worker to the leader, as far as it is known.
    void redirect_worker(Ms now, const HeartbeatRequest& heartbeat);

    void on_elected(Ms now);
    void on_deposed();
    // Builds the cluster state once a read barrier shows that the replica includes our election.
    void start_leader(Ms now, std::uint64_t fencing_token, bool confirmed);
    void connect_leader(LeaderContext& leader_context);
    void depose_if_requested(Ms now);
    // `key`: the changed key; empty after a whole snapshot was loaded.
    void replica_changed(Ms now, const std::string& key);
    void load_machine_types();
    void notify_leader_of_all_jobs(Ms now);

    void tick(Ms now);
    void confirm_replica(Ms now);
    void stand_down_if_workers_unreachable(Ms now);
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
    Ms confirm_at_ = 0;  // when a leader next confirms that its replica is current
    bool was_ready_ = false;
    Ms unready_until_ = 0;
    std::string deposition_reason_;
    bool depose_requested_ = false;
};

}  // namespace walkford
