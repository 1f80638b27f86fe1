// Scenarios of the simulated world that single tests ask for, and what they and faults are made of.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::cut(const std::string& a, const std::string& b, Ms span, bool hold, bool one_way) {
    // Every message looks at all of them.
    std::erase_if(cuts_, [this](const Cut& c) { return now_ >= c.until; });
    cuts_.push_back({a, b, now_ + span, hold, one_way});
    well_since_ = std::max(well_since_, now_ + span);
}

// The machine is back at once: a new session, no tasks, perhaps no memory of any token.
void World::reboot(const std::string& machine) {
    Worker& w = *workers_.at(machine);
    auto tasks = std::move(w.tasks);
    w.tasks.clear();
    ++w.incarnation;
    forget_images(w);
    if (chance(0.5)) {
        w.fencing_token = 0;
    }
    w.lease_from = now_;
    changed(w);
    for (auto& [key, r] : tasks) {
        if (r.on) {
            gang_lost(r.job, r.attempt);
        }
    }
}

std::size_t World::leader_or(std::size_t otherwise) const {
    for (std::size_t k = 0; k < o_.controllers; ++k) {
        if (hosts_[k]->controller && hosts_[k]->controller->leading()) {
            return k;
        }
    }
    return otherwise;
}

void World::restart(std::size_t i, Ms least, Ms most) {
    if (!hosts_[i]->controller) {
        return;
    }
    crash_controller(i);
    at(now_ + pick(least, most), [this, i] {
        if (!hosts_[i]->controller) {
            start_controller(i);
        }
    });
}

void World::split() {
    constexpr Ms kSpan = 100000;
    cloud_->out_until = now_ + kSpan;  // or the machines would be given back from the other side
    for (std::size_t i = 0; i < o_.controllers; ++i) {
        bool leads = hosts_[i]->controller && hosts_[i]->controller->leading();
        std::string controller = "n" + std::to_string(i);
        if (leads) {
            cut(controller, "state", kSpan, false);
            cut(controller, "cloud", kSpan, false);
            cut(controller, "users", kSpan, false);
            for (std::size_t k = 0; k < o_.controllers; ++k) {
                cut(controller, "n" + std::to_string(k), kSpan, false);
            }
        } else {
            for (auto& [name, w] : workers_) {
                cut(name, controller, kSpan, false);
            }
        }
    }
}

void World::gap() {
    for (std::size_t i = 0; i < o_.controllers; ++i) {
        if (!hosts_[i]->controller || !hosts_[i]->controller->leading()) {
            continue;
        }
        state_->refuse("n" + std::to_string(i), now_ + 14000);
        in_gap_ = true;
    }
    for (const auto& [id, j] : jobs_) {
        if (j->accepted_told < 0 || j->done_told >= 0 || j->cancel_asked) {
            continue;
        }
        at(now_ + pick(0, 1500), [this, id = id] { cancel(id); });
    }
    at(now_ + 2500, [this] { gap_outage(); });  // before the leader's lease is over
}

void World::gap_outage() {
    if (!in_gap_) {
        return;
    }
    in_gap_ = false;
    constexpr Ms kSpan = 45000;
    state_->begin_outage(now_, kSpan);
    well_since_ = std::max(well_since_, now_ + kSpan);
    if (!o_.gap_restarts) {
        return;
    }
    for (std::size_t i = 0; i < o_.controllers; ++i) {
        if (!hosts_[i]->controller || hosts_[i]->controller->leading()) {
            continue;
        }
        at(now_ + pick(0, 4000), [this, i] {
            ++gap_restarted;
            restart(i, 50, 400);
        });
    }
}

void World::plan_faults() {
    Ms t = 8000;
    while (t < o_.duration * 8 / 10) {
        at(t, [this] { injector_.inject(o_.only); });
        t += pick(500, 14000);
    }
}

}  // namespace walkford::standin
