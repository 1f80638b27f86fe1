#include "coordination/zone_failover/displaced_work.hpp"

#include <algorithm>

namespace walkford {

EvacuationOrder::EvacuationOrder(const ZoneFailoverSettings& settings, Names& names) {
    for (const std::string& job_class : settings.order) {
        positions_.emplace(names.job_classes.intern(job_class),
                           static_cast<int>(positions_.size()));
    }
}

int EvacuationOrder::evacuation_position(Id job_class) const {
    auto named = positions_.find(job_class);
    return named == positions_.end() ? last_position() : named->second;
}

bool DisplacedWork::is_same_job(const ClusterState& cluster, Id job,
                                const DisplacedJob& displaced) {
    return job < cluster.jobs.size() && cluster.jobs[job].alive &&
           cluster.jobs[job].spec.id == displaced.name;
}

void DisplacedWork::mark(Ms now, const ClusterState& cluster, Id job, Id zone) {
    const JobSpec& spec = cluster.jobs[job].spec;
    auto marked = jobs_.find(job);
    if (marked != jobs_.end() && marked->second.name == spec.id) {
        return;
    }
    if (marked != jobs_.end()) {
        // Another job had that index, and ended since the last observation.
        ClassProgress& old_progress = progress_[{marked->second.zone, marked->second.job_class}];
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
    auto marked = jobs_.find(job);
    return marked != jobs_.end() && is_same_job(cluster, job, marked->second);
}

int DisplacedWork::evacuation_position(const ClusterState& cluster, Id job) const {
    return contains(cluster, job) ? order_.evacuation_position(cluster.jobs[job].spec.job_class)
                                  : order_.last_position();
}

Ms DisplacedWork::since(const ClusterState& cluster, Id job) const {
    return contains(cluster, job) ? jobs_.at(job).since : -1;
}

Id DisplacedWork::zone_of(Id job) const {
    auto marked = jobs_.find(job);
    return marked == jobs_.end() ? kNone : marked->second.zone;
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

// None of its tasks is counted in a zone that is lost still, none that had run waits, and all that
// are placed run.
bool DisplacedWork::runs_again(const ClusterState& cluster, Id job_id, Id lost_zone) {
    const Job& job = cluster.jobs[job_id];
    if (job.zones.count(lost_zone) > 0 || !job.retry_queue.empty() || job.assigned == 0) {
        return false;
    }
    for (const auto& record : job.placement_records) {
        if (!record) {
            continue;
        }
        bool all_run =
            std::all_of(record->tasks.begin(), record->tasks.end(), [](const Task& task) {
                return task.machine == kNone || task.state == TaskState::running;
            });
        if (!all_run) {
            return false;
        }
    }
    return true;
}

std::vector<DisplacedWork::ClassDone> DisplacedWork::collect_finished(Ms now, ClusterState& cluster,
                                                                      const std::set<Id>& failing) {
    std::vector<ClassDone> finished;
    for (auto next = jobs_.begin(); next != jobs_.end();) {
        const auto& [job, displaced] = *next;
        bool ended = !is_same_job(cluster, job, displaced) || cluster.jobs[job].cancelled;
        Id lost_zone = failing.count(displaced.zone) > 0 ? displaced.zone : kNone;
        bool again = !ended && runs_again(cluster, job, lost_zone);
        if (!ended && !again) {
            ++next;
            continue;
        }
        ClassProgress& progress = progress_[{displaced.zone, displaced.job_class}];
        --progress.displaced;
        progress.run_again += again;
        progress.ended += ended;
        if (progress.displaced == 0) {
            finished.push_back({displaced.zone, displaced.job_class, progress.run_again,
                                progress.ended, now - progress.since});
            progress_.erase({displaced.zone, displaced.job_class});
        }
        next = jobs_.erase(next);
    }
    return finished;
}

}  // namespace walkford
