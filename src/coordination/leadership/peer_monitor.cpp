#include "coordination/leadership/peer_monitor.hpp"

#include <algorithm>

namespace walkford {

namespace {
// Clocks of two controllers may drift apart by one part in so many.
constexpr std::int64_t kDriftDivisor = 1000;
}  // namespace

void PeerMonitor::record_sent(Ms now, std::uint64_t sequence) {
    sent_at_[sequence] = now;
    while (sent_at_.size() > kMaxSentRecords) {
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

// The heartbeat is of another process than the last one: a new process, or one that was taken for
// ended. A heartbeat that was delayed for long may be the first one received of a process that
// ended long ago; the living process then shows that it lives by echoing what we sent just now, or
// by going on while the other is silent. (Such a process used to be ignored for good: one late
// heartbeat cut a controller off from that peer for the rest of its life, and one at each end did
// so to both.) The coverage does not depend on which of them lives: a heartbeat that echoes ours
// was written by a process that has been alive since.
bool PeerMonitor::change_process(Ms now, const PeerHeartbeat& heartbeat, Ms echoed) {
    auto known = std::find_if(
        earlier_processes_.begin(), earlier_processes_.end(),
        [&](const Process& process) { return process.last.incarnation == heartbeat.incarnation; });
    Process next;
    if (known != earlier_processes_.end()) {
        bool fresh_echo =
            echoed >= 0 && echoed > process_.covered_until && now - echoed <= kFreshEcho;
        bool other_silent = now - received_at_ > kProcessSilent;
        if (!(fresh_echo || other_silent) || heartbeat.sequence <= known->last.sequence) {
            return false;
        }
        next = std::move(*known);
        earlier_processes_.erase(known);
    }
    // The coverage of one process is not carried over to another.
    if (!process_.last.incarnation.empty()) {
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
    if (heartbeat.incarnation != process_.last.incarnation) {
        if (!change_process(now, heartbeat, echoed)) {
            return false;
        }
    } else if (heartbeat.sequence <= process_.last.sequence) {
        return false;
    }
    Ms started_by = now - (heartbeat.up_ms - heartbeat.up_ms / kDriftDivisor);
    process_.started_by =
        process_.started_by < 0 ? started_by : std::min(process_.started_by, started_by);
    process_.last = heartbeat;
    received_at_ = now;
    // The peer wrote this after it had received ours that it echoes: what it had answered by the
    // time we sent that rests on what the state service had answered it by now.
    if (echoed > process_.covered_until) {
        process_.covered_until = echoed;
        process_.covered_revision = heartbeat.revision;
    }
    return true;
}

Ms PeerMonitor::responses_covered_until(Ms confirmed_at, std::uint64_t replica_revision) {
    responses_covered_until_ = std::max(responses_covered_until_, confirmed_at);
    // A process knows nothing of what an earlier one answered: up to when this one started, that
    // must be covered by other means. (A silence that began at its start once counted as covering
    // everything before.)
    bool covered_before_start =
        process_.started_by >= 0 && process_.started_by <= responses_covered_until_;
    if (covered_before_start && process_.covered_revision <= replica_revision) {
        responses_covered_until_ = std::max(responses_covered_until_, process_.covered_until);
    }
    return responses_covered_until_;
}

}  // namespace walkford
