// Scenarios that individual tests select, and operations shared with the faults.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::cut_link(const std::string& a, const std::string& b, Ms span, bool hold, bool one_way) {
    // Expired cuts are removed because every message checks all of them.
    std::erase_if(cuts_, [this](const Cut& c) { return now_ >= c.until; });
    cuts_.push_back({a, b, now_ + span, hold, one_way});
    faults_end_at_ = std::max(faults_end_at_, now_ + span);
}

// The machine is back at once with a new session and no tasks. In half of the cases it has lost its
// fencing token.
void World::reboot(const std::string& machine) {
    Worker& worker = *workers_.at(machine);
    auto tasks = std::move(worker.tasks);
    worker.tasks.clear();
    ++worker.incarnation;
    ++worker.session;
    forget_images(worker);
    if (chance(0.5)) {
        worker.fencing_token = 0;
    }
    worker.lease_from = now_;
    hasten_heartbeat(worker);
    for (auto& [key, running_task] : tasks) {
        if (running_task.active) {
            end_remaining_gang_members(running_task.job, running_task.attempt);
        }
    }
}

std::size_t World::leader_or(std::size_t otherwise) const {
    for (std::size_t k = 0; k < options_.controllers; ++k) {
        if (hosts_[k]->controller && hosts_[k]->controller->leading()) {
            return k;
        }
    }
    return otherwise;
}

void World::restart_controller(std::size_t i, Ms least, Ms most) {
    if (!hosts_[i]->controller) {
        return;
    }
    crash_controller(i);
    schedule(now_ + random_integer(least, most), [this, i] {
        if (!hosts_[i]->controller) {
            start_controller(i);
        }
    });
}

void World::isolate_leader() {
    constexpr Ms kSpan = 100000;
    cloud_->out_until = now_ + kSpan;  // otherwise the other side would return the machines
    for (std::size_t i = 0; i < options_.controllers; ++i) {
        bool leads = hosts_[i]->controller && hosts_[i]->controller->leading();
        std::string controller = "n" + std::to_string(i);
        if (leads) {
            cut_link(controller, "state", kSpan, false);
            cut_link(controller, "cloud", kSpan, false);
            cut_link(controller, "users", kSpan, false);
            for (std::size_t k = 0; k < options_.controllers; ++k) {
                cut_link(controller, "n" + std::to_string(k), kSpan, false);
            }
        } else {
            for (auto& [name, worker] : workers_) {
                cut_link(name, controller, kSpan, false);
            }
        }
    }
}

void World::start_cancellation_gap() {
    for (std::size_t i = 0; i < options_.controllers; ++i) {
        if (!hosts_[i]->controller || !hosts_[i]->controller->leading()) {
            continue;
        }
        state_->refuse("n" + std::to_string(i), now_ + 14000);
        in_gap_ = true;
    }
    for (const auto& [id, job] : jobs_) {
        if (job->accepted_reported_at < 0 || job->done_reported_at >= 0 || job->cancel_requested) {
            continue;
        }
        schedule(now_ + random_integer(0, 1500), [this, id = id] { cancel(id); });
    }
    schedule(now_ + 2500, [this] { start_gap_outage(); });  // before the leader's lease expires
}

void World::start_gap_outage() {
    if (!in_gap_) {
        return;
    }
    in_gap_ = false;
    constexpr Ms kSpan = 45000;
    state_->begin_outage(now_, kSpan);
    faults_end_at_ = std::max(faults_end_at_, now_ + kSpan);
    if (!options_.gap_restarts_followers) {
        return;
    }
    for (std::size_t i = 0; i < options_.controllers; ++i) {
        if (!hosts_[i]->controller || hosts_[i]->controller->leading()) {
            continue;
        }
        schedule(now_ + random_integer(0, 4000), [this, i] {
            ++restarted_in_gap;
            restart_controller(i, 50, 400);
        });
    }
}

void World::plan_faults() {
    Ms when = 8000;
    while (when < options_.duration * 8 / 10) {
        schedule(when, [this] { injector_.inject(options_.only); });
        when += random_integer(500, 14000);
    }
}

}  // namespace walkford::standin
