#include "coordination/zone_failover/evacuation_reserve.hpp"

#include <algorithm>

namespace walkford {

std::vector<EvacuationReserve::Claim>::iterator EvacuationReserve::find(Id job_class, int priority,
                                                                        int position) {
    return std::find_if(claims_.begin(), claims_.end(), [&](const Claim& c) {
        return c.shape.job_class == job_class && c.priority == priority && c.position == position;
    });
}

void EvacuationReserve::claim(const JobSpec& shape, int priority, int position,
                              std::uint32_t tasks) {
    auto same = find(shape.job_class, priority, position);
    if (same != claims_.end()) {
        same->tasks += tasks;
        return;
    }
    claims_.push_back({shape, priority, position, tasks, 0});
}

void EvacuationReserve::count(const Place& place) {
    for (Claim& c : claims_) {
        c.free_slots +=
            ClusterState::slots(c.shape, place.machine_type, place.zone, place.spot, place.free);
    }
}

std::uint32_t EvacuationReserve::lost_slots(const Claim& claim, const Resources& each,
                                            const Place& place) {
    std::uint32_t before =
        ClusterState::slots(claim.shape, place.machine_type, place.zone, place.spot, place.free);
    if (before == 0) {
        return 0;
    }
    std::uint32_t after = ClusterState::slots(claim.shape, place.machine_type, place.zone,
                                              place.spot, place.free - each);
    return before - std::min(before, after);
}

bool EvacuationReserve::blocks(const Resources& each, int priority, int position,
                               const Place& place) const {
    return std::any_of(claims_.begin(), claims_.end(), [&](const Claim& c) {
        bool goes_before =
            c.priority > priority || (c.priority == priority && c.position < position);
        if (!goes_before) {
            return false;
        }
        std::uint32_t lost = lost_slots(c, each, place);
        return lost > 0 && c.free_slots < std::uint64_t{c.tasks} + lost;
    });
}

void EvacuationReserve::take(const Resources& each, const Place& place) {
    for (Claim& c : claims_) {
        std::uint32_t lost = lost_slots(c, each, place);
        c.free_slots -= std::min<std::uint64_t>(c.free_slots, lost);
    }
}

void EvacuationReserve::fulfil(Id job_class, int priority, int position) {
    auto claimed = find(job_class, priority, position);
    if (claimed != claims_.end() && claimed->tasks > 0) {
        --claimed->tasks;
    }
}

}  // namespace walkford
