// The simulation's clock, network and main loop.
#include "standin/world.hpp"

#include <algorithm>

#include "standin/entities.hpp"
#include "test_operator_settings.hpp"

namespace walkford::standin {

World::World(Options options)
    : options_(std::move(options)), rng_(options_.seed), injector_(*this) {
    zones_ = options_.zones;
    platform_settings_.zones = zones_;
    platform_settings_.teams = {{"red", {16, 1, 0}, {40, 4, 0}}, {"blue", {16, 2, 0}, {0, 0, 0}}};
    platform_settings_.report_s = kReportSeconds;
    platform_settings_.lease_s =
        options_.configured_lease_s > 0 ? options_.configured_lease_s : kRealLeaseSeconds;
    platform_settings_.gang_wait_s = kGangWaitSeconds;
    platform_settings_.gang_peer_s = kGangPeerSeconds;
    platform_settings_.cancel_s =
        options_.configured_cancel_s > 0 ? options_.configured_cancel_s : kCancelSeconds;
    platform_settings_.store_limits = {1000, 100, 4, 8};
    platform_settings_.cloud_requests_per_s = 10;
    platform_settings_.list_lag_s = 2;
    platform_settings_.start_latency_objectives = {{"l0", 10}};
    operator_settings_ = test_operator_settings();
    operator_settings_.lease_ttl_s = 3;
    operator_settings_.scale_out_interval_s = 2;
    operator_settings_.takeover_probe_s = 3;
    operator_settings_.unreported_release_s = 20;
    operator_settings_.silent_release_s = 5;
    operator_settings_.no_capacity_backoff_s = 3;
    operator_settings_.unacknowledged_release_s = options_.unacknowledged_release_s;
    operator_settings_.response_hold_s = 0.3;
    operator_settings_.idle_response_hold_s = 1.5;
    machine_type_names_ = {"small", "big"};
    operator_settings_.zone_failover = options_.zone_failover;
    machine_types_ = {{0, {8, 0, 32}, 50, 1, 0.4, 0.1, 4, {}},
                      {1, {32, 4, 128}, 50, 1, 4, 1, 5, {}}};
    state_ = std::make_unique<KeyValueStore>();
    state_->set_limits(platform_settings_.store_limits);
    state_->store(options_.stored);
    cloud_ = std::make_unique<Cloud>();
    cloud_->room_per_option = options_.cloud_machines_per_option;
    for (std::size_t i = 0; i < options_.controllers; ++i) {
        hosts_.push_back(std::make_unique<Host>());
    }
}

World::~World() = default;

void World::schedule(Ms when, std::function<void()> what) {
    queue_[{std::max(when, now_), next_event_number_++}] = std::move(what);
}
std::int64_t World::random_integer(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(rng_);
}
bool World::chance(double p) { return std::bernoulli_distribution(p)(rng_); }

Ms World::arrival_time(const std::string& from, const std::string& to) {
    for (const Cut& c : cuts_) {
        if (now_ >= c.until) {
            continue;
        }
        auto match = [&](const std::string& pattern, const std::string& name) {
            // "n*" matches any controller, "*" any host.
            return pattern == "*" || pattern == name ||
                   (pattern == "n*" && name.size() == 2 && name[0] == 'n');
        };
        bool there = match(c.a, from) && match(c.b, to);
        bool back = !c.one_way && match(c.a, to) && match(c.b, from);
        if (there || back) {
            return c.hold ? c.until + random_integer(1, 3000) : -1;
        }
    }
    if (chance(0.003)) {
        return -1;
    }
    return now_ + (chance(0.02) ? random_integer(20, 400) : random_integer(1, 8));
}

void World::run() {
    for (std::size_t i = 0; i < options_.controllers; ++i) {
        schedule(random_integer(0, 500), [this, i] { start_controller(i); });
    }
    if (options_.limits_lowered_at >= 0) {
        plan_lower_limits();
    }
    plan_users();
    plan_services();
    plan_work();
    plan_zone_losses();
    if (options_.rollout_at >= 0) {
        plan_rollout();
    }
    if (options_.faults) {
        plan_faults();
    }
    if (options_.copies.machine_restart_interval > 0) {
        plan_machine_restarts();
    }
    if (options_.outage_at >= 0) {
        schedule(options_.outage_at, [this] {
            state_->begin_outage(now_, options_.outage_duration);
            faults_end_at_ = now_ + options_.outage_duration;
        });
    }
    if (options_.leader_isolated_at >= 0) {
        schedule(options_.leader_isolated_at, [this] { isolate_leader(); });
    }
    if (options_.cancellation_gap_at >= 0) {
        schedule(options_.cancellation_gap_at, [this] { start_cancellation_gap(); });
    }
    run_periodic_checks();
    while (!queue_.empty() &&
           now_ < std::max(options_.duration, options_.recovery_period > 0
                                                  ? faults_end_at_ + options_.recovery_period
                                                  : 0)) {
        auto it = queue_.begin();
        now_ = it->first.first;
        auto what = std::move(it->second);
        queue_.erase(it);
        what();
    }
    check_all_jobs_served();
}

}  // namespace walkford::standin
