#include "coordination/controller/controller.hpp"

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
constexpr Ms kConfirmInterval = 1000;
constexpr Ms kLeaderSilent = 5000;  // longer than the leader's key outlives it
constexpr Ms kNoHeartbeats = 8000;  // a leader whom no worker reaches for so long gives up ...
constexpr Ms kOthersReachedFor = 3000;
constexpr Ms kStandBack = 15000;  // ... and leaves the next elections to others for so long
constexpr Ms kLetOthers = 3000;
constexpr Ms kAlone = 4000;
constexpr Ms kStayOut = 2500;
}  // namespace

Controller::Controller(PlatformSettings platform_settings, OperatorSettings operator_settings,
                       std::uint64_t seed)
    : context_(std::move(platform_settings), std::move(operator_settings), seed),
      watcher_(context_.store, context_.replica, context_.out,
               [this](Ms most) { return context_.jitter(most); }),
      leadership_(context_, watcher_),
      relay_(context_, watcher_),
      feature_level_(context_),
      users_(context_, watcher_),
      peers_(context_.platform_settings.peers.size()) {
    watcher_.set_watch_spacing(kFollowerWatchSpacing);
    watcher_.on_change = [this](Ms now, const std::string& key) { replica_changed(now, key); };
    leadership_.on_elected = [this](Ms now) {
        peer_heartbeat_at_ = now;  // a deposed leader that only peers reach hears of it at once
        watcher_.set_watch_spacing(kLeaderWatchSpacing);
        // The cluster state is built from a view that is newer than our own election.
        watcher_.barrier(now, [this, fencing_token = leadership_.fencing_token()](Ms at, bool ok) {
            if (!leadership_.leading() || leadership_.fencing_token() != fencing_token) {
                return;
            }
            if (!ok || context_.replica.revision() < fencing_token) {
                leadership_.depose(at, "the state could not be read after the election");
                return;
            }
            leader_ = std::make_unique<Leader>(context_, fencing_token, at);
            leader_->context().depose = [this](Ms, const char* why) {
                // Not at once: the caller is a part of the leader.
                depose_now_ = true;
                deposition_reason_ = why;
            };
            leader_->context().peer_heard = [this](Ms when, std::size_t peer, Ms span) {
                return peers_.at(peer).heard_within(when, span);
            };
            leader_->context().refresh = [this](Ms when) {
                watcher_.barrier(when, [](Ms, bool) {});
            };
            set_authority(at);
        });
    };
    leadership_.on_deposed = [this](Ms) {
        leader_.reset();
        watcher_.set_watch_spacing(kFollowerWatchSpacing);
    };
}

// When more comes at once than there is processor for: what keeps leases alive and proves the view
// goes first, then the workers' reports, then health checks and users.
int Controller::priority_of(const Input& input) {
    return std::visit(
        [](const auto& in) {
            using T = std::decay_t<decltype(in)>;
            if constexpr (std::is_same_v<T, StoreResponse> || std::is_same_v<T, PeerInput>) {
                return 0;
            } else if constexpr (std::is_same_v<T, HeartbeatRequest> ||
                                 std::is_same_v<T, WorkerResponse> ||
                                 std::is_same_v<T, CloudResponse>) {
                return 1;
            } else if constexpr (std::is_same_v<T, ReadyRequest>) {
                return 2;
            } else {
                return 3;
            }
        },
        input);
}

Outputs Controller::step(Ms now, const std::vector<Input>& inputs) {
    if (started_ < 0) {
        started_ = now;
    }
    std::vector<const Input*> ordered;
    ordered.reserve(inputs.size());
    for (const Input& input : inputs) {
        ordered.push_back(&input);
    }
    // Stable: messages of one sender keep their order.
    std::stable_sort(ordered.begin(), ordered.end(), [](const Input* a, const Input* b) {
        return priority_of(*a) < priority_of(*b);
    });
    // After a pause the lease and the view may have grown old: nothing is done on earlier rights.
    set_authority(now);
    for (const Input* input : ordered) {
        dispatch(now, *input);
        depose_if_asked(now);
    }
    tick(now);
    depose_if_asked(now);
    context_.store.pump(now, context_.out);
    context_.cloud.pump(now, context_.out);
    context_.out.emplace_back(WakeAt{wake_at(now)});
    Outputs out = std::move(context_.out);
    context_.out.clear();
    return out;
}

void Controller::dispatch(Ms now, const Input& input) {
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
                UserResponse a;
                a.request = in.request;
                a.code = ready(now) ? 200 : 503;
                a.error = a.code == 200 ? "" : "not ready";
                context_.out.emplace_back(std::move(a));
            } else if constexpr (std::is_same_v<T, HeartbeatRequest>) {
                heartbeat(now, in);
            } else if constexpr (std::is_same_v<T, StoreResponse>) {
                context_.store.reply(now, in);
            } else if constexpr (std::is_same_v<T, CloudResponse>) {
                context_.cloud.reply(now, in);
            } else if constexpr (std::is_same_v<T, WorkerResponse>) {
                context_.workers.reply(now, in);
            } else if constexpr (std::is_same_v<T, PeerInput>) {
                hear(now, in.peer, in.fact);
            }
        },
        input);
}

// A part of the leader found that its term must end: done here, where no part of it is on the
// stack.
void Controller::depose_if_asked(Ms now) {
    if (!depose_now_) {
        return;
    }
    depose_now_ = false;
    leadership_.depose(now, deposition_reason_.c_str());
    // Whoever gave up for a reason of its own lets others try first.
    leadership_.stand_back(now + (peers_.empty() ? 0 : kLetOthers));
}

// On a small controller a wake costs more than what is done in it: a follower at rest, with nothing
// asked and nothing due, wakes a few times a second. (They were 37% of such a node's processor.)
Ms Controller::wake_at(Ms now) const {
    if (!leadership_.following() || !users_.idle() || context_.store.queued() > 0) {
        return now + kTick;
    }
    Ms due = std::min({now + kIdleTick, peer_heartbeat_at_, watcher_.due()});
    return std::max(due, now + 1);
}

void Controller::replica_changed(Ms now, const std::string& key) {
    if (context_.replica.machine_types &&
        (context_.machine_types.empty() || key == keys::kMachineTypes)) {
        if (context_.machine_types.empty()) {
            context_.machine_types =
                decode_machine_types(*context_.replica.machine_types, context_.names);
        }
    }
    if (key.empty() || key.rfind(keys::kAnnouncements, 0) == 0) {
        feature_level_.replica_changed();
    }
    if (key == keys::kLeader || key.empty()) {
        leadership_.replica_changed(now);
    }
    if (!leader_) {
        return;
    }
    if (key.rfind(keys::kJobs, 0) == 0) {
        leader_->job_changed(now, key.substr(keys::kJobs.size()));
    } else if (key.empty()) {
        // The whole state was read again: any job may have changed.
        std::vector<std::string> ids;
        for (const auto& [id, job] : context_.replica.jobs()) {
            ids.push_back(id);
        }
        for (const Job& j : leader_->context().cluster.jobs) {
            if (j.alive && !context_.replica.job(j.spec.id)) {
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
Ms Controller::cancellations_known_until() {
    Ms own = watcher_.confirmed_at();
    if (own < 0 || peers_.empty()) {
        return own;
    }
    std::uint64_t held = context_.replica.revision();
    // What we told ourselves may not have come back by the watch before the outage began.
    if (held < context_.store.seen_revision()) {
        return own;
    }
    Ms all = kNever;
    for (PeerMonitor& p : peers_) {
        all = std::min(all, p.told_until(own, held));
    }
    return all;
}

void Controller::set_authority(Ms now) {
    if (!leader_) {
        return;
    }
    leader_->set_authority(leadership_.valid(now),
                           cancellations_known_until() + context_.cancel_span(),
                           watcher_.confirmed_at());
}

void Controller::tick(Ms now) {
    watcher_.tick(now);
    leadership_.tick(now);
    if (watcher_.ready()) {
        feature_level_.tick(now);
    }
    relay_.tick(now, leader_silent(now));
    users_.tick(now);
    if (leader_ && now >= barrier_at_) {
        // Proves every second that no cancellation was missed, whatever the watch does.
        barrier_at_ = now + kConfirmInterval;
        watcher_.barrier(now, [](Ms, bool) {});
    }
    set_authority(now);
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

bool Controller::ready(Ms now) const {
    return watcher_.ready() && !context_.machine_types.empty() && now >= unready_until_ &&
           !alone(now) && !context_.newer_than_supported();
}

// An outage that all nodes see takes no node out. One that is refused alone steps out: a peer tells
// that it is served.
bool Controller::refused_alone(Ms now) const {
    if (context_.store.refused() < 3 || now - context_.store.last_reached() < 1500) {
        return false;
    }
    return std::any_of(peers_.begin(), peers_.end(), [now](const PeerMonitor& p) {
        return p.heard_within(now, 1500) && p.last().store_quiet_ms >= 0 &&
               p.last().store_quiet_ms + (now - p.heard_at()) < 1500;
    });
}

// Cut off from its workers only, a leader would keep its lease while theirs run out.
bool Controller::out_of_reach(Ms now) {
    // (A new leader has yet to be found by them: its own silence as a follower says nothing.)
    if (!leader_ || now - std::max(heartbeat_at_, leader_->context().elected_at) < kNoHeartbeats ||
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

bool Controller::others_are_reached(Ms now) const {
    return std::any_of(peers_.begin(), peers_.end(), [now](const PeerMonitor& p) {
        return p.heard_within(now, 1500) && p.last().heartbeat_quiet_ms >= 0 &&
               p.last().heartbeat_quiet_ms < kNoHeartbeats / 3;
    });
}

// Somebody else leads by the state service, but has not been heard here for longer than a leader
// that ended would keep its key.
bool Controller::leader_silent(Ms now) const {
    if (!leadership_.following() || !context_.replica.leader || now - started_ < kLeaderSilent) {
        return false;
    }
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        if (context_.platform_settings.peers[i].name == context_.replica.leader->controller) {
            return !peers_[i].heard_within(now, kLeaderSilent);
        }
    }
    return false;
}

// Neither the state service nor any other controller: what we know of the others is old.
bool Controller::alone(Ms now) const {
    if (peers_.empty()) {
        return false;
    }
    if (now - std::max(started_, context_.store.last_reached()) < kAlone) {
        return false;
    }
    return std::none_of(peers_.begin(), peers_.end(),
                        [now](const PeerMonitor& p) { return p.heard_within(now, kAlone); });
}

void Controller::heartbeat(Ms now, const HeartbeatRequest& q) {
    heartbeat_at_ = now;
    if (q.worker_status.fencing_token > leadership_.known_fencing_token()) {
        leadership_.observe_fencing_token(now, q.worker_status.fencing_token, "");
    }
    if (leader_) {
        leader_->heartbeat(now, q);
        return;
    }
    if (relay_.answer(now, q)) {
        return;
    }
    HeartbeatResponse a;
    a.request = q.request;
    if (leadership_.leading()) {
        a.code = 503;  // elected, the cluster state is being built
    } else {
        a.code = 421;
        const std::string& leader = leadership_.known_leader();
        // One that may have ceased to lead long ago is not named.
        bool named = !leader.empty() && leader != context_.platform_settings.controller_name &&
                     !alone(now) && !(context_.may_write(kFeatureServices) && leader_silent(now));
        if (named) {
            a.leader = leader;
        }
    }
    context_.out.emplace_back(std::move(a));
}

void Controller::send_peer_heartbeats(Ms now) {
    bool leader_known = leadership_.leading() || leadership_.following();
    peer_heartbeat_at_ = now + (leader_known ? kPeerInterval : kPeerIntervalWithoutLeader);
    ++sequence_;
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        bool two_follow = leadership_.following() && !leadership_.known_leader().empty() &&
                          context_.platform_settings.peers[i].name != leadership_.known_leader();
        if (two_follow && sequence_ % kFollowerShare != 0) {
            continue;
        }
        PeerMonitor& p = peers_[i];
        PeerHeartbeat f;
        f.controller = context_.platform_settings.controller_name;
        f.incarnation = context_.platform_settings.incarnation;
        f.sequence = sequence_;
        f.echo = p.last().sequence;
        f.echo_incarnation = p.last().incarnation;
        f.fencing_token = leadership_.known_fencing_token();
        f.leader = leadership_.known_leader();
        Ms reached = context_.store.last_reached();
        f.store_quiet_ms = reached < 0 ? -1 : now - reached;
        f.up_ms = now - started_;
        f.revision = context_.store.seen_revision();
        f.heartbeat_quiet_ms = heartbeat_at_ < 0 ? -1 : now - heartbeat_at_;
        p.sent(now, sequence_);
        context_.out.emplace_back(PeerSend{i, std::move(f)});
    }
}

void Controller::hear(Ms now, std::size_t peer, const PeerHeartbeat& f) {
    if (peer >= peers_.size() ||
        !peers_[peer].hear(now, f, context_.platform_settings.incarnation)) {
        return;
    }
    if (f.fencing_token > 0) {
        leadership_.observe_fencing_token(now, f.fencing_token, f.leader);
    }
}

}  // namespace walkford
