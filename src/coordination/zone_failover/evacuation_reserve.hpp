// Reserves capacity in the healthy zones for displaced jobs that are early in the placement order,
// so that work that is placed after them does not take the slots that they wait for.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

// The claims of displaced jobs and the free slots that could serve them, within one placement
// round. Owned by ZoneAdmission.
class EvacuationReserve {
  public:
    // The displaced tasks of one class, priority and evacuation position that are to be placed.
    struct Claim {
        JobSpec shape;                 // resources of one task, and where it may run
        int priority = 0;              // a higher priority is placed first
        int position = 0;              // in the evacuation order; breaks ties, lower first
        std::uint32_t tasks = 0;       // number of tasks to be placed
        std::uint64_t free_slots = 0;  // number of such tasks that fit the counted targets
    };
    // A machine that a task may be placed on: its type, zone and billing, and its free resources.
    struct PlacementTarget {
        Id machine_type = kNone;
        Id zone = kNone;
        bool spot = false;
        Resources free;
    };

    // Removes all claims.
    void clear() { claims_.clear(); }
    // Returns whether there are no claims.
    bool empty() const { return claims_.empty(); }
    // All claims, in the order in which they were made.
    const std::vector<Claim>& claims() const { return claims_; }

    // Adds `tasks` to the claim of that class, priority and position. The shape of its first call
    // stands for the whole claim.
    void add_claim(const JobSpec& shape, int priority, int position, std::uint32_t tasks);
    // Adds the target's free slots to every claim. Called after all claims have been added.
    void count_free_slots(const PlacementTarget& target);
    // Returns whether placing a task of this size, priority and position on the target would take
    // slots that a claim earlier in the placement order needs.
    bool blocks(const Resources& each, int priority, int position,
                const PlacementTarget& target) const;
    // Subtracts the slots that a task of this size takes when it is placed on the target.
    void subtract_slots(const Resources& each, const PlacementTarget& target);
    // Subtracts one placed task from its claim.
    void fulfill(Id job_class, int priority, int position);

  private:
    std::vector<Claim>::iterator find_claim(Id job_class, int priority, int position);
    static std::uint32_t lost_slots(const Claim& claim, const Resources& each,
                                    const PlacementTarget& target);
    std::vector<Claim> claims_;
};

}  // namespace walkford
