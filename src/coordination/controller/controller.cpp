#include "coordination/controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/messages/http_status.hpp"

namespace walkford {

namespace {
constexpr Ms kTick = 50;
constexpr Ms kIdleTick = 250;
// Changes that arrive within this span share one response of the state service. A leader's replica
// must be close to what it wrote (see cancellations_known_until); a follower confirms its replica
// whenever a user asks.
constexpr Ms kLeaderWatchSpacing = 40;
constexpr Ms kFollowerWatchSpacing = 500;
constexpr Ms kConfirmInterval = 1000;
// How long a deposed leader leaves elections to others: one that no worker reaches ...
constexpr Ms kStandBackUnreachable = 15000;
// ... and one that resigned for another reason.
constexpr Ms kStandBackResigned = 3000;
constexpr Ms kUnreadyFor = 2500;

// When more arrives at once than there is processor for: what keeps leases alive and confirms the
// replica goes first, then workers, then health checks and users.
enum class InputPriority : std::uint8_t { liveness, workers, health_check, users };

InputPriority priority_of(const StoreResponse&) { return InputPriority::liveness; }
InputPriority priority_of(const PeerInput&) { return InputPriority::liveness; }
InputPriority priority_of(const HeartbeatRequest&) { return InputPriority::workers; }
InputPriority priority_of(const WorkerResponse&) { return InputPriority::workers; }
InputPriority priority_of(const CloudResponse&) { return InputPriority::workers; }
InputPriority priority_of(const ReadyRequest&) { return InputPriority::health_check; }
InputPriority priority_of(const SubmitRequest&) { return InputPriority::users; }
InputPriority priority_of(const PollRequest&) { return InputPriority::users; }
InputPriority priority_of(const CancelRequest&) { return InputPriority::users; }
InputPriority priority_of(const TickInput&) { return InputPriority::users; }

InputPriority priority_of(const Input& input) {
    return std::visit([](const auto& typed_input) { return priority_of(typed_input); }, input);
}

// Stable: messages of one sender keep their order.
std::vector<const Input*> by_priority(const std::vector<Input>& inputs) {
    std::vector<const Input*> ordered;
    ordered.reserve(inputs.size());
    for (const Input& input : inputs) {
        ordered.push_back(&input);
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const Input* left, const Input* right) {
        return priority_of(*left) < priority_of(*right);
    });
    return ordered;
}
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
      peer_heartbeats_(context_, leadership_, times_),
      reachability_(context_, leadership_, peer_heartbeats_, times_) {
    watcher_.set_watch_spacing(kFollowerWatchSpacing);
    watcher_.on_change = [this](Ms now, const std::string& key) { replica_changed(now, key); };
    leadership_.on_elected = [this](Ms now) { on_elected(now); };
    leadership_.on_deposed = [this](Ms) { on_deposed(); };
}

Outputs Controller::step(Ms now, const std::vector<Input>& inputs) {
    if (times_.started_at < 0) {
        times_.started_at = now;
    }
    // After a pause the lease and the replica may be out of date: nothing is done on the authority
    // of an earlier step.
    set_authority(now);
    for (const Input* input : by_priority(inputs)) {
        std::visit([&](const auto& typed_input) { handle(now, typed_input); }, *input);
        depose_if_requested(now);
    }
    tick(now);
    depose_if_requested(now);
    context_.store.pump(now, context_.out);
    context_.cloud.pump(now, context_.out);
    context_.out.emplace_back(WakeAt{wake_at(now)});
    Outputs out = std::move(context_.out);
    context_.out.clear();
    return out;
}

void Controller::handle(Ms now, const ReadyRequest& request) {
    UserResponse response;
    response.request = request.request;
    bool is_ready = ready(now);
    response.code = is_ready ? http_status::kOk : http_status::kServiceUnavailable;
    response.error = is_ready ? "" : "not ready";
    context_.out.emplace_back(std::move(response));
}

void Controller::handle(Ms now, const HeartbeatRequest& heartbeat) {
    times_.worker_heartbeat_received_at = now;
    std::uint64_t fencing_token = heartbeat.worker_status.fencing_token;
    if (fencing_token > leadership_.known_fencing_token()) {
        leadership_.observe_fencing_token(now, fencing_token, "");
    }
    if (leader_) {
        leader_->heartbeat(now, heartbeat);
        return;
    }
    if (relay_.answer(now, heartbeat)) {
        return;
    }
    redirect_worker(now, heartbeat);
}

void Controller::redirect_worker(Ms now, const HeartbeatRequest& heartbeat) {
    HeartbeatResponse response;
    response.request = heartbeat.request;
    if (leadership_.leading()) {
        // Elected, but the cluster state is still being built.
        response.code = http_status::kServiceUnavailable;
        context_.out.emplace_back(std::move(response));
        return;
    }
    response.code = http_status::kMisdirectedRequest;
    const std::string& leader = leadership_.known_leader();
    // A leader that may have ceased to lead long ago is not named.
    bool leader_is_current =
        !leader.empty() && leader != context_.platform_settings.controller_name &&
        !reachability_.isolated(now) &&
        !(context_.may_write(kFeatureServices) && reachability_.leader_silent(now));
    if (leader_is_current) {
        response.leader = leader;
    }
    context_.out.emplace_back(std::move(response));
}

void Controller::on_elected(Ms now) {
    // At once, so that a deposed leader that only peers reach learns of it.
    peer_heartbeats_.schedule(now);
    watcher_.set_watch_spacing(kLeaderWatchSpacing);
    watcher_.barrier(now,
                     [this, fencing_token = leadership_.fencing_token()](Ms at, bool confirmed) {
                         start_leader(at, fencing_token, confirmed);
                     });
}

void Controller::start_leader(Ms now, std::uint64_t fencing_token, bool confirmed) {
    if (!leadership_.leading() || leadership_.fencing_token() != fencing_token) {
        return;
    }
    if (!confirmed || context_.replica.revision() < fencing_token) {
        leadership_.depose(now, "the state could not be read after the election");
        return;
    }
    leader_ = std::make_unique<Leader>(context_, fencing_token, now);
    connect_leader(leader_->context());
    set_authority(now);
}

void Controller::connect_leader(LeaderContext& leader_context) {
    leader_context.depose = [this](Ms, const char* reason) {
        // Not at once: the caller is a module of the leader, which deposition destroys.
        depose_requested_ = true;
        deposition_reason_ = reason;
    };
    leader_context.peer_heard = [this](Ms now, std::size_t peer, Ms span) {
        return peer_heartbeats_.received_within(now, peer, span);
    };
    leader_context.refresh = [this](Ms now) { watcher_.barrier(now, [](Ms, bool) {}); };
}

void Controller::on_deposed() {
    leader_.reset();
    watcher_.set_watch_spacing(kFollowerWatchSpacing);
}

// Called where no module of the leader is on the stack.
void Controller::depose_if_requested(Ms now) {
    if (!depose_requested_) {
        return;
    }
    depose_requested_ = false;
    leadership_.depose(now, deposition_reason_.c_str());
    // A leader that resigned lets others try first.
    leadership_.stand_back(now + (peer_heartbeats_.no_peers() ? 0 : kStandBackResigned));
}

// On a small controller a wake-up costs more than what is done in it: an idle follower with no open
// request and nothing due wakes a few times a second. (Wake-ups were 37% of such a controller's
// processor time.)
Ms Controller::wake_at(Ms now) const {
    if (!leadership_.following() || !users_.idle() || context_.store.queued() > 0) {
        return now + kTick;
    }
    Ms due = std::min({now + kIdleTick, peer_heartbeats_.due(), watcher_.due()});
    return std::max(due, now + 1);
}

void Controller::replica_changed(Ms now, const std::string& key) {
    bool whole_snapshot = key.empty();
    if (context_.machine_types.empty()) {
        load_machine_types();
    }
    if (whole_snapshot || key.rfind(keys::kAnnouncements, 0) == 0) {
        feature_level_.replica_changed();
    }
    if (whole_snapshot || key == keys::kLeader) {
        leadership_.replica_changed(now);
    }
    if (!leader_) {
        return;
    }
    if (whole_snapshot) {
        notify_leader_of_all_jobs(now);
    } else if (key.rfind(keys::kJobs, 0) == 0) {
        leader_->job_changed(now, key.substr(keys::kJobs.size()));
    }
}

void Controller::load_machine_types() {
    if (context_.replica.machine_types) {
        context_.machine_types =
            decode_machine_types(*context_.replica.machine_types, context_.names);
    }
}

// A snapshot does not tell which jobs changed: any may have, and some may be gone.
void Controller::notify_leader_of_all_jobs(Ms now) {
    std::vector<std::string> job_ids;
    for (const auto& [job_id, job] : context_.replica.jobs()) {
        job_ids.push_back(job_id);
    }
    for (const Job& job : leader_->context().cluster.jobs) {
        if (job.alive && !context_.replica.job(job.spec.id)) {
            job_ids.push_back(job.spec.id);
        }
    }
    for (const std::string& job_id : job_ids) {
        leader_->job_changed(now, job_id);
    }
}

// The last moment up to which our replica certainly includes every cancellation that any controller
// acknowledged to a user: that of our own last confirmed read, or the one that the heartbeats of
// all peers show. Whatever a process answers rests on what the state service answered it, so one
// that has been answered nothing newer than our replica holds has acknowledged nothing that we
// don't know. (docs/design.md has the proof.)
Ms Controller::cancellations_known_until() {
    Ms confirmed_at = watcher_.confirmed_at();
    if (confirmed_at < 0 || peer_heartbeats_.no_peers()) {
        return confirmed_at;
    }
    std::uint64_t replica_revision = context_.replica.revision();
    // What we acknowledged ourselves may not have come back by the watch before an outage began.
    if (replica_revision < context_.store.seen_revision()) {
        return confirmed_at;
    }
    return peer_heartbeats_.responses_covered_until(confirmed_at, replica_revision);
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
    relay_.tick(now, reachability_.leader_silent(now));
    users_.tick(now);
    confirm_replica(now);
    set_authority(now);
    stand_down_if_workers_unreachable(now);
    if (leader_) {
        leader_->tick(now);
    }
    peer_heartbeats_.tick(now);
    update_readiness(now);
}

// Shows a leader every second that no cancellation was missed, whatever the watch does.
void Controller::confirm_replica(Ms now) {
    if (leader_ && now >= confirm_at_) {
        confirm_at_ = now + kConfirmInterval;
        watcher_.barrier(now, [](Ms, bool) {});
    }
}

void Controller::stand_down_if_workers_unreachable(Ms now) {
    std::optional<Ms> elected_at;
    if (leader_) {
        elected_at = leader_->context().elected_at;
    }
    if (reachability_.workers_reach_only_others(now, elected_at)) {
        leadership_.depose(now, "no worker reaches us, others are reached");
        leadership_.stand_back(now + kStandBackUnreachable);
    }
}

void Controller::update_readiness(Ms now) {
    // The load balancer waits twice as long each time a controller leaves: once out of service, it
    // stays out for a while.
    if (reachability_.store_refuses_only_us(now)) {
        unready_until_ = now + kUnreadyFor;
    }
    bool is_ready = ready(now);
    if (is_ready != was_ready_) {
        was_ready_ = is_ready;
        spdlog::info("{} for users", is_ready ? "ready" : "not ready");
    }
}

bool Controller::ready(Ms now) const {
    return watcher_.ready() && !context_.machine_types.empty() && now >= unready_until_ &&
           !reachability_.isolated(now) && !context_.newer_than_supported();
}

}  // namespace walkford
