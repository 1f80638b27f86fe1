#include "coordination/controller/reachability.hpp"

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kIsolatedAfter = 4000;
constexpr Ms kLeaderSilentAfter = 5000;  // longer than the leader key outlives its leader
// A peer's report on itself is valid while its heartbeat is no older than this.
constexpr Ms kPeerReportValidFor = 1500;
constexpr int kFailuresToSuspectStore = 3;
constexpr Ms kStoreQuietAfter = 1500;
constexpr Ms kWorkersSilentAfter = 8000;
// Workers reach a peer if at least one has sent it a heartbeat within this span.
constexpr Ms kWorkersReachPeerWithin = kWorkersSilentAfter / 3;
constexpr Ms kWorkersReachOthersConfirmAfter = 3000;
}  // namespace

Reachability::Reachability(const ControllerContext& context, const Leadership& leadership,
                           const PeerHeartbeats& peers, const ActivityTimes& times)
    : context_(context), leadership_(leadership), peers_(peers), times_(times) {}

bool Reachability::isolated(Ms now) const {
    if (peers_.no_peers()) {
        return false;
    }
    if (now - std::max(times_.started_at, context_.store.last_served_at()) < kIsolatedAfter) {
        return false;
    }
    const auto& monitors = peers_.monitors();
    return std::none_of(monitors.begin(), monitors.end(), [now](const PeerMonitor& monitor) {
        return monitor.received_within(now, kIsolatedAfter);
    });
}

bool Reachability::store_refuses_only_us(Ms now) const {
    if (context_.store.consecutive_failures() < kFailuresToSuspectStore ||
        now - context_.store.last_served_at() < kStoreQuietAfter) {
        return false;
    }
    const auto& monitors = peers_.monitors();
    return std::any_of(monitors.begin(), monitors.end(), [now](const PeerMonitor& monitor) {
        std::int64_t ms_since_store_response = monitor.newest_heartbeat().ms_since_store_response;
        return monitor.received_within(now, kPeerReportValidFor) && ms_since_store_response >= 0 &&
               ms_since_store_response + (now - monitor.received_at()) < kStoreQuietAfter;
    });
}

bool Reachability::leader_silent(Ms now) const {
    if (!leadership_.following() || !context_.replica.leader ||
        now - times_.started_at < kLeaderSilentAfter) {
        return false;
    }
    const std::vector<Peer>& peers = context_.platform_settings.peers;
    for (std::size_t peer = 0; peer < peers.size(); ++peer) {
        if (peers[peer].name == context_.replica.leader->controller) {
            return !peers_.received_within(now, peer, kLeaderSilentAfter);
        }
    }
    return false;
}

bool Reachability::workers_reach_only_others(Ms now, std::optional<Ms> elected_at) {
    // Workers need time to find a new leader, so the silence is measured from the election at the
    // earliest: as a follower, this controller received no heartbeats anyway.
    if (!elected_at ||
        now - std::max(times_.worker_heartbeat_received_at, *elected_at) < kWorkersSilentAfter ||
        !workers_reach_a_peer(now)) {
        workers_reach_only_others_since_ = -1;
        return false;
    }
    if (workers_reach_only_others_since_ < 0) {
        workers_reach_only_others_since_ = now;
    }
    // The condition must hold for a while: the first worker of a new cluster may contact another
    // controller first and is then redirected to this one.
    return now - workers_reach_only_others_since_ >= kWorkersReachOthersConfirmAfter;
}

bool Reachability::workers_reach_a_peer(Ms now) const {
    const auto& monitors = peers_.monitors();
    return std::any_of(monitors.begin(), monitors.end(), [now](const PeerMonitor& monitor) {
        std::int64_t ms_since_worker_heartbeat =
            monitor.newest_heartbeat().ms_since_worker_heartbeat;
        return monitor.received_within(now, kPeerReportValidFor) &&
               ms_since_worker_heartbeat >= 0 &&
               ms_since_worker_heartbeat < kWorkersReachPeerWithin;
    });
}

}  // namespace walkford
