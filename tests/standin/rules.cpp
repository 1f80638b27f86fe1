// The rule checker: it looks only at the records of the simulated world, never into a controller.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::broken(const std::string& rule, const std::string& what) {
    if (violations.size() < 20) {
        violations.push_back(rule + ": " + what + " at " + std::to_string(now_));
    }
}

void World::check_start(const Worker& w, const Running& r) {
    const Job& j = *jobs_.at(r.job);
    std::string who = r.job + "/" + std::to_string(r.task);
    std::map<std::string, std::uint32_t> zones;
    Resources used = j.spec.task_resources;
    for (const auto& [name, other] : workers_) {
        for (const auto& [key, t] : other->tasks) {
            if (!t.on) {
                continue;
            }
            const Job& oj = *jobs_.at(t.job);
            if (oj.team == j.team) {
                used += oj.spec.task_resources;
            }
            if (t.job != r.job) {
                continue;
            }
            ++zones[other->zone];
            if (t.task == r.task) {
                broken("ran_twice", who + " on " + w.name + " while on " + name);
            }
        }
    }
    for (const Team& t : platform_settings_.teams) {
        if (t.name != j.team) {
            continue;
        }
        if ((t.quota.cpus > 0 && used.cpus > t.quota.cpus + 1e-6) ||
            (t.quota.gpus > 0 && used.gpus > t.quota.gpus + 1e-6)) {
            broken("quota", "team " + t.name);
        }
    }
    bool machine_type_ok = j.any_machine_type ||
                           std::find(j.machine_types.begin(), j.machine_types.end(),
                                     machine_type_names_[w.machine_type]) != j.machine_types.end();
    if (!machine_type_ok || (!j.zone.empty() && j.zone != w.zone) || (w.spot && !j.spec.spot)) {
        broken("wrong_place", who + " on " + w.name);
    }
    if (j.spec.one_zone && !zones.empty() && (zones.size() > 1 || !zones.count(w.zone))) {
        broken("wrong_place", who + " not in its job's zone");
    }
    if (j.spec.spread && zones[w.zone] + 1 > j.spec.max_tasks_per_zone()) {
        broken("wrong_place", who + " too many in a zone");
    }
    // One whose start command was on its way may start, until its time is over.
    starts_after_cancel += j.cancel_told >= 0;
    if (j.cancel_told >= 0 && now_ > j.cancel_told + to_ms(kCancel)) {
        broken("ran_cancelled", who + " starts");
    }
}

void World::sweep() {
    for (auto& [name, w] : workers_) {
        if (now_ > w->lease_from + to_ms(kRealLease)) {
            // The lease is over: all tasks are killed and forgotten.
            auto tasks = std::move(w->tasks);
            leases_over += tasks.empty() ? 0 : 1;
            w->tasks.clear();
            forget_images(*w);
            ++w->incarnation;
            w->lease_from = now_;
            changed(*w);
            for (auto& [key, r] : tasks) {
                if (r.on) {
                    gang_lost(r.job, r.attempt);
                }
            }
        }
        for (auto& [key, t] : w->tasks) {
            const Job& j = *jobs_.at(t.job);
            if (t.on && j.cancel_told >= 0 && now_ > j.cancel_told + to_ms(kCancel)) {
                broken("ran_cancelled", t.job + " on " + name);
            }
        }
    }
    std::erase_if(cuts_, [&](const Cut& c) { return now_ > c.until; });
    check_waits();
    at(now_ + 100, [this] { sweep(); });
}

// Once the troubles are over, no task waits 90 s while a machine that fits has room and its team is
// under its limit. (Gangs need room for all at once, which is left to not_served.)
void World::check_waits() {
    constexpr Ms kLongestWait = 90000;
    constexpr Ms kEvery = 1000;
    if (o_.calm <= 0 || now_ < waits_checked_ + kEvery) {
        return;
    }
    waits_checked_ = now_;
    for (auto& [id, job] : jobs_) {
        bool gang = job->spec.starts_together();
        bool over = job->cancel_asked || job->accepted_told < 0 || job->all_done();
        if (gang || over || !waits_beside_room(*job)) {
            job->fits_since = -1;
            continue;
        }
        if (job->fits_since < 0) {
            job->fits_since = now_;
        }
        if (now_ > std::max(job->fits_since, well_since_) + kLongestWait) {
            broken("waits_beside_room", id);
            job->fits_since = now_;
        }
    }
}

// No task of the job is on a machine, one is left to run, and there is room for it.
bool World::waits_beside_room(const Job& job) const {
    Resources team_used;
    for (const auto& [name, worker] : workers_) {
        for (const auto& [key, task] : worker->tasks) {
            if (task.job == job.spec.id) {
                return false;
            }
            const Job& other = *jobs_.at(task.job);
            if (other.team == job.team && task.state != TaskState::exited) {
                team_used += other.spec.task_resources;
            }
        }
    }
    for (const Team& team : platform_settings_.teams) {
        Resources with = team_used + job.spec.task_resources;
        bool over = (team.quota.cpus > 0 && with.cpus > team.quota.cpus + 1e-6) ||
                    (team.quota.gpus > 0 && with.gpus > team.quota.gpus + 1e-6);
        if (team.name == job.team && over) {
            return false;
        }
    }
    return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
        const Worker& worker = *entry.second;
        const std::string& machine_type = machine_type_names_[worker.machine_type];
        bool machine_type_ok =
            job.any_machine_type || std::find(job.machine_types.begin(), job.machine_types.end(),
                                              machine_type) != job.machine_types.end();
        bool zone_ok = job.zone.empty() || job.zone == worker.zone;
        if (!machine_type_ok || !zone_ok || (worker.spot && !job.spec.spot) ||
            worker.reclaim_at >= 0) {
            return false;
        }
        Resources used = job.spec.task_resources;
        for (const auto& [key, task] : worker.tasks) {
            used += jobs_.at(task.job)->spec.task_resources;
        }
        return used.fits_in(machine_types_[worker.machine_type].size);
    });
}

void World::told(Job& j, const UserResponse& a, bool cancelling, Ms asked) {
    auto before = [asked](Ms told) { return told >= 0 && told <= asked; };
    if (a.code == 404 && before(j.accepted_told)) {
        broken("forgotten", j.spec.id + " answered 404");
    }
    if ((a.code == 400 || a.code == 422) && before(j.accepted_told)) {
        broken("forgotten", j.spec.id + " refused when repeated");
    }
    if (a.code != 200 && a.code != 201) {
        return;
    }
    if (!j.submitted) {
        broken("invented", j.spec.id);
    }
    if (j.accepted_told < 0) {
        j.accepted_told = now_;
        ++accepted;
        small_jobs += j.small;
    }
    if (before(j.done_told) && a.status != JobStatus::done) {
        broken("went_back", j.spec.id + " was done");
    }
    if (before(j.cancel_told) && a.status != JobStatus::cancelled) {
        broken("went_back", j.spec.id + " was cancelled");
    }
    if (a.status == JobStatus::cancelled) {
        if (!j.cancel_asked) {
            broken("went_back", j.spec.id + " cancelled by nobody");
        }
        if (j.cancel_told < 0) {
            j.cancel_told = now_;
            if (!on_machines(j.spec.id).empty()) {
                ++cancelled_running;
                if (in_gap_) {
                    ++gap_cancelled;
                    at(now_ + pick(0, 600), [this] { gap_outage(); });
                }
            }
        }
    }
    if (a.status == JobStatus::done) {
        if (!j.all_done()) {
            broken("not_done", j.spec.id);
        }
        if (j.done_told < 0) {
            ++jobs_done;
            j.done_told = now_;
        }
    }
    if (cancelling && a.status != JobStatus::done && a.status != JobStatus::cancelled) {
        broken("went_back", j.spec.id + " cancel answered otherwise");
    }
}

void World::last_look() {
    if (o_.calm <= 0) {
        return;
    }
    for (const auto& [id, j] : jobs_) {
        if (j->accepted_told < 0 || j->cancel_asked || j->all_done()) {
            continue;
        }
        const JobSpec& s = j->spec;
        if (s.service()) {
            std::size_t up = replicas_up(id);
            if (up < s.tasks) {
                broken("not_served", id + ": " + std::to_string(up) + " of " +
                                         std::to_string(s.tasks) + " replicas run");
            }
            continue;
        }
        broken("not_served",
               id + " (" + std::to_string(s.tasks) + (s.gang() ? " together" : " tasks") + " of " +
                   std::to_string(static_cast<int>(s.task_resources.cpus)) + " cores, " +
                   std::to_string(static_cast<int>(s.task_resources.gpus)) + " GPUs, " +
                   std::to_string(static_cast<int>(s.task_resources.ram)) + " GB, " + j->team +
                   (s.one_zone ? ", one zone" : "") + (s.spread ? ", spread" : "") +
                   (j->zone.empty() ? "" : ", in " + j->zone) + (s.spot ? "" : ", no spot") +
                   (j->any_machine_type ? "" : ", only " + j->machine_types[0]) + ") accepted at " +
                   std::to_string(j->accepted_told));
    }
}

}  // namespace walkford::standin
