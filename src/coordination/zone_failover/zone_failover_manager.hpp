// The leader's part in zone failover: observes the zones, keeps each one's record durable, and
// answers what follows from it for placement and scaling. docs/zone-failover.md has the reasons.
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

// Composes the classes of this folder and is what the rest of the leader sees of them. Owned by the
// leader for one term.
class ZoneFailoverManager {
  public:
    // All zones are taken as up until the first tick. The context must outlive it.
    explicit ZoneFailoverManager(LeaderContext& context);
    // Its parts refer to one another.
    ZoneFailoverManager(const ZoneFailoverManager&) = delete;
    ZoneFailoverManager& operator=(const ZoneFailoverManager&) = delete;

    // Observes and evaluates the zones when that is due. Called in each step of the leader.
    void tick(Ms now, const WorkerManager& workers, const CloudManager& cloud);

    // Switched on, and all controllers read its records.
    bool active() const;

    // ---- for placement
    // Called at the beginning of each round of placement.
    void begin_round(Ms now, const FreeCapacity& free_capacity);
    // Some zone is restricted or work is displaced, so that the questions below have to be asked.
    bool restricts() const { return restricts_ || evacuating_; }
    // May a task of the job (of a gang: all of them) start in the zone now?
    bool admits(Id job, Id zone) const;
    // May a machine there start an image fetch, with so many fetches under way on it?
    bool admits_fetch(Id zone, int fetches) const;
    // Is the place left to displaced work that is placed before the job?
    bool reserved(Id job, int priority, const EvacuationReserve::Place& place) const;
    // A task was placed; `place` as it was before.
    void placed(Id job, const EvacuationReserve::Place& place, bool fetches);
    // Capacity may be reserved, and other work preempted, there as in any zone.
    bool open(Id zone) const { return zones_.open(zone); }
    // The job can run in a lost zone only: it waits, and nobody waits for it.
    bool waits_for_zone(Id job) const;

    // ---- the order of displaced work
    // Some zone fails or returns, and displaced work does not run again yet.
    bool evacuating() const { return evacuating_; }
    // The job's position in the evacuation order, 0 first; the last one if it is not displaced.
    int evacuation_position(Id job) const;
    // Since when the job's waiting counts: an older wait gives displaced work no advantage.
    Ms waits_since(Id job) const;

    // ---- for scaling
    // Silent machines there are no capacity any more.
    bool lost(Id zone) const { return zones_.lost(zone); }
    // How many more machines may be requested there, with so many reporting and so many on their
    // way, for a job that fits nowhere (kNone: for work that could be elsewhere).
    std::uint32_t scale_out_allowance(Id zone, std::uint32_t reporting, std::uint32_t provisioning,
                                      Id for_job) const;
    // The job has waited so long that a restricted zone is tried for it.
    bool waited_long(Id job) const;
    // Over how many zones scale-out for displaced work is divided; at least one.
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
    bool restricts_ = false;   // some zone is lost or returning
    bool evacuating_ = false;  // some zone is not healthy, and work is displaced
    Ms now_ = 0;               // of the last tick or round
    Ms next_observation_at_ = 0;
};

}  // namespace walkford
