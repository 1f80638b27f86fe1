// What a round of placement may start in zones that are lost or returning, and what it leaves free
// for displaced work.
#pragma once

#include <set>
#include <vector>

#include "bookkeeping/free_capacity.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/zone_failover/displaced_work.hpp"
#include "coordination/zone_failover/evacuation_reserve.hpp"
#include "coordination/zone_failover/zone_table.hpp"

namespace walkford {

// Admission control within one round of placement: a budget for each restricted zone, and the
// reserve for displaced work of higher classes. Owned by ZoneFailoverManager, which asks it only
// while some zone is restricted or work is displaced.
class ZoneAdmission {
  public:
    // Without budgets until the first round. All references must outlive it.
    ZoneAdmission(LeaderContext& context, const ZoneTable& zones, const DisplacedWork& displaced);

    // Forgets the last round's reserve.
    void clear_reserve() { reserve_.clear(); }
    // Computes the budgets, and the reserve where `evacuating`.
    void begin_round(Ms now, const FreeCapacity& free_capacity, bool evacuating);

    // May a task of the job (of a gang: all of them) start in the restricted zone? A job that has
    // waited long is tried there whatever its size.
    bool admits(Id job, Id zone, bool waited_long) const;
    // May a machine of the restricted zone start an image fetch, with so many under way on it?
    bool admits_fetch(Id zone, int fetches) const;
    // Is the place left to displaced work that is placed before the job?
    bool reserved(Id job, int priority, const EvacuationReserve::Place& place) const;
    // Some of the capacity is reserved in this round.
    bool has_reserve() const { return !reserve_.empty(); }
    // Counts a task that was placed; `place` as it was before.
    void add_placed_task(Id job, const EvacuationReserve::Place& place, bool fetches);

  private:
    // What may still start in a restricted zone within this round.
    struct Budget {
        bool empty = false;  // nothing is allocated there: one job may start, whatever its size
        Resources capacity;  // that the ramp still admits
        std::uint32_t fetches = 0;
        std::uint32_t replicas_starting = 0;
        std::set<Id> jobs_starting;  // services with a replica that starts there
    };

    void compute_budget(Ms now, Id zone, const FreeCapacity& free_capacity);
    void count_starting(Budget& budget, const Machine& machine);
    void build_reserve(const FreeCapacity& free_capacity);
    bool holds_reserve(Ms now) const;
    void claim_displaced_work();
    void count_free_slots(const FreeCapacity& free_capacity);
    static bool bound_to(const Job& job, Id zone);

    LeaderContext& context_;
    const ZoneFailoverSettings& settings_;
    const ZoneTable& zones_;
    const DisplacedWork& displaced_;
    std::vector<Budget> budgets_;  // by zone
    EvacuationReserve reserve_;
};

}  // namespace walkford
