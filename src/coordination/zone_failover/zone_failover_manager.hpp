// The leader's zone failover: observes the zones, stores a record of each zone's health, and
// applies the durable records to placement and scaling. docs/zone-failover.md explains the design.
#pragma once

#include "bookkeeping/free_capacity.hpp"
#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/context/controller_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/displaced_work.hpp"
#include "coordination/zone_failover/displaced_work_marker.hpp"
#include "coordination/zone_failover/evacuation_reserve.hpp"
#include "coordination/zone_failover/zone_admission.hpp"
#include "coordination/zone_failover/zone_observer.hpp"
#include "coordination/zone_failover/zone_record_store.hpp"
#include "coordination/zone_failover/zone_table.hpp"

namespace walkford {

// Combines the classes of this directory and is the interface that the rest of the leader uses.
// Owned by the leader for one term.
class ZoneFailoverManager {
  public:
    // Treats all zones as up until the first tick. The context must outlive it.
    explicit ZoneFailoverManager(LeaderContext& context);
    // Not copyable, because its members hold references to one another.
    ZoneFailoverManager(const ZoneFailoverManager&) = delete;
    ZoneFailoverManager& operator=(const ZoneFailoverManager&) = delete;

    // Observes and evaluates the zones at a fixed interval. Called in each step of the leader.
    void tick(Ms now, const WorkerManager& workers, const CloudManager& cloud);

    // Returns whether zone failover is enabled and all controllers can read its records.
    bool active() const;

    // ---- placement
    // Called at the start of each placement round.
    void begin_round(Ms now, const FreeCapacity& free_capacity);
    // Returns whether a zone is restricted or work is displaced. Otherwise the checks below always
    // allow the placement and can be skipped.
    bool has_restrictions() const { return restricts_ || evacuating_; }
    // Returns whether a task of the job (for a gang, all of its tasks) may start in the zone now.
    bool admits(Id job, Id zone) const;
    // Returns whether a machine of the zone that has `fetches` image fetches in progress may start
    // another one.
    bool admits_fetch(Id zone, int fetches) const;
    // Returns whether the target's capacity is reserved for displaced work that is placed before
    // the job.
    bool reserved(Id job, int priority, const EvacuationReserve::PlacementTarget& target) const;
    // Accounts for a placed task. `target` is the state before the placement.
    void on_task_placed(Id job, const EvacuationReserve::PlacementTarget& target, bool fetches);
    // Returns whether capacity may be reserved and work preempted in the zone without restriction.
    bool open(Id zone) const { return zones_.open(zone); }
    // Returns whether the job may run only in a zone that is lost. Such a job waits, and no other
    // work waits for it.
    bool waits_for_zone(Id job) const;

    // ---- evacuation order
    // Returns whether a zone is failing or returning and displaced work does not run again yet.
    bool evacuating() const { return evacuating_; }
    // Returns the job's position in the evacuation order. Position 0 is placed first; jobs that are
    // not displaced have the last position.
    int evacuation_position(Id job) const;
    // Returns the time from which the job's wait is counted. For displaced work it is not before
    // the displacement, so that an earlier wait gives no advantage.
    Ms waits_since(Id job) const;

    // ---- scaling
    // Returns whether the zone is lost, so that its silent machines no longer count as capacity.
    bool lost(Id zone) const { return zones_.lost(zone); }
    // Returns how many more machines may be requested in the zone, given the numbers of machines
    // that report there and that are requested or booting. `for_job` is a job that fits on no
    // existing machine; kNone stands for work that could also run in other zones.
    std::uint32_t scale_out_allowance(Id zone, std::uint32_t reporting, std::uint32_t provisioning,
                                      Id for_job) const;
    // Returns whether the job has waited so long that it may use a restricted zone.
    bool waited_long(Id job) const;
    // Returns the number of zones over which scale-out for displaced work is divided, at least one.
    std::uint32_t open_zones() const;

  private:
    void load(Ms now);
    void evaluate(Ms now, Id zone);
    void on_record_durable(Ms now, Id zone, const ZoneRecord& record);
    void collect_finished_work(Ms now);
    void update_restrictions();

    LeaderContext& context_;
    const ZoneFailoverSettings& settings_;
    ZoneTable zones_;
    DisplacedWork displaced_;
    ZoneRecordStore records_;
    ZoneObserver observer_;
    DisplacedWorkMarker marker_;
    ZoneAdmission admission_;
    bool loaded_ = false;
    bool restricts_ = false;   // a zone is lost or returning
    bool evacuating_ = false;  // a zone is not healthy, and work is displaced
    Ms now_ = 0;               // time of the last tick or placement round
    Ms next_observation_at_ = 0;
};

}  // namespace walkford
