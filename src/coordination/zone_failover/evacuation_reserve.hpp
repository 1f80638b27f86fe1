// Capacity reserved in the surviving zones for displaced work of higher classes: lower work does
// not take the slots that it waits for.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

// The claims of displaced work, and the free slots that could serve them, within one round of
// placement. Owned by ZoneAdmission.
class EvacuationReserve {
  public:
    // Work of one class that is to be placed.
    struct Claim {
        JobSpec shape;                 // what one task takes, and where it may run
        int priority = 0;              // a higher one is placed first ...
        int position = 0;              // ... and then a lower position in the evacuation order
        std::uint32_t tasks = 0;       // to be placed
        std::uint64_t free_slots = 0;  // tasks of that shape that fit the places counted
    };
    // A machine's group, and what the machine has free.
    struct Place {
        Id machine_type = kNone;
        Id zone = kNone;
        bool spot = false;
        Resources free;
    };

    // Drops all claims.
    void clear() { claims_.clear(); }
    // Nothing is claimed.
    bool empty() const { return claims_.empty(); }
    // All claims, in the order in which they were made.
    const std::vector<Claim>& claims() const { return claims_; }

    // Tasks of one class, priority and position are counted together, by the shape first given.
    void claim(const JobSpec& shape, int priority, int position, std::uint32_t tasks);
    // Counts the slots of a place, once all claims are made.
    void count(const Place& place);
    // Must the place be left to work that is placed before a task of this size, priority and
    // position?
    bool blocks(const Resources& each, int priority, int position, const Place& place) const;
    // A task of this size was put into the place.
    void take(const Resources& each, const Place& place);
    // A task that was claimed for was placed.
    void fulfill(Id job_class, int priority, int position);

  private:
    std::vector<Claim>::iterator find(Id job_class, int priority, int position);
    static std::uint32_t lost_slots(const Claim& claim, const Resources& each, const Place& place);
    std::vector<Claim> claims_;
};

}  // namespace walkford
