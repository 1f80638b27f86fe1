// Rolling upgrade of the controllers, services submitted after it, and lowered store limits.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

namespace {
constexpr Ms kUpgradeInterval = 6000;
constexpr StoreLimits kLowerLimits{700, 60, 1, 4};
}  // namespace

// Stops the controllers one by one in random order; each restarts with the new version. A
// controller that restarts earlier for another reason comes back with the old version.
void World::plan_rollout() {
    std::vector<std::size_t> order(options_.controllers);
    for (std::size_t i = 0; i < options_.controllers; ++i) {
        order[i] = i;
    }
    std::shuffle(order.begin(), order.end(), rng_);
    if (options_.one_controller_stays_old) {
        order.pop_back();
    }
    Ms when = options_.rollout_at;
    for (std::size_t i : order) {
        schedule(when, [this, i] {
            hosts_[i]->upgraded = true;
            ++upgraded;
            if (hosts_[i]->controller) {
                crash_controller(i);
            }
            schedule(now_ + random_integer(50, 6000), [this, i] {
                if (!hosts_[i]->controller) {
                    start_controller(i);
                }
            });
        });
        when += kUpgradeInterval;
    }
}

std::uint32_t World::feature_level(std::size_t i) const {
    return options_.rollout_at < 0 || hosts_[i]->upgraded ? kFeatureNewest : kFeatureNone;
}

void World::plan_lower_limits() {
    platform_settings_.next_store_limits = kLowerLimits;
    schedule(options_.limits_lowered_at, [this] { state_->set_limits(kLowerLimits); });
}

void World::plan_services() {
    Ms from = options_.rollout_at < 0
                  ? 500
                  : options_.rollout_at + static_cast<Ms>(options_.controllers) * kUpgradeInterval;
    for (int n = 0; n < options_.services; ++n) {
        auto job = std::make_unique<Job>();
        JobSpec& spec = job->spec;
        spec.id = "j-7" + std::to_string(100000 + n);
        spec.shape = JobShape::service;
        spec.tasks = static_cast<std::uint32_t>(random_integer(1, 4));
        spec.priority = Priority::production;
        spec.task_resources = {1, 0, 2};
        spec.spread = chance(0.5);
        spec.spot = chance(0.3);
        spec.image_gb = 1;
        spec.deadline_s = -1;
        job->team = "blue";
        job->done.assign(spec.tasks, false);
        job->progress.assign(spec.tasks, 0);
        Ms when = random_integer(from, std::max(from + 1000, options_.duration * 7 / 10));
        job->give_up = when + 60000;
        std::string id = spec.id;
        jobs_[id] = std::move(job);
        schedule(when, [this, id] { submit(id); });
        if (chance(0.3)) {
            schedule(when + random_integer(5000, 60000), [this, id] { cancel(id); });
        }
    }
}

// Returns the number of running replicas of the service.
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
