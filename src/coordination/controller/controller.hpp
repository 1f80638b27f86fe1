// One controller's core: a state machine. step() takes an input and returns what to send, write
// and answer; it knows no socket and no clock, and is the same every time for the same inputs.
#pragma once

#include "coordination/controller/leader.hpp"
#include "coordination/controller/user_requests.hpp"
#include "coordination/leadership/feature_level.hpp"
#include "coordination/leadership/leadership.hpp"
#include "coordination/leadership/lease_relay.hpp"
#include "coordination/leadership/peer_monitor.hpp"

namespace walkford {

class Controller {
  public:
    Controller(PlatformSettings platform_settings, OperatorSettings operator_settings,
               std::uint64_t seed);
    // Takes in all that came at once, most urgent first, then decides once for all of it.
    Outputs step(Ms now, const std::vector<Input>& inputs);
    Outputs step(Ms now, const Input& input) { return step(now, std::vector<Input>{input}); }

    void set_stopwatch(std::function<std::int64_t()> microseconds) {
        context_.stopwatch = std::move(microseconds);
    }
    bool leading() const { return leader_ != nullptr; }
    bool ready(Ms now) const;
    const StoreReplica& replica() const { return context_.replica; }
    Names& names() { return context_.names; }
    // For checks from outside; null unless leading.
    const ClusterState* cluster() const { return leader_ ? &leader_->context().cluster : nullptr; }

  private:
    static int priority_of(const Input& input);
    void dispatch(Ms now, const Input& input);
    void depose_if_asked(Ms now);
    void tick(Ms now);
    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);
    void hear(Ms now, std::size_t peer, const PeerHeartbeat& fact);
    void send_peer_heartbeats(Ms now);
    bool out_of_reach(Ms now);
    bool others_are_reached(Ms now) const;
    bool alone(Ms now) const;
    bool leader_silent(Ms now) const;
    bool refused_alone(Ms now) const;
    Ms cancellations_known_until();
    void set_authority(Ms now);
    Ms wake_at(Ms now) const;
    void replica_changed(Ms now, const std::string& key);

    ControllerContext context_;
    StoreWatcher watcher_;
    Leadership leadership_;
    LeaseRelay relay_;
    FeatureLevel feature_level_;
    UserRequests users_;
    std::unique_ptr<Leader> leader_;
    std::vector<PeerMonitor> peers_;
    Ms started_ = -1;
    Ms peer_heartbeat_at_ = 0;
    Ms barrier_at_ = 0;
    Ms others_reached_since_ = -1;
    Ms heartbeat_at_ = -1;  // a worker last reported to this node
    std::uint64_t sequence_ = 0;
    bool was_ready_ = false;
    Ms unready_until_ = 0;
    std::string deposition_reason_;
    bool depose_now_ = false;
};

}  // namespace walkford
