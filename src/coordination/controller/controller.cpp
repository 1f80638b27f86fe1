#include "coordination/controller/controller.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/messages/http_status.hpp"

namespace walkford {

namespace {
constexpr Ms kTickInterval = 50;
constexpr Ms kIdleTickInterval = 250;
// The store returns the changes made within this span in one response. A leader's replica must lag
// only briefly behind the leader's own writes (see cancellations_known_until). A follower's replica
// may lag longer, because a follower confirms it for every user request that needs it.
constexpr Ms kLeaderWatchSpacing = 40;
constexpr Ms kFollowerWatchSpacing = 500;
constexpr Ms kConfirmInterval = 1000;
// How long a leader that stepped down starts no campaign, so that another controller is elected:
// after it stepped down because no worker reaches it, and after it resigned for another reason.
constexpr Ms kNoCampaignAfterUnreachable = 15000;
constexpr Ms kNoCampaignAfterResignation = 3000;
constexpr Ms kUnreadyDuration = 2500;

// The order in which inputs are handled under overload. Inputs that keep leases alive or confirm
// the replica come first, then those of workers and the cloud, then health checks, then user
// requests.
enum class InputPriority : std::uint8_t { liveness, workers, health_check, users };

InputPriority priority_of(const StoreResponse&) { return InputPriority::liveness; }
InputPriority priority_of(const IncomingPeerHeartbeat&) { return InputPriority::liveness; }
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

// Sorts the inputs by priority. The sort is stable, so messages of one sender keep their order.
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
    // After a pause of the process, the lease may have expired and the replica may be out of date.
    // The leader's authority is therefore recomputed before any input is handled.
    set_authority(now);
    for (const Input* input : by_priority(inputs)) {
        std::visit([&](const auto& typed_input) { handle(now, typed_input); }, *input);
        depose_if_requested(now);
    }
    tick(now);
    depose_if_requested(now);
    context_.store.send_queued(now, context_.out);
    context_.cloud.send_queued(now, context_.out);
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
        // This controller has been elected but is still building the cluster state.
        response.code = http_status::kServiceUnavailable;
        context_.out.emplace_back(std::move(response));
        return;
    }
    response.code = http_status::kMisdirectedRequest;
    const std::string& leader = leadership_.known_leader();
    // If the known leader may have been replaced long ago, it is not named.
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
    // Heartbeats are sent at once, so that an earlier leader that only its peers reach learns of
    // the higher fencing token.
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
        leadership_.depose(now, "the store could not be read after the election");
        return;
    }
    leader_ = std::make_unique<Leader>(context_, fencing_token, now);
    connect_leader(leader_->context());
    set_authority(now);
}

void Controller::connect_leader(LeaderContext& leader_context) {
    leader_context.depose = [this](Ms, const char* reason) {
        // The caller is a module of the leader, which deposition destroys. The request is therefore
        // only recorded here and executed by depose_if_requested.
        depose_requested_ = true;
        deposition_reason_ = reason;
    };
    leader_context.peer_heard_within = [this](Ms now, std::size_t peer, Ms span) {
        return peer_heartbeats_.received_within(now, peer, span);
    };
    leader_context.refresh_replica = [this](Ms now) { watcher_.barrier(now, [](Ms, bool) {}); };
}

void Controller::on_deposed() {
    leader_.reset();
    watcher_.set_watch_spacing(kFollowerWatchSpacing);
}

// Must be called while no function of the leader is on the call stack, because it may destroy the
// leader.
void Controller::depose_if_requested(Ms now) {
    if (!depose_requested_) {
        return;
    }
    depose_requested_ = false;
    leadership_.depose(now, deposition_reason_.c_str());
    // Gives the other controllers time to be elected first.
    leadership_.postpone_campaign_until(
        now + (peer_heartbeats_.no_peers() ? 0 : kNoCampaignAfterResignation));
}

// On a small controller, a wake-up costs more than the work done in it; wake-ups took 37% of the
// CPU time of such a controller. An idle follower, with no open request and no queued transaction,
// therefore wakes only when something is due or a few times per second.
Ms Controller::wake_at(Ms now) const {
    if (!leadership_.following() || !users_.idle() || context_.store.queued() > 0) {
        return now + kTickInterval;
    }
    Ms due = std::min({now + kIdleTickInterval, peer_heartbeats_.due(), watcher_.due()});
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
        StoredMachineTypes stored =
            decode_machine_types(*context_.replica.machine_types, context_.names);
        context_.machine_types = std::move(stored.machine_types);
        context_.machine_types_complete = stored.complete;
    }
}

// A snapshot does not show which jobs have changed or were deleted, so all jobs in the snapshot and
// all jobs in the cluster state are reported as changed.
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

// Returns the latest time up to which this controller's replica is known to include every
// cancellation that any controller has acknowledged to a user. That is the time of this
// controller's last confirmed read, or the time shown by the heartbeats of all peers if that is
// later. A controller acknowledges a cancellation only on a response of the store. So a peer that
// has seen no revision newer than this replica's has acknowledged no cancellation that the replica
// lacks. (docs/design.md has the proof.)
Ms Controller::cancellations_known_until() {
    Ms confirmed_at = watcher_.confirmed_at();
    if (confirmed_at < 0 || peer_heartbeats_.no_peers()) {
        return confirmed_at;
    }
    std::uint64_t replica_revision = context_.replica.revision();
    // The store's watch may not have returned this controller's own latest writes before an outage
    // began, so they may be missing from the replica.
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
                           cancellations_known_until() + context_.heartbeat_answer_window(),
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
    step_down_if_workers_unreachable(now);
    if (leader_) {
        leader_->tick(now);
    }
    peer_heartbeats_.tick(now);
    update_readiness(now);
}

// Confirms once per second by a read barrier that the leader's replica has missed no cancellation,
// even if the watch fails.
void Controller::confirm_replica(Ms now) {
    if (leader_ && now >= confirm_at_) {
        confirm_at_ = now + kConfirmInterval;
        watcher_.barrier(now, [](Ms, bool) {});
    }
}

void Controller::step_down_if_workers_unreachable(Ms now) {
    std::optional<Ms> elected_at;
    if (leader_) {
        elected_at = leader_->context().elected_at;
    }
    if (reachability_.workers_reach_only_others(now, elected_at)) {
        leadership_.depose(now, "no worker reaches this controller, but workers reach its peers");
        leadership_.postpone_campaign_until(now + kNoCampaignAfterUnreachable);
    }
}

void Controller::update_readiness(Ms now) {
    // The load balancer doubles its waiting time each time a controller goes out of service.
    // Frequent changes are avoided: a controller stays out of service for at least
    // kUnreadyDuration.
    if (reachability_.store_refuses_only_us(now)) {
        unready_until_ = now + kUnreadyDuration;
    }
    bool is_ready = ready(now);
    if (is_ready != was_ready_) {
        was_ready_ = is_ready;
        spdlog::info("{} to serve user requests", is_ready ? "ready" : "not ready");
    }
}

bool Controller::ready(Ms now) const {
    return watcher_.ready() && !context_.machine_types.empty() && now >= unready_until_ &&
           !reachability_.isolated(now) && !context_.cluster_needs_newer_version();
}

}  // namespace walkford
