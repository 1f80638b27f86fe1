// The jobs that a lost zone displaced: their order by class, and when they run again.
#pragma once

#include <compare>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// The job classes in the operators' order of evacuation. Position 0 is placed first.
class EvacuationOrder {
  public:
    // Interns the settings' classes in `names`.
    EvacuationOrder(const ZoneFailoverSettings& settings, Names& names);
    // The class's position; the last one if the settings do not name it.
    int evacuation_position(Id job_class) const;
    // The position of displaced work of no named class, and of all that was not displaced.
    int last_position() const { return static_cast<int>(positions_.size()); }

  private:
    std::map<Id, int> positions_;  // by job class
};

// The displaced jobs, and how many of each zone and class run again. Owned by ZoneFailoverManager.
class DisplacedWork {
  public:
    // No job is displaced yet.
    explicit DisplacedWork(EvacuationOrder order) : order_(std::move(order)) {}

    // The job has tasks on the zone's machines, or had them there. Marking it again changes
    // nothing.
    void mark(Ms now, const ClusterState& cluster, Id job, Id zone);
    // The zone is healthy: its work was not displaced after all.
    void forget_zone(Id zone);

    // The job is displaced, and still the one that was marked.
    bool contains(const ClusterState& cluster, Id job) const;
    // No job is displaced.
    bool empty() const { return jobs_.empty(); }
    // How many jobs are displaced.
    std::size_t size() const { return jobs_.size(); }
    // The position of its class, or the last one if it was not displaced.
    int evacuation_position(const ClusterState& cluster, Id job) const;
    // When it was displaced; -1: it was not.
    Ms since(const ClusterState& cluster, Id job) const;

    // The displaced work of one zone and class is finished: all of it runs again or has ended.
    struct ClassDone {
        Id zone = kNone;
        Id job_class = kNone;
        std::uint32_t run_again = 0;  // jobs
        std::uint32_t ended = 0;      // jobs that were done or cancelled meanwhile
        Ms took = 0;                  // since the first of them was displaced
    };
    // Takes out jobs that run again, have ended or were cancelled; returns the classes of which
    // those were the last. `failing`: zones that are not healthy yet; what runs in a zone that is
    // back runs again.
    std::vector<ClassDone> collect_finished(Ms now, ClusterState& cluster,
                                            const std::set<Id>& failing);

    // The operators' order.
    const EvacuationOrder& order() const { return order_; }
    // The displaced jobs, most urgent class first.
    std::vector<Id> jobs() const;
    // The zone that displaced the job; kNone if none did.
    Id zone_of(Id job) const;

  private:
    struct DisplacedJob {
        std::string name;  // a job's index is used again once it has ended
        Id zone = kNone;
        Id job_class = kNone;
        Ms since = 0;
    };
    struct ZoneClassKey {
        Id zone = kNone;
        Id job_class = kNone;
        auto operator<=>(const ZoneClassKey&) const = default;
    };
    // Numbers of jobs since the first of its zone and class was displaced.
    struct ClassProgress {
        std::uint32_t displaced = 0;  // still
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
