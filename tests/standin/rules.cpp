// Checks the rules against the records of the simulation only; never reads a controller's state.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::report_violation(const std::string& rule, const std::string& what) {
    if (violations.size() < 20) {
        violations.push_back(rule + ": " + what + " at " + std::to_string(now_) + " ms");
    }
}

void World::check_start(const Worker& worker, const Running& running_task) {
    const Job& job = *jobs_.at(running_task.job);
    std::string who = running_task.job + "/" + std::to_string(running_task.task) + " attempt " +
                      std::to_string(running_task.attempt) +
                      (job.done[running_task.task] ? " (done before)" : "");
    std::map<std::string, std::uint32_t> zones;
    Resources used = job.spec.task_resources;
    for (const auto& [name, other] : workers_) {
        for (const auto& [key, task] : other->tasks) {
            if (!task.active) {
                continue;
            }
            const Job& other_job = *jobs_.at(task.job);
            if (other_job.team == job.team) {
                used += other_job.spec.task_resources;
            }
            if (task.job != running_task.job) {
                continue;
            }
            ++zones[other->zone];
            if (task.task == running_task.task) {
                report_violation("ran_twice", who + " on " + worker.name + " while on " + name);
            }
        }
    }
    for (const Team& team : platform_settings_.teams) {
        if (team.name != job.team) {
            continue;
        }
        if ((team.quota.cpus > 0 && used.cpus > team.quota.cpus + 1e-6) ||
            (team.quota.gpus > 0 && used.gpus > team.quota.gpus + 1e-6)) {
            report_violation("quota", "team " + team.name + " exceeds its quota when " + who +
                                          " starts on " + worker.name);
        }
    }
    bool machine_type_ok =
        job.any_machine_type ||
        std::find(job.machine_types.begin(), job.machine_types.end(),
                  machine_type_names_[worker.machine_type]) != job.machine_types.end();
    if (!machine_type_ok || (!job.zone.empty() && job.zone != worker.zone) ||
        (worker.spot && !job.spec.spot)) {
        report_violation("wrong_place", who + " on " + worker.name);
    }
    if (job.spec.one_zone && !zones.empty() && (zones.size() > 1 || !zones.count(worker.zone))) {
        report_violation("wrong_place", who + " outside the single zone of its job");
    }
    if (job.spec.spread && zones[worker.zone] + 1 > job.spec.max_tasks_per_zone()) {
        report_violation("wrong_place", who + ": too many tasks of the job in the zone");
    }
    // A task whose start command was in flight may still start, until cancel_s has passed.
    starts_after_cancel += job.cancel_reported_at >= 0;
    if (job.cancel_reported_at >= 0 && now_ > job.cancel_reported_at + to_ms(kCancelSeconds)) {
        report_violation("ran_cancelled", who + " started after cancel_s had passed");
    }
}

void World::run_periodic_checks() {
    for (auto& [name, worker] : workers_) {
        if (now_ > worker->lease_from + to_ms(kRealLeaseSeconds)) {
            // The lease has expired: the worker kills and forgets all its tasks.
            auto tasks = std::move(worker->tasks);
            expired_leases_with_tasks += tasks.empty() ? 0 : 1;
            worker->tasks.clear();
            forget_images(*worker);
            ++worker->incarnation;
            ++worker->session;
            worker->lease_from = now_;
            hasten_heartbeat(*worker);
            for (auto& [key, running_task] : tasks) {
                if (running_task.active) {
                    end_remaining_gang_members(running_task.job, running_task.attempt);
                }
            }
        }
        for (auto& [key, task] : worker->tasks) {
            const Job& job = *jobs_.at(task.job);
            if (task.active && job.cancel_reported_at >= 0 &&
                now_ > job.cancel_reported_at + to_ms(kCancelSeconds)) {
                report_violation("ran_cancelled",
                                 task.job + " still on " + name + " after cancel_s had passed");
            }
        }
    }
    std::erase_if(cuts_, [&](const Cut& c) { return now_ > c.until; });
    check_waiting_jobs();
    schedule(now_ + 100, [this] { run_periodic_checks(); });
}

// Once all faults are over, no task may wait for 90 s while a suitable machine has room and its
// team is within its quota. Gangs need room for all tasks at once and are covered by not_served.
void World::check_waiting_jobs() {
    constexpr Ms kLongestWait = 90000;
    constexpr Ms kEvery = 1000;
    if (options_.recovery_period <= 0 || now_ < waits_last_checked_at_ + kEvery) {
        return;
    }
    waits_last_checked_at_ = now_;
    for (auto& [id, job] : jobs_) {
        bool gang = job->spec.starts_together();
        bool over = job->cancel_requested || job->accepted_reported_at < 0 || job->all_done();
        if (gang || over || !waits_despite_room(*job)) {
            job->waits_with_room_since = -1;
            continue;
        }
        if (job->waits_with_room_since < 0) {
            job->waits_with_room_since = now_;
        }
        if (now_ > std::max(job->waits_with_room_since, faults_end_at_) + kLongestWait) {
            report_violation("waits_beside_room", id + " waits for over 90 s");
            job->waits_with_room_since = now_;
        }
    }
}

// Returns whether no task of the job is on a machine although its team's quota and a suitable
// machine have room for one.
bool World::waits_despite_room(const Job& job) const {
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

void World::check_response(Job& job, const UserResponse& response, bool cancelling, Ms asked) {
    auto before = [asked](Ms reported_at) { return reported_at >= 0 && reported_at <= asked; };
    if (response.code == 404 && before(job.accepted_reported_at)) {
        report_violation("forgotten", job.spec.id + " answered with 404 after it was accepted");
    }
    if ((response.code == 400 || response.code == 422) && before(job.accepted_reported_at)) {
        report_violation("forgotten", job.spec.id + " rejected when its submission was repeated");
    }
    if (response.code != 200 && response.code != 201) {
        return;
    }
    if (!job.submitted) {
        report_violation("invented", job.spec.id + " reported but never submitted");
    }
    if (job.accepted_reported_at < 0) {
        job.accepted_reported_at = now_;
        ++accepted;
        small_jobs += job.small;
    }
    if (before(job.done_reported_at) && response.status != JobStatus::done) {
        report_violation("went_back", job.spec.id + " was reported done before");
    }
    if (before(job.cancel_reported_at) && response.status != JobStatus::cancelled) {
        report_violation("went_back", job.spec.id + " was reported cancelled before");
    }
    if (response.status == JobStatus::cancelled) {
        if (!job.cancel_requested) {
            report_violation("went_back", job.spec.id + " reported cancelled without a request");
        }
        if (job.cancel_reported_at < 0) {
            job.cancel_reported_at = now_;
            if (!machines_running_job(job.spec.id).empty()) {
                ++cancelled_running;
                if (in_gap_) {
                    ++cancelled_in_gap;
                    schedule(now_ + random_integer(0, 600), [this] { start_gap_outage(); });
                }
            }
        }
    }
    if (response.status == JobStatus::done) {
        if (!job.all_done()) {
            report_violation("not_done", job.spec.id + " reported done with unfinished tasks");
        }
        if (job.done_reported_at < 0) {
            ++jobs_done;
            job.done_reported_at = now_;
        }
    }
    if (cancelling && response.status != JobStatus::done &&
        response.status != JobStatus::cancelled) {
        report_violation("went_back", job.spec.id + " cancellation answered with another state");
    }
}

void World::check_all_jobs_served() {
    if (options_.recovery_period <= 0) {
        return;
    }
    for (const auto& [id, job] : jobs_) {
        if (job->accepted_reported_at < 0 || job->cancel_requested || job->all_done()) {
            continue;
        }
        const JobSpec& spec = job->spec;
        if (spec.service()) {
            std::size_t up = replicas_up(id);
            if (up < spec.tasks) {
                report_violation("not_served", id + ": " + std::to_string(up) + " of " +
                                                   std::to_string(spec.tasks) +
                                                   " replicas are running");
            }
            continue;
        }
        report_violation(
            "not_served",
            id + " (" + std::to_string(spec.tasks) + (spec.gang() ? " gang tasks" : " tasks") +
                " of " + std::to_string(static_cast<int>(spec.task_resources.cpus)) + " cores, " +
                std::to_string(static_cast<int>(spec.task_resources.gpus)) + " GPUs, " +
                std::to_string(static_cast<int>(spec.task_resources.ram)) + " GB, " + job->team +
                (spec.one_zone ? ", one zone" : "") + (spec.spread ? ", spread" : "") +
                (job->zone.empty() ? "" : ", in " + job->zone) + (spec.spot ? "" : ", no spot") +
                (job->any_machine_type ? "" : ", only " + job->machine_types[0]) +
                ") accepted at " + std::to_string(job->accepted_reported_at) + " ms");
    }
}

}  // namespace walkford::standin
