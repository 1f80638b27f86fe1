#include "coordination/zone_failover/evacuation_reserve.hpp"

#include <algorithm>

namespace walkford {

std::vector<EvacuationReserve::Claim>::iterator EvacuationReserve::find_claim(Id job_class,
                                                                              int priority,
                                                                              int position) {
    return std::find_if(claims_.begin(), claims_.end(), [&](const Claim& claim) {
        return claim.shape.job_class == job_class && claim.priority == priority &&
               claim.position == position;
    });
}

void EvacuationReserve::add_claim(const JobSpec& shape, int priority, int position,
                                  std::uint32_t tasks) {
    auto existing = find_claim(shape.job_class, priority, position);
    if (existing != claims_.end()) {
        existing->tasks += tasks;
        return;
    }
    claims_.push_back({shape, priority, position, tasks, 0});
}

void EvacuationReserve::count_free_slots(const PlacementTarget& target) {
    for (Claim& claim : claims_) {
        claim.free_slots += ClusterState::slots(claim.shape, target.machine_type, target.zone,
                                                target.spot, target.free);
    }
}

// Returns how many fewer tasks of the claim's shape fit the target once a task of size `each` is
// placed on it.
std::uint32_t EvacuationReserve::lost_slots(const Claim& claim, const Resources& each,
                                            const PlacementTarget& target) {
    std::uint32_t before = ClusterState::slots(claim.shape, target.machine_type, target.zone,
                                               target.spot, target.free);
    if (before == 0) {
        return 0;
    }
    std::uint32_t after = ClusterState::slots(claim.shape, target.machine_type, target.zone,
                                              target.spot, target.free - each);
    return before - std::min(before, after);
}

bool EvacuationReserve::blocks(const Resources& each, int priority, int position,
                               const PlacementTarget& target) const {
    return std::any_of(claims_.begin(), claims_.end(), [&](const Claim& claim) {
        bool is_placed_first =
            claim.priority > priority || (claim.priority == priority && claim.position < position);
        if (!is_placed_first) {
            return false;
        }
        std::uint32_t lost = lost_slots(claim, each, target);
        return lost > 0 && claim.free_slots < std::uint64_t{claim.tasks} + lost;
    });
}

void EvacuationReserve::subtract_slots(const Resources& each, const PlacementTarget& target) {
    for (Claim& claim : claims_) {
        std::uint32_t lost = lost_slots(claim, each, target);
        claim.free_slots -= std::min<std::uint64_t>(claim.free_slots, lost);
    }
}

void EvacuationReserve::fulfill(Id job_class, int priority, int position) {
    auto claim = find_claim(job_class, priority, position);
    if (claim != claims_.end() && claim->tasks > 0) {
        --claim->tasks;
    }
}

}  // namespace walkford
