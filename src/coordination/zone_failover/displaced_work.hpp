// Tracks the jobs that a failed zone displaced: their evacuation order by job class, and when each
// of them runs again.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// The evacuation order that the operators configured: a position for each job class. Work at
// position 0 is placed first.
class EvacuationOrder {
  public:
    // Interns the job classes of the configured order in `names`.
    EvacuationOrder(const ZoneFailoverSettings& settings, Names& names);
    // Returns the class's position, or last_position() if the configured order does not name it.
    int evacuation_position(Id job_class) const;
    // The position of displaced jobs whose class is not in the configured order, and of all jobs
    // that are not displaced.
    int last_position() const { return static_cast<int>(positions_.size()); }

  private:
    std::map<Id, int> positions_;  // by job class
};

// The displaced jobs, and how many jobs of each zone and class run again. Owned by
// ZoneFailoverManager.
class DisplacedWork {
  public:
    // Starts without displaced jobs.
    explicit DisplacedWork(EvacuationOrder order) : order_(std::move(order)) {}

    // Marks a job as displaced that has, or had, tasks on the zone's machines. Marking it again
    // has no effect.
    void mark(Ms now, const ClusterState& cluster, Id job, Id zone);
    // Removes the jobs that the zone displaced. Called when the zone is up again: such jobs no
    // longer need to be evacuated.
    void forget_zone(Id zone);

    // Returns whether the job is displaced. An index that now belongs to another job does not
    // count.
    bool contains(const ClusterState& cluster, Id job) const;
    // Returns whether no job is displaced.
    bool empty() const { return jobs_.empty(); }
    // The number of displaced jobs.
    std::size_t size() const { return jobs_.size(); }
    // Returns the position of the job's class, or last_position() if the job is not displaced.
    int evacuation_position(const ClusterState& cluster, Id job) const;
    // Returns when the job was displaced, or -1 if it is not displaced.
    Ms since(const ClusterState& cluster, Id job) const;

    // The result for one zone and class once each of its displaced jobs runs again or has ended.
    struct FinishedClass {
        Id zone = kNone;
        Id job_class = kNone;
        std::uint32_t run_again = 0;  // number of jobs that run again
        std::uint32_t ended = 0;      // number of jobs that finished or were cancelled instead
        Ms duration = 0;              // since the first of the jobs was displaced
    };
    // Removes the jobs that run again, have ended or were cancelled. Returns the zones and classes
    // that have no displaced job left. `failing` holds the zones that are still suspect or lost: a
    // job with tasks in its failing zone does not count as running again, one with tasks in a zone
    // that has recovered does.
    std::vector<FinishedClass> collect_finished(Ms now, ClusterState& cluster,
                                                const std::set<Id>& failing);

    // The evacuation order that the operators configured.
    const EvacuationOrder& order() const { return order_; }
    // The displaced jobs, in evacuation order.
    std::vector<Id> jobs() const;
    // Returns the zone that displaced the job, or kNone if the job is not displaced.
    Id zone_of(Id job) const;

  private:
    struct DisplacedJob {
        std::string name;  // identifies the job: its index is reused after it ends
        Id zone = kNone;
        Id job_class = kNone;
        Ms since = 0;
    };
    struct ZoneClassKey {
        Id zone = kNone;
        Id job_class = kNone;
        auto operator<=>(const ZoneClassKey&) const = default;
    };
    // Counts the jobs of one zone and class since the first of them was displaced.
    struct ClassProgress {
        std::uint32_t displaced = 0;  // still displaced
        std::uint32_t run_again = 0;
        std::uint32_t ended = 0;
        Ms since = 0;
    };

    static bool is_same_job(const ClusterState& cluster, Id job, const DisplacedJob& displaced);
    static bool runs_again(const ClusterState& cluster, Id job, Id lost_zone);

    EvacuationOrder order_;
    std::map<Id, DisplacedJob> jobs_;
    std::map<ZoneClassKey, ClassProgress> progress_;
};

}  // namespace walkford
