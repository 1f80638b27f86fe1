// The simulated world: its clock, its network and the course of a run.
#include "standin/world.hpp"

#include <algorithm>

#include "standin/entities.hpp"
#include "test_operator_settings.hpp"

namespace walkford::standin {

World::World(Options options) : o_(std::move(options)), rng_(o_.seed), injector_(*this) {
    zones_ = o_.zones;
    platform_settings_.zones = zones_;
    platform_settings_.teams = {{"red", {16, 1, 0}, {40, 4, 0}}, {"blue", {16, 2, 0}, {0, 0, 0}}};
    platform_settings_.report_s = kReport;
    platform_settings_.lease_s = o_.told_lease_s > 0 ? o_.told_lease_s : kRealLease;
    platform_settings_.gang_wait_s = kGangWait;
    platform_settings_.gang_peer_s = kGangPeer;
    platform_settings_.cancel_s = o_.told_cancel_s > 0 ? o_.told_cancel_s : kCancel;
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
    operator_settings_.unacknowledged_release_s = o_.unacknowledged_release_s;
    operator_settings_.response_hold_s = 0.3;
    operator_settings_.idle_response_hold_s = 1.5;
    machine_type_names_ = {"small", "big"};
    operator_settings_.zone_failover = o_.zone_failover;
    machine_types_ = {{0, {8, 0, 32}, 50, 1, 0.4, 0.1, 4, {}},
                      {1, {32, 4, 128}, 50, 1, 4, 1, 5, {}}};
    state_ = std::make_unique<KeyValueStore>();
    state_->set_limits(platform_settings_.store_limits);
    state_->store(o_.stored);
    cloud_ = std::make_unique<Cloud>();
    cloud_->room_per_option = o_.cloud_room;
    for (std::size_t i = 0; i < o_.controllers; ++i) {
        hosts_.push_back(std::make_unique<Host>());
    }
}

World::~World() = default;

void World::at(Ms when, std::function<void()> what) {
    queue_[{std::max(when, now_), order_++}] = std::move(what);
}
std::int64_t World::pick(std::int64_t least, std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(least, most)(rng_);
}
bool World::chance(double p) { return std::bernoulli_distribution(p)(rng_); }

Ms World::path(const std::string& from, const std::string& to) {
    for (const Cut& c : cuts_) {
        if (now_ >= c.until) {
            continue;
        }
        auto match = [&](const std::string& pattern, const std::string& name) {
            // "n*": any controller.
            return pattern == "*" || pattern == name ||
                   (pattern == "n*" && name.size() == 2 && name[0] == 'n');
        };
        bool there = match(c.a, from) && match(c.b, to);
        bool back = !c.one_way && match(c.a, to) && match(c.b, from);
        if (there || back) {
            return c.hold ? c.until + pick(1, 3000) : -1;
        }
    }
    if (chance(0.003)) {
        return -1;
    }
    return now_ + (chance(0.02) ? pick(20, 400) : pick(1, 8));
}

void World::run() {
    for (std::size_t i = 0; i < o_.controllers; ++i) {
        at(pick(0, 500), [this, i] { start_controller(i); });
    }
    if (o_.limits_fall_at >= 0) {
        plan_lower_limits();
    }
    plan_users();
    plan_services();
    plan_work();
    plan_zone_losses();
    if (o_.rollout_at >= 0) {
        plan_rollout();
    }
    if (o_.faults) {
        plan_faults();
    }
    if (o_.outage_at >= 0) {
        at(o_.outage_at, [this] {
            state_->begin_outage(now_, o_.outage_for);
            well_since_ = now_ + o_.outage_for;
        });
    }
    if (o_.split_at >= 0) {
        at(o_.split_at, [this] { split(); });
    }
    if (o_.gap_at >= 0) {
        at(o_.gap_at, [this] { gap(); });
    }
    sweep();
    while (!queue_.empty() &&
           now_ < std::max(o_.duration, o_.calm > 0 ? well_since_ + o_.calm : 0)) {
        auto it = queue_.begin();
        now_ = it->first.first;
        auto what = std::move(it->second);
        queue_.erase(it);
        what();
    }
    last_look();
}

}  // namespace walkford::standin
