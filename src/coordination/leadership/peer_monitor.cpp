#include "coordination/leadership/peer_monitor.hpp"

#include <algorithm>

namespace walkford {

namespace {
// The clocks of two controllers may drift apart by one part in kDriftDivisor.
constexpr std::int64_t kDriftDivisor = 1000;
}  // namespace

void PeerMonitor::record_sent(Ms now, std::uint64_t sequence) {
    sent_at_[sequence] = now;
    while (sent_at_.size() > kMaxSentHeartbeats) {
        sent_at_.erase(sent_at_.begin());
    }
}

Ms PeerMonitor::echoed_at(const PeerHeartbeat& heartbeat,
                          const std::string& own_incarnation) const {
    if (heartbeat.echo_incarnation != own_incarnation) {
        return -1;
    }
    auto sent = sent_at_.find(heartbeat.echo);
    return sent == sent_at_.end() ? -1 : sent->second;
}

// Handles a heartbeat whose sender is not the current process: either a new process of the peer, or
// one that was assumed to have ended. A heartbeat that was delayed for long may be the first one
// received from a process that ended long ago, and then replaces the live process as the current
// one. The live process becomes current again when it echoes a recent heartbeat of ours, or when it
// keeps sending while the other process is silent. (Replaced processes used to be ignored for good:
// a single late heartbeat cut this controller off from the peer's live process for as long as that
// ran, and one late heartbeat in each direction cut off both.) The coverage does not depend on
// which process is live: a heartbeat that echoes one of ours was written by a process that was
// running after we had sent ours. Returns false, and changes nothing, if the heartbeat is to be
// ignored.
bool PeerMonitor::switch_process(Ms now, const PeerHeartbeat& heartbeat, Ms echoed) {
    auto known = std::find_if(earlier_processes_.begin(), earlier_processes_.end(),
                              [&](const Process& process) {
                                  return process.heartbeat.incarnation == heartbeat.incarnation;
                              });
    Process next;
    if (known != earlier_processes_.end()) {
        bool fresh_echo =
            echoed >= 0 && echoed > process_.covered_until && now - echoed <= kMaxEchoAge;
        bool other_silent = now - received_at_ > kProcessSilenceTimeout;
        if (!(fresh_echo || other_silent) || heartbeat.sequence <= known->heartbeat.sequence) {
            return false;
        }
        next = std::move(*known);
        earlier_processes_.erase(known);
    }
    // The coverage of one process does not carry over to another.
    if (!process_.heartbeat.incarnation.empty()) {
        earlier_processes_.push_back(std::move(process_));
    }
    if (earlier_processes_.size() > kMaxEarlierProcesses) {
        earlier_processes_.pop_front();
    }
    process_ = std::move(next);
    return true;
}

bool PeerMonitor::receive(Ms now, const PeerHeartbeat& heartbeat,
                          const std::string& own_incarnation) {
    Ms echoed = echoed_at(heartbeat, own_incarnation);
    if (heartbeat.incarnation != process_.heartbeat.incarnation) {
        if (!switch_process(now, heartbeat, echoed)) {
            return false;
        }
    } else if (heartbeat.sequence <= process_.heartbeat.sequence) {
        return false;
    }
    Ms started_by = now - (heartbeat.uptime_ms - heartbeat.uptime_ms / kDriftDivisor);
    process_.started_by =
        process_.started_by < 0 ? started_by : std::min(process_.started_by, started_by);
    process_.heartbeat = heartbeat;
    received_at_ = now;
    // The peer wrote this heartbeat after it had received the one that it echoes. Therefore every
    // response that it gave before we sent the echoed one depends on no store revision later than
    // the one that this heartbeat reports.
    if (echoed > process_.covered_until) {
        process_.covered_until = echoed;
        process_.covered_revision = heartbeat.revision;
    }
    return true;
}

Ms PeerMonitor::responses_covered_until(Ms confirmed_at, std::uint64_t replica_revision) {
    responses_covered_until_ = std::max(responses_covered_until_, confirmed_at);
    // A process knows nothing of the responses of earlier processes, so the time before its start
    // must already be covered by other means. (Without this check, a process that had
    // received nothing from the store since its start once counted as covering all time before it.)
    bool covered_before_start =
        process_.started_by >= 0 && process_.started_by <= responses_covered_until_;
    if (covered_before_start && process_.covered_revision <= replica_revision) {
        responses_covered_until_ = std::max(responses_covered_until_, process_.covered_until);
    }
    return responses_covered_until_;
}

}  // namespace walkford
