// Room kept in the surviving zones for displaced work of higher classes: lower work does not take
// the places that it waits for.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

class EvacuationReserve {
  public:
    // Work of one class that is to be placed: what one task takes, and how many there are.
    struct Claim {
        JobSpec shape;
        int priority = 0;
        int position = 0;
        std::uint32_t tasks = 0;
        std::uint64_t free_slots = 0;
    };
    // A machine, or one on its way, with what it has free.
    struct Place {
        Id machine_type = kNone;
        Id zone = kNone;
        bool spot = false;
        Resources free;
    };

    void clear() { claims_.clear(); }
    bool empty() const { return claims_.empty(); }
    const std::vector<Claim>& claims() const { return claims_; }

    // Tasks of one class, priority and rank are counted together, by the shape first given.
    void claim(const JobSpec& shape, int priority, int position, std::uint32_t tasks);
    // Counts the slots of a place, once all claims are made.
    void count(const Place& place);
    // Must the place be left to work that goes before a task of this size, priority and rank?
    bool blocks(const Resources& each, int priority, int position, const Place& place) const;
    // A task of this size was put into the place.
    void take(const Resources& each, const Place& place);
    // A task that was claimed for has its place.
    void fulfil(Id job_class, int priority, int position);

  private:
    std::vector<Claim>::iterator find(Id job_class, int priority, int position);
    static std::uint32_t lost_slots(const Claim& claim, const Resources& each, const Place& place);
    std::vector<Claim> claims_;
};

}  // namespace walkford
