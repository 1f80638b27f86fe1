#include "coordination/node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kTick = 50;
constexpr Ms kIdleTick = 250;
// Between leader and follower, or while nobody is known to lead ...
constexpr Ms kPeerInterval = 1000;
constexpr Ms kPeerIntervalWithoutLeader = 500;
// ... and between two followers one message in so many: nothing hangs on those while a leader
// lives.
constexpr std::uint64_t kFollowerShare = 2;
// Changes that come within so long share one answer of the state service. A leader's view must be
// close to what it wrote (see horizon); a follower proves its view whenever a user asks.
constexpr Ms kLeaderWatchSpacing = 40;
constexpr Ms kFollowerWatchSpacing = 500;
constexpr Ms kProveEvery = 1000;
constexpr Ms kLeaderSilent = 5000;  // longer than the leader's key outlives it
constexpr Ms kNoHeartbeats = 8000;  // a leader whom no worker reaches for so long gives up ...
constexpr Ms kOthersReachedFor = 3000;
constexpr Ms kStandBack = 15000;  // ... and leaves the next elections to others for so long
constexpr Ms kLetOthers = 3000;
constexpr Ms kAlone = 4000;
constexpr Ms kStayOut = 2500;
}  // namespace

Node::Node(Platform platform, Policy policy, std::uint64_t seed)
    : core_(std::move(platform), std::move(policy), seed),
      keeper_(core_),
      leadership_(core_, keeper_),
      relay_(core_, keeper_),
      feature_level_(core_),
      users_(core_, keeper_),
      peers_(core_.platform.peers.size()) {
    keeper_.set_watch_spacing(kFollowerWatchSpacing);
    keeper_.on_change = [this](Ms now, const std::string& key) { view_changed(now, key); };
    leadership_.on_elected = [this](Ms now) {
        peer_heartbeat_at_ = now;  // a deposed leader that only peers reach hears of it at once
        keeper_.set_watch_spacing(kLeaderWatchSpacing);
        // The cluster state is built from a view that is newer than our own election.
        keeper_.barrier(now, [this, token = leadership_.token()](Ms at, bool ok) {
            if (!leadership_.leading() || leadership_.token() != token) {
                return;
            }
            if (!ok || core_.view.revision() < token) {
                leadership_.depose(at, "the state could not be read after the election");
                return;
            }
            leader_ = std::make_unique<Leader>(core_, token, at);
            leader_->term().depose = [this](Ms, const char* why) {
                // Not at once: the caller is a part of the leader.
                depose_now_ = true;
                deposed_why_ = why;
            };
            leader_->term().peer_heard = [this](Ms when, std::size_t peer, Ms span) {
                return peers_.at(peer).heard_within(when, span);
            };
            leader_->term().refresh = [this](Ms when) { keeper_.barrier(when, [](Ms, bool) {}); };
            set_rights(at);
        });
    };
    leadership_.on_deposed = [this](Ms) {
        leader_.reset();
        keeper_.set_watch_spacing(kFollowerWatchSpacing);
    };
}

// When more comes at once than there is processor for: what keeps leases alive and proves the view
// goes first, then the workers' reports, then health checks and users.
int Node::urgency(const Input& input) {
    return std::visit(
        [](const auto& in) {
            using T = std::decay_t<decltype(in)>;
            if constexpr (std::is_same_v<T, StateReply> || std::is_same_v<T, PeerInput>) {
                return 0;
            } else if constexpr (std::is_same_v<T, HeartbeatRequest> ||
                                 std::is_same_v<T, WorkerReply> || std::is_same_v<T, CloudReply>) {
                return 1;
            } else if constexpr (std::is_same_v<T, ReadyRequest>) {
                return 2;
            } else {
                return 3;
            }
        },
        input);
}

Outputs Node::step(Ms now, const std::vector<Input>& inputs) {
    if (started_ < 0) {
        started_ = now;
    }
    std::vector<const Input*> ordered;
    ordered.reserve(inputs.size());
    for (const Input& input : inputs) {
        ordered.push_back(&input);
    }
    // Stable: messages of one sender keep their order.
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const Input* a, const Input* b) { return urgency(*a) < urgency(*b); });
    // After a pause the lease and the view may have grown old: nothing is done on earlier rights.
    set_rights(now);
    for (const Input* input : ordered) {
        take(now, *input);
        depose_if_asked(now);
    }
    tick(now);
    depose_if_asked(now);
    core_.state.pump(now, core_.out);
    core_.cloud.pump(now, core_.out);
    core_.out.emplace_back(WakeAt{wake_at(now)});
    Outputs out = std::move(core_.out);
    core_.out.clear();
    return out;
}

void Node::take(Ms now, const Input& input) {
    std::visit(
        [&](const auto& in) {
            using T = std::decay_t<decltype(in)>;
            if constexpr (std::is_same_v<T, SubmitRequest>) {
                users_.submit(now, in);
            } else if constexpr (std::is_same_v<T, PollRequest>) {
                users_.poll(now, in);
            } else if constexpr (std::is_same_v<T, CancelRequest>) {
                users_.cancel(now, in);
            } else if constexpr (std::is_same_v<T, ReadyRequest>) {
                UserAnswer a;
                a.request = in.request;
                a.code = ready(now) ? 200 : 503;
                a.error = a.code == 200 ? "" : "not ready";
                core_.out.emplace_back(std::move(a));
            } else if constexpr (std::is_same_v<T, HeartbeatRequest>) {
                heartbeat(now, in);
            } else if constexpr (std::is_same_v<T, StateReply>) {
                core_.state.reply(now, in);
            } else if constexpr (std::is_same_v<T, CloudReply>) {
                core_.cloud.reply(now, in);
            } else if constexpr (std::is_same_v<T, WorkerReply>) {
                core_.workers.reply(now, in);
            } else if constexpr (std::is_same_v<T, PeerInput>) {
                hear(now, in.peer, in.fact);
            }
        },
        input);
}

// A part of the leader found that its term must end: done here, where no part of it is on the
// stack.
void Node::depose_if_asked(Ms now) {
    if (!depose_now_) {
        return;
    }
    depose_now_ = false;
    leadership_.depose(now, deposed_why_.c_str());
    // Whoever gave up for a reason of its own lets others try first.
    leadership_.stand_back(now + (peers_.empty() ? 0 : kLetOthers));
}

// On a small controller a wake costs more than what is done in it: a follower at rest, with nothing
// asked and nothing due, wakes a few times a second. (They were 37% of such a node's processor.)
Ms Node::wake_at(Ms now) const {
    if (!leadership_.following() || !users_.idle() || core_.state.queued() > 0) {
        return now + kTick;
    }
    Ms due = std::min({now + kIdleTick, peer_heartbeat_at_, keeper_.due()});
    return std::max(due, now + 1);
}

void Node::view_changed(Ms now, const std::string& key) {
    if (core_.view.kinds && (core_.kinds.empty() || key == keys::kKinds)) {
        if (core_.kinds.empty()) {
            core_.kinds = decode_kinds(*core_.view.kinds, core_.names);
        }
    }
    if (key.empty() || key.rfind(keys::kAnnouncements, 0) == 0) {
        feature_level_.view_changed();
    }
    if (key == keys::kLeader || key.empty()) {
        leadership_.view_changed(now);
    }
    if (!leader_) {
        return;
    }
    if (key.rfind(keys::kJobs, 0) == 0) {
        leader_->job_changed(now, key.substr(keys::kJobs.size()));
    } else if (key.empty()) {
        // The whole state was read again: any job may have changed.
        std::vector<std::string> ids;
        for (const auto& [id, job] : core_.view.jobs()) {
            ids.push_back(id);
        }
        for (const Job& j : leader_->term().cluster.jobs) {
            if (j.alive && !core_.view.job(j.spec.id)) {
                ids.push_back(j.spec.id);
            }
        }
        for (const std::string& id : ids) {
            leader_->job_changed(now, id);
        }
    }
}

// The last moment up to which our view surely holds every cancellation that any controller told a
// user: our own last reading, or what every other one vouches for. Whatever a process tells rests
// on what the state service answered it, so one that has been answered nothing newer than our view
// holds has told nothing that we don't know. (docs/design.md has the proof.)
Ms Node::horizon() {
    Ms own = keeper_.proven_at();
    if (own < 0 || peers_.empty()) {
        return own;
    }
    std::uint64_t held = core_.view.revision();
    // What we told ourselves may not have come back by the watch before the outage began.
    if (held < core_.state.seen_revision()) {
        return own;
    }
    Ms all = kNever;
    for (PeerMonitor& p : peers_) {
        all = std::min(all, p.told_until(own, held));
    }
    return all;
}

void Node::set_rights(Ms now) {
    if (!leader_) {
        return;
    }
    leader_->set_rights(leadership_.valid(now), horizon() + core_.cancel_span(),
                        keeper_.proven_at());
}

void Node::tick(Ms now) {
    keeper_.tick(now);
    leadership_.tick(now);
    if (keeper_.ready()) {
        feature_level_.tick(now);
    }
    relay_.tick(now, leader_silent(now));
    users_.tick(now);
    if (leader_ && now >= barrier_at_) {
        // Proves every second that no cancellation was missed, whatever the watch does.
        barrier_at_ = now + kProveEvery;
        keeper_.barrier(now, [](Ms, bool) {});
    }
    set_rights(now);
    if (out_of_reach(now)) {
        leadership_.depose(now, "no worker reaches us, others are reached");
        leadership_.stand_back(now + kStandBack);
    }
    if (leader_) {
        leader_->tick(now);
    }
    if (now >= peer_heartbeat_at_) {
        send_peer_heartbeats(now);
    }
    // Each time it steps out the balancer waits twice as long: once out, it stays out a while.
    if (refused_alone(now)) {
        unready_until_ = now + kStayOut;
    }
    bool is_ready = ready(now);
    if (is_ready != was_ready_) {
        was_ready_ = is_ready;
        spdlog::info("{} for users", is_ready ? "ready" : "not ready");
    }
}

bool Node::ready(Ms now) const {
    return keeper_.ready() && !core_.kinds.empty() && now >= unready_until_ && !alone(now) &&
           !core_.newer_than_supported();
}

// An outage that all nodes see takes no node out. One that is refused alone steps out: a peer tells
// that it is served.
bool Node::refused_alone(Ms now) const {
    if (core_.state.refused() < 3 || now - core_.state.last_reached() < 1500) {
        return false;
    }
    return std::any_of(peers_.begin(), peers_.end(), [now](const PeerMonitor& p) {
        return p.heard_within(now, 1500) && p.last().state_quiet_ms >= 0 &&
               p.last().state_quiet_ms + (now - p.heard_at()) < 1500;
    });
}

// Cut off from its workers only, a leader would keep its lease while theirs run out.
bool Node::out_of_reach(Ms now) {
    // (A new leader has yet to be found by them: its own silence as a follower says nothing.)
    if (!leader_ || now - std::max(heartbeat_at_, leader_->term().elected_at) < kNoHeartbeats ||
        !others_are_reached(now)) {
        others_reached_since_ = -1;
        return false;
    }
    if (others_reached_since_ < 0) {
        others_reached_since_ = now;
    }
    // The first machine of a new cluster may ask another controller first, and is then sent to us.
    return now - others_reached_since_ >= kOthersReachedFor;
}

bool Node::others_are_reached(Ms now) const {
    return std::any_of(peers_.begin(), peers_.end(), [now](const PeerMonitor& p) {
        return p.heard_within(now, 1500) && p.last().heartbeat_quiet_ms >= 0 &&
               p.last().heartbeat_quiet_ms < kNoHeartbeats / 3;
    });
}

// Somebody else leads by the state service, but has not been heard here for longer than a leader
// that ended would keep its key.
bool Node::leader_silent(Ms now) const {
    if (!leadership_.following() || !core_.view.leader || now - started_ < kLeaderSilent) {
        return false;
    }
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        if (core_.platform.peers[i].name == core_.view.leader->node) {
            return !peers_[i].heard_within(now, kLeaderSilent);
        }
    }
    return false;
}

// Neither the state service nor any other controller: what we know of the others is old.
bool Node::alone(Ms now) const {
    if (peers_.empty()) {
        return false;
    }
    if (now - std::max(started_, core_.state.last_reached()) < kAlone) {
        return false;
    }
    return std::none_of(peers_.begin(), peers_.end(),
                        [now](const PeerMonitor& p) { return p.heard_within(now, kAlone); });
}

void Node::heartbeat(Ms now, const HeartbeatRequest& q) {
    heartbeat_at_ = now;
    if (q.report.token > leadership_.known_token()) {
        leadership_.heard_token(now, q.report.token, "");
    }
    if (leader_) {
        leader_->heartbeat(now, q);
        return;
    }
    if (relay_.answer(now, q)) {
        return;
    }
    HeartbeatAnswer a;
    a.request = q.request;
    if (leadership_.leading()) {
        a.code = 503;  // elected, the cluster state is being built
    } else {
        a.code = 421;
        const std::string& leader = leadership_.known_leader();
        // One that may have ceased to lead long ago is not named.
        bool named = !leader.empty() && leader != core_.platform.node_name && !alone(now) &&
                     !(core_.may_write(kFeatureServices) && leader_silent(now));
        if (named) {
            a.leader = leader;
        }
    }
    core_.out.emplace_back(std::move(a));
}

void Node::send_peer_heartbeats(Ms now) {
    bool leader_known = leadership_.leading() || leadership_.following();
    peer_heartbeat_at_ = now + (leader_known ? kPeerInterval : kPeerIntervalWithoutLeader);
    ++sequence_;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        bool two_follow = leadership_.following() && !leadership_.known_leader().empty() &&
                          core_.platform.peers[i].name != leadership_.known_leader();
        if (two_follow && sequence_ % kFollowerShare != 0) {
            continue;
        }
        PeerMonitor& p = peers_[i];
        PeerHeartbeat f;
        f.node = core_.platform.node_name;
        f.incarnation = core_.platform.incarnation;
        f.sequence = sequence_;
        f.echo = p.last().sequence;
        f.echo_incarnation = p.last().incarnation;
        f.token = leadership_.known_token();
        f.leader = leadership_.known_leader();
        Ms reached = core_.state.last_reached();
        f.state_quiet_ms = reached < 0 ? -1 : now - reached;
        f.up_ms = now - started_;
        f.revision = core_.state.seen_revision();
        f.heartbeat_quiet_ms = heartbeat_at_ < 0 ? -1 : now - heartbeat_at_;
        p.sent(now, sequence_);
        core_.out.emplace_back(PeerSend{i, std::move(f)});
    }
}

void Node::hear(Ms now, std::size_t peer, const PeerHeartbeat& f) {
    if (peer >= peers_.size() || !peers_[peer].hear(now, f, core_.platform.incarnation)) {
        return;
    }
    if (f.token > 0) {
        leadership_.heard_token(now, f.token, f.leader);
    }
}

}  // namespace walkford
