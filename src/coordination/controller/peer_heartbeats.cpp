#include "coordination/controller/peer_heartbeats.hpp"

namespace walkford {

namespace {
constexpr Ms kInterval = 1000;
constexpr Ms kIntervalWithoutLeader = 500;
// Two followers exchange a heartbeat only in every second interval.
constexpr std::uint64_t kIntervalsBetweenFollowers = 2;

// Returns the time since `event_at` as encoded in a PeerHeartbeat; -1 if the event has not
// happened.
std::int64_t elapsed_since(Ms event_at, Ms now) { return event_at < 0 ? -1 : now - event_at; }
}  // namespace

PeerHeartbeats::PeerHeartbeats(ControllerContext& context, Leadership& leadership,
                               const ActivityTimes& times)
    : context_(context),
      leadership_(leadership),
      times_(times),
      monitors_(context.platform_settings.peers.size()) {}

void PeerHeartbeats::tick(Ms now) {
    if (now >= send_at_) {
        send_all(now);
    }
}

void PeerHeartbeats::send_all(Ms now) {
    bool leader_known = leadership_.leading() || leadership_.following();
    send_at_ = now + (leader_known ? kInterval : kIntervalWithoutLeader);
    ++sequence_;
    for (std::size_t peer = 0; peer < monitors_.size(); ++peer) {
        if (both_follow(peer) && sequence_ % kIntervalsBetweenFollowers != 0) {
            continue;
        }
        PeerHeartbeat heartbeat = build(now, monitors_[peer]);
        monitors_[peer].record_sent(now, sequence_);
        context_.out.emplace_back(OutgoingPeerHeartbeat{peer, std::move(heartbeat)});
    }
}

bool PeerHeartbeats::both_follow(std::size_t peer) const {
    const std::string& leader = leadership_.known_leader();
    return leadership_.following() && !leader.empty() &&
           context_.platform_settings.peers[peer].name != leader;
}

PeerHeartbeat PeerHeartbeats::build(Ms now, const PeerMonitor& monitor) const {
    PeerHeartbeat heartbeat;
    heartbeat.controller = context_.platform_settings.controller_name;
    heartbeat.incarnation = context_.platform_settings.incarnation;
    heartbeat.sequence = sequence_;
    heartbeat.echo = monitor.newest_heartbeat().sequence;
    heartbeat.echo_incarnation = monitor.newest_heartbeat().incarnation;
    heartbeat.fencing_token = leadership_.known_fencing_token();
    heartbeat.leader = leadership_.known_leader();
    heartbeat.ms_since_store_response = elapsed_since(context_.store.last_served_at(), now);
    heartbeat.uptime_ms = now - times_.started_at;
    heartbeat.revision = context_.store.seen_revision();
    heartbeat.ms_since_worker_heartbeat = elapsed_since(times_.worker_heartbeat_received_at, now);
    return heartbeat;
}

void PeerHeartbeats::receive(Ms now, std::size_t peer, const PeerHeartbeat& heartbeat) {
    if (peer >= monitors_.size() ||
        !monitors_[peer].receive(now, heartbeat, context_.platform_settings.incarnation)) {
        return;
    }
    if (heartbeat.fencing_token > 0) {
        leadership_.observe_fencing_token(now, heartbeat.fencing_token, heartbeat.leader);
    }
}

Ms PeerHeartbeats::responses_covered_until(Ms confirmed_at, std::uint64_t replica_revision) {
    Ms covered_until = kNever;
    for (PeerMonitor& monitor : monitors_) {
        covered_until = std::min(covered_until,
                                 monitor.responses_covered_until(confirmed_at, replica_revision));
    }
    return covered_until;
}

}  // namespace walkford
