// A change of version while the controllers serve, and what comes with it: services that users
// submit once it is over, and limits of the state service that fall.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

namespace {
constexpr Ms kBetweenUpgrades = 6000;
constexpr StoreLimits kLowerLimits{700, 60, 1, 4};
}  // namespace

// The controllers end one after the other, in any order, and come back with the new version. One
// that ends before its turn, for whatever reason, comes back with the old one.
void World::plan_rollout() {
    std::vector<std::size_t> order(o_.controllers);
    for (std::size_t i = 0; i < o_.controllers; ++i) {
        order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), rng_);
    if (o_.one_stays_old) {
        order.pop_back();
    }
    Ms when = o_.rollout_at;
    for (std::size_t i : order) {
        at(when, [this, i] {
            hosts_[i]->upgraded = true;
            ++upgraded;
            if (hosts_[i]->controller) {
                crash_controller(i);
            }
            at(now_ + pick(50, 6000), [this, i] {
                if (!hosts_[i]->controller) {
                    start_controller(i);
                }
            });
        });
        when += kBetweenUpgrades;
    }
}

std::uint32_t World::feature_level(std::size_t i) const {
    return o_.rollout_at < 0 || hosts_[i]->upgraded ? kFeatureNewest : kFeatureNone;
}

void World::plan_lower_limits() {
    platform_settings_.next_store_limits = kLowerLimits;
    at(o_.limits_fall_at, [this] { state_->set_limits(kLowerLimits); });
}

void World::plan_services() {
    Ms from = o_.rollout_at < 0
                  ? 500
                  : o_.rollout_at + static_cast<Ms>(o_.controllers) * kBetweenUpgrades;
    for (int n = 0; n < o_.services; ++n) {
        auto job = std::make_unique<Job>();
        JobSpec& s = job->spec;
        s.id = "j-7" + std::to_string(100000 + n);
        s.shape = JobShape::service;
        s.tasks = static_cast<std::uint32_t>(pick(1, 4));
        s.priority = Priority::production;
        s.task_resources = {1, 0, 2};
        s.spread = chance(0.5);
        s.spot = chance(0.3);
        s.image_gb = 1;
        s.deadline_s = -1;
        job->team = "blue";
        job->done.assign(s.tasks, false);
        job->progress.assign(s.tasks, 0);
        Ms when = pick(from, std::max(from + 1000, o_.duration * 7 / 10));
        job->give_up = when + 60000;
        std::string id = s.id;
        jobs_[id] = std::move(job);
        at(when, [this, id] { submit(id); });
        if (chance(0.3)) {
            at(when + pick(5000, 60000), [this, id] { cancel(id); });
        }
    }
}

// How many replicas of the service run.
std::size_t World::replicas_up(const std::string& id) const {
    std::size_t up = 0;
    for (const auto& [name, worker] : workers_) {
        up += static_cast<std::size_t>(
            std::count_if(worker->tasks.begin(), worker->tasks.end(), [&](const auto& task) {
                return task.second.job == id && task.second.state == TaskState::running;
            }));
    }
    return up;
}

}  // namespace walkford::standin
