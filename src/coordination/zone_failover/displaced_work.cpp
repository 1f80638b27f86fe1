#include "coordination/zone_failover/displaced_work.hpp"

#include <algorithm>

namespace walkford {

EvacuationOrder::EvacuationOrder(const ZoneFailoverSettings& settings, Names& names) {
    for (const std::string& job_class : settings.evacuation_order) {
        positions_.emplace(names.job_classes.intern(job_class),
                           static_cast<int>(positions_.size()));
    }
}

int EvacuationOrder::evacuation_position(Id job_class) const {
    auto entry = positions_.find(job_class);
    return entry == positions_.end() ? last_position() : entry->second;
}

bool DisplacedWork::is_same_job(const ClusterState& cluster, Id job,
                                const DisplacedJob& displaced) {
    return job < cluster.jobs.size() && cluster.jobs[job].alive &&
           cluster.jobs[job].spec.id == displaced.name;
}

void DisplacedWork::mark(Ms now, const ClusterState& cluster, Id job, Id zone) {
    const JobSpec& spec = cluster.jobs[job].spec;
    auto entry = jobs_.find(job);
    if (entry != jobs_.end() && entry->second.name == spec.id) {
        return;
    }
    if (entry != jobs_.end()) {
        // The index belonged to another job that ended since the last observation and was reused.
        ClassProgress& old_progress = progress_[{entry->second.zone, entry->second.job_class}];
        --old_progress.displaced;
        ++old_progress.ended;
    }
    jobs_[job] = {spec.id, zone, spec.job_class, now};
    ClassProgress& progress = progress_[{zone, spec.job_class}];
    if (progress.displaced == 0 && progress.run_again == 0 && progress.ended == 0) {
        progress.since = now;
    }
    ++progress.displaced;
}

void DisplacedWork::forget_zone(Id zone) {
    std::erase_if(jobs_, [zone](const auto& entry) { return entry.second.zone == zone; });
    std::erase_if(progress_, [zone](const auto& entry) { return entry.first.zone == zone; });
}

bool DisplacedWork::contains(const ClusterState& cluster, Id job) const {
    auto entry = jobs_.find(job);
    return entry != jobs_.end() && is_same_job(cluster, job, entry->second);
}

int DisplacedWork::evacuation_position(const ClusterState& cluster, Id job) const {
    return contains(cluster, job) ? order_.evacuation_position(cluster.jobs[job].spec.job_class)
                                  : order_.last_position();
}

Ms DisplacedWork::since(const ClusterState& cluster, Id job) const {
    return contains(cluster, job) ? jobs_.at(job).since : -1;
}

Id DisplacedWork::zone_of(Id job) const {
    auto entry = jobs_.find(job);
    return entry == jobs_.end() ? kNone : entry->second.zone;
}

std::vector<Id> DisplacedWork::jobs() const {
    std::vector<Id> list;
    for (const auto& [job, displaced] : jobs_) {
        list.push_back(job);
    }
    std::stable_sort(list.begin(), list.end(), [this](Id left, Id right) {
        return order_.evacuation_position(jobs_.at(left).job_class) <
               order_.evacuation_position(jobs_.at(right).job_class);
    });
    return list;
}

// A job runs again when no task is allocated in the zone that still fails, no task waits for a
// restart, and every placed task, of which there is at least one, is running.
bool DisplacedWork::runs_again(const ClusterState& cluster, Id job_id, Id lost_zone) {
    const Job& job = cluster.jobs[job_id];
    if (job.zones.count(lost_zone) > 0 || !job.retry_queue.empty() || job.assigned == 0) {
        return false;
    }
    for (const auto& record : job.placement_records) {
        if (!record) {
            continue;
        }
        bool all_running =
            std::all_of(record->tasks.begin(), record->tasks.end(), [](const Task& task) {
                return task.machine == kNone || task.state == TaskState::running;
            });
        if (!all_running) {
            return false;
        }
    }
    return true;
}

std::vector<DisplacedWork::FinishedClass> DisplacedWork::collect_finished(
    Ms now, ClusterState& cluster, const std::set<Id>& failing) {
    std::vector<FinishedClass> finished;
    for (auto entry = jobs_.begin(); entry != jobs_.end();) {
        const auto& [job, displaced] = *entry;
        bool ended = !is_same_job(cluster, job, displaced) || cluster.jobs[job].cancelled;
        Id lost_zone = failing.count(displaced.zone) > 0 ? displaced.zone : kNone;
        bool running_again = !ended && runs_again(cluster, job, lost_zone);
        if (!ended && !running_again) {
            ++entry;
            continue;
        }
        ClassProgress& progress = progress_[{displaced.zone, displaced.job_class}];
        --progress.displaced;
        progress.run_again += running_again;
        progress.ended += ended;
        if (progress.displaced == 0) {
            finished.push_back({displaced.zone, displaced.job_class, progress.run_again,
                                progress.ended, now - progress.since});
            progress_.erase({displaced.zone, displaced.job_class});
        }
        entry = jobs_.erase(entry);
    }
    return finished;
}

}  // namespace walkford
