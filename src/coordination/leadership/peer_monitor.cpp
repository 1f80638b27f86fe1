#include "coordination/leadership/peer_monitor.hpp"

#include <algorithm>

namespace walkford {

void PeerMonitor::sent(Ms now, std::uint64_t sequence) {
    sent_[sequence] = now;
    while (sent_.size() > kSentKept) {
        sent_.erase(sent_.begin());
    }
}

Ms PeerMonitor::echoed_at(const PeerHeartbeat& fact, const std::string& incarnation) const {
    if (fact.echo_incarnation != incarnation) {
        return -1;
    }
    auto it = sent_.find(fact.echo);
    return it == sent_.end() ? -1 : it->second;
}

// Another process than the one last heard: a new one, or one that was taken for ended. A message
// held up for long may be the first that is heard of a process that ended long ago; the living one
// then shows that it lives by echoing what we sent just now, or by going on while the other is
// silent. (It was dropped for good before: one late message made a controller deaf to that peer for
// the rest of its life, and one at each end made both.) What is vouched for does not hang on which
// of them lives: a message that echoes ours was written by a process alive since.
bool PeerMonitor::change_process(Ms now, const PeerHeartbeat& fact, Ms echoed) {
    auto known = std::find_if(earlier_.begin(), earlier_.end(), [&](const Process& process) {
        return process.last.incarnation == fact.incarnation;
    });
    Process next;
    if (known != earlier_.end()) {
        bool fresh = echoed >= 0 && echoed > process_.vouched_until && now - echoed <= kFreshEcho;
        bool other_silent = now - heard_at_ > kProcessSilent;
        if (!(fresh || other_silent) || fact.sequence <= known->last.sequence) {
            return false;
        }
        next = std::move(*known);
        earlier_.erase(known);
    }
    // Nothing that one process vouched for is carried over to another.
    if (!process_.last.incarnation.empty()) {
        earlier_.push_back(std::move(process_));
    }
    if (earlier_.size() > kEarlierKept) {
        earlier_.pop_front();
    }
    process_ = std::move(next);
    return true;
}

bool PeerMonitor::hear(Ms now, const PeerHeartbeat& fact, const std::string& incarnation) {
    Ms echoed = echoed_at(fact, incarnation);
    if (fact.incarnation != process_.last.incarnation) {
        if (!change_process(now, fact, echoed)) {
            return false;
        }
    } else if (fact.sequence <= process_.last.sequence) {
        return false;
    }
    Ms began = now - (fact.up_ms - fact.up_ms / 1000);
    process_.began = process_.began < 0 ? began : std::min(process_.began, began);
    process_.last = fact;
    heard_at_ = now;
    // It wrote this after it had our message that it echoes: what it had told by the time we sent
    // that rests on what the state service had answered it by now.
    if (echoed > process_.vouched_until) {
        process_.vouched_until = echoed;
        process_.rests_on = fact.revision;
    }
    return true;
}

Ms PeerMonitor::told_until(Ms proven, std::uint64_t held) {
    told_until_ = std::max(told_until_, proven);
    // A process knows nothing of what an earlier one told: that must be in our view by another way
    // up to when this one began. (A silence that began at its start once vouched for all before.)
    bool all_its_life = process_.began >= 0 && process_.began <= told_until_;
    if (all_its_life && process_.rests_on <= held) {
        told_until_ = std::max(told_until_, process_.vouched_until);
    }
    return told_until_;
}

}  // namespace walkford
