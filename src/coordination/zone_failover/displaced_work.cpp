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
    auto it = positions_.find(job_class);
    return it == positions_.end() ? last_position() : it->second;
}

bool DisplacedWork::known(const ClusterState& cluster, Id job, const Entry& entry) const {
    return job < cluster.jobs.size() && cluster.jobs[job].alive &&
           cluster.jobs[job].spec.id == entry.name;
}

void DisplacedWork::mark(Ms now, const ClusterState& cluster, Id job, Id zone) {
    const JobSpec& spec = cluster.jobs[job].spec;
    auto it = jobs_.find(job);
    if (it != jobs_.end() && it->second.name == spec.id) {
        return;
    }
    if (it != jobs_.end()) {
        // Another job had that index, and ended within this round.
        Tally& old = tallies_[{it->second.zone, it->second.job_class}];
        --old.open;
        ++old.ended;
    }
    jobs_[job] = {spec.id, zone, spec.job_class, now};
    Tally& tally = tallies_[{zone, spec.job_class}];
    if (tally.open == 0 && tally.run_again == 0 && tally.ended == 0) {
        tally.since = now;
    }
    ++tally.open;
}

void DisplacedWork::forget_zone(Id zone) {
    std::erase_if(jobs_, [zone](const auto& entry) { return entry.second.zone == zone; });
    std::erase_if(tallies_, [zone](const auto& entry) { return entry.first.first == zone; });
}

bool DisplacedWork::contains(const ClusterState& cluster, Id job) const {
    auto it = jobs_.find(job);
    return it != jobs_.end() && known(cluster, job, it->second);
}

int DisplacedWork::evacuation_position(const ClusterState& cluster, Id job) const {
    return contains(cluster, job) ? order_.evacuation_position(cluster.jobs[job].spec.job_class)
                                  : order_.last_position();
}

Ms DisplacedWork::since(const ClusterState& cluster, Id job) const {
    return contains(cluster, job) ? jobs_.at(job).since : -1;
}

Id DisplacedWork::zone_of(Id job) const {
    auto it = jobs_.find(job);
    return it == jobs_.end() ? kNone : it->second.zone;
}

std::vector<Id> DisplacedWork::jobs() const {
    std::vector<Id> list;
    for (const auto& [job, entry] : jobs_) {
        list.push_back(job);
    }
    std::stable_sort(list.begin(), list.end(), [this](Id a, Id b) {
        return order_.evacuation_position(jobs_.at(a).job_class) <
               order_.evacuation_position(jobs_.at(b).job_class);
    });
    return list;
}

// None of its tasks is counted in a zone that is lost still, none that had run waits, and all that
// are placed run.
bool DisplacedWork::runs_again(const ClusterState& cluster, Id job, Id lost_zone) {
    const Job& j = cluster.jobs[job];
    if (j.zones.count(lost_zone) > 0 || !j.retry_queue.empty() || j.assigned == 0) {
        return false;
    }
    for (const auto& record : j.placement_records) {
        if (!record) {
            continue;
        }
        bool all_run = std::all_of(record->tasks.begin(), record->tasks.end(), [](const Task& t) {
            return t.machine == kNone || t.state == TaskState::running;
        });
        if (!all_run) {
            return false;
        }
    }
    return true;
}

std::vector<DisplacedWork::ClassDone> DisplacedWork::collect_finished(Ms now, ClusterState& cluster,
                                                                      const std::set<Id>& failing) {
    std::vector<ClassDone> settled;
    for (auto it = jobs_.begin(); it != jobs_.end();) {
        const auto& [job, entry] = *it;
        bool ended = !known(cluster, job, entry) || cluster.jobs[job].cancelled;
        Id lost_zone = failing.count(entry.zone) > 0 ? entry.zone : kNone;
        bool again = !ended && runs_again(cluster, job, lost_zone);
        if (!ended && !again) {
            ++it;
            continue;
        }
        Tally& tally = tallies_[{entry.zone, entry.job_class}];
        --tally.open;
        tally.run_again += again;
        tally.ended += ended;
        if (tally.open == 0) {
            settled.push_back(
                {entry.zone, entry.job_class, tally.run_again, tally.ended, now - tally.since});
            tallies_.erase({entry.zone, entry.job_class});
        }
        it = jobs_.erase(it);
    }
    return settled;
}

}  // namespace walkford
