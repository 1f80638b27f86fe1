// Limits what a placement round may start in zones that are lost or returning, and reserves
// capacity for displaced work.
#pragma once

#include <set>
#include <vector>

#include "bookkeeping/free_capacity.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/zone_failover/displaced_work.hpp"
#include "coordination/zone_failover/evacuation_reserve.hpp"
#include "coordination/zone_failover/zone_table.hpp"

namespace walkford {

// Admission control within one placement round: a budget for each restricted zone, and the reserve
// for displaced work that is earlier in the placement order. Owned by ZoneFailoverManager, which
// calls it only while a zone is restricted or work is displaced.
class ZoneAdmission {
  public:
    // The budgets are empty until the first round. All references must outlive it.
    ZoneAdmission(LeaderContext& context, const ZoneTable& zones, const DisplacedWork& displaced);

    // Removes the reserve of the previous round.
    void clear_reserve() { reserve_.clear(); }
    // Computes the budgets for this round, and, if `evacuating`, the reserve.
    void begin_round(Ms now, const FreeCapacity& free_capacity, bool evacuating);

    // Returns whether a task of the job (for a gang, all of its tasks) may start in the restricted
    // zone. A job that has waited long may start there whatever its size.
    bool admits(Id job, Id zone, bool waited_long) const;
    // Returns whether a machine of the restricted zone that has `fetches` image fetches in progress
    // may start another one.
    bool admits_fetch(Id zone, int fetches) const;
    // Returns whether the target's capacity is reserved for displaced work that is placed before
    // the job.
    bool reserved(Id job, int priority, const EvacuationReserve::PlacementTarget& target) const;
    // Returns whether any capacity is reserved in this round.
    bool has_reserve() const { return !reserve_.empty(); }
    // Accounts for a placed task. `target` is the state before the placement.
    void add_placed_task(Id job, const EvacuationReserve::PlacementTarget& target, bool fetches);

  private:
    // What may still start in one restricted zone in this round.
    struct Budget {
        // Nothing is allocated in the zone, so one job may start whatever its size.
        bool empty = false;
        Resources capacity;  // that the ramp still admits
        std::uint32_t fetches = 0;
        std::uint32_t replicas_starting = 0;
        std::set<Id> jobs_starting;  // services with a replica that is starting in the zone
    };

    void compute_budget(Ms now, Id zone, const FreeCapacity& free_capacity);
    void count_starting(Budget& budget, const Machine& machine);
    void build_reserve(const FreeCapacity& free_capacity);
    bool reserve_needed(Ms now) const;
    void claim_displaced_work();
    void count_free_slots(const FreeCapacity& free_capacity);
    static bool is_bound_to(const Job& job, Id zone);

    LeaderContext& context_;
    const ZoneFailoverSettings& settings_;
    const ZoneTable& zones_;
    const DisplacedWork& displaced_;
    std::vector<Budget> budgets_;  // by zone
    EvacuationReserve reserve_;
};

}  // namespace walkford
