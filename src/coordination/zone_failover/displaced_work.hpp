// The jobs that a lost zone displaced: their order by class, and when they run again.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// The classes in the operators' order, as ranks: 0 is placed first.
class EvacuationOrder {
  public:
    EvacuationOrder(const ZoneFailoverSettings& settings, Names& names);
    int evacuation_position(Id job_class) const;
    // The rank of displaced work of no named class, and of all that was not displaced.
    int last_position() const { return static_cast<int>(positions_.size()); }

  private:
    std::map<Id, int> positions_;
};

class DisplacedWork {
  public:
    explicit DisplacedWork(EvacuationOrder order) : order_(std::move(order)) {}

    // The job has tasks on the zone's machines, or had them there. Marking it again changes
    // nothing.
    void mark(Ms now, const ClusterState& cluster, Id job, Id zone);
    // The zone is well: its work was not displaced after all.
    void forget_zone(Id zone);

    bool contains(const ClusterState& cluster, Id job) const;
    bool empty() const { return jobs_.empty(); }
    std::size_t size() const { return jobs_.size(); }
    // The rank of its class, or the last one if it was not displaced.
    int evacuation_position(const ClusterState& cluster, Id job) const;
    // When it was displaced; -1: it was not.
    Ms since(const ClusterState& cluster, Id job) const;

    // Takes out jobs that run again, have ended or were cancelled. Where those were the last of a
    // class, says how long it took.
    struct ClassDone {
        Id zone = kNone;
        Id job_class = kNone;
        std::uint32_t run_again = 0;
        std::uint32_t ended = 0;  // done or cancelled meanwhile
        Ms took = 0;
    };
    // `failing`: zones that are still not well; what runs in one that is back runs again.
    std::vector<ClassDone> collect_finished(Ms now, ClusterState& cluster,
                                            const std::set<Id>& failing);

    const EvacuationOrder& order() const { return order_; }
    // The displaced jobs, most urgent class first.
    std::vector<Id> jobs() const;
    Id zone_of(Id job) const;

  private:
    struct Entry {
        std::string name;  // a job's index is used again once it has ended
        Id zone = kNone;
        Id job_class = kNone;
        Ms since = 0;
    };
    struct Tally {
        std::uint32_t open = 0;
        std::uint32_t run_again = 0;
        std::uint32_t ended = 0;
        Ms since = 0;
    };
    bool known(const ClusterState& cluster, Id job, const Entry& entry) const;
    static bool runs_again(const ClusterState& cluster, Id job, Id lost_zone);

    EvacuationOrder order_;
    std::map<Id, Entry> jobs_;
    std::map<std::pair<Id, Id>, Tally> tallies_;  // by zone and class
};

}  // namespace walkford
