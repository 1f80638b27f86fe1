// Temporary zone losses, and the planned jobs and recorded events that show their effects.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::plan_zone_losses() {
    for (const ZoneLoss& loss : options_.zone_losses) {
        faults_end_at_ = std::max(faults_end_at_, loss.at + loss.span);
        schedule(loss.at, [this, loss] { lose_zone(loss); });
    }
    for (Ms when : options_.leader_restarts_at) {
        schedule(when, [this] { restart_controller(leader_or(0), 2000, 4000); });
    }
}

void World::lose_zone(const ZoneLoss& loss) {
    lost_zones_[loss.zone] = loss;
    std::vector<std::string> machines;
    for (const auto& [name, worker] : workers_) {
        if (worker->zone == loss.zone) {
            machines.push_back(name);
        }
    }
    auto hit = static_cast<std::size_t>(loss.share * static_cast<double>(machines.size()));
    for (std::size_t i = 0; i < hit; ++i) {
        if (loss.cold) {
            kill_machine(machines[i]);
        } else {
            cut_link(machines[i], "*", loss.span, false);
        }
    }
    for (std::size_t i = 0; loss.controllers && loss.share >= 1 && i < options_.controllers; ++i) {
        if (zone_of_controller(i) != loss.zone) {
            continue;
        }
        if (loss.cold) {
            restart_controller(i, loss.span, loss.span + 1000);
        } else {
            cut_link("n" + std::to_string(i), "*", loss.span, false);
        }
    }
}

// Returns the end of the zone'spec complete loss; -1 if the zone is not completely lost.
Ms World::zone_unreachable_until(const std::string& zone) const {
    auto it = lost_zones_.find(zone);
    if (it == lost_zones_.end() || it->second.share < 1) {
        return -1;
    }
    Ms until = it->second.at + it->second.span;
    return now_ < until ? until : -1;
}

void World::plan_work() {
    constexpr Ms kApart = 20;
    int number = 0;
    for (const PlannedWork& work : options_.work) {
        for (int n = 0; n < work.jobs; ++n) {
            auto job = std::make_unique<Job>();
            JobSpec& spec = job->spec;
            spec.id = "j-6" + std::to_string(100000 + number++);
            spec.shape = work.shape;
            spec.tasks = work.tasks;
            spec.priority = work.priority;
            spec.task_resources = {work.cpus, 0, 2};
            spec.spread = work.spread;
            spec.one_zone = work.one_zone;
            spec.image_gb = 1;
            spec.checkpoint_interval_s = 0;
            spec.deadline_s = -1;
            job->zone = work.zone;
            job->team = "blue";
            job->job_class = work.job_class;
            job->any_machine_type = false;
            job->machine_types = {"small"};
            job->run_ms = work.run_ms + random_integer(0, work.run_ms / 4);
            spec.estimate_s = static_cast<double>(job->run_ms) / 1000.0;
            job->done.assign(spec.tasks, false);
            job->progress.assign(spec.tasks, 0);
            job->give_up = work.at + 60000;
            std::string id = spec.id;
            jobs_[id] = std::move(job);
            schedule(work.at + kApart * n, [this, id] { submit(id); });
            if (work.cancel_at >= 0) {
                schedule(work.cancel_at + kApart * n, [this, id] { cancel(id); });
            }
        }
    }
}

void World::record_task_event(const Worker& worker, const Running& task,
                              TaskEvent::EventType what) {
    const Job& job = *jobs_.at(task.job);
    history.push_back(
        {now_, what, task.job, job.job_class, task.task, task.attempt, worker.zone, worker.name});
}

// Records the fetch of an image that the machine neither has nor is already fetching.
void World::begin_fetch(Worker& worker, const std::string& image) {
    if (worker.images.count(image) > 0 || worker.fetching.count(image) > 0) {
        return;
    }
    worker.fetching.insert(image);
    int in_zone = 0;
    for (const auto& [name, other] : workers_) {
        in_zone += other->zone == worker.zone ? static_cast<int>(other->fetching.size()) : 0;
    }
    fetches.push_back({now_, worker.zone, in_zone, static_cast<int>(worker.fetching.size())});
}

void World::end_fetch(Worker& worker, const std::string& image) {
    worker.fetching.erase(image);
    worker.images.insert(image);
}

void World::forget_images(Worker& worker) {
    worker.images.clear();
    worker.fetching.clear();
}

}  // namespace walkford::standin
