#include "coordination/cloud/capacity_backoff.hpp"

#include <algorithm>

namespace walkford {

namespace {
constexpr int kMaxRefusalCount = 3;  // caps the backoff at four times its base
}

void CapacityBackoff::add_refusal(Ms now, const MachineGroupKey& group, Ms base) {
    Refusal& refusal = refusals_[group];
    refusal.count = std::min(refusal.count + 1, kMaxRefusalCount);
    refusal.until = now + base * (Ms{1} << (refusal.count - 1));
}

void CapacityBackoff::block_until(const MachineGroupKey& group, Ms until) {
    refusals_[group] = {until, 1};
}

void CapacityBackoff::clear_machine_type(Id machine_type) {
    std::erase_if(refusals_, [machine_type](const auto& entry) {
        return entry.first.machine_type == machine_type;
    });
}

bool CapacityBackoff::blocks(const MachineGroupKey& group, Ms now) const {
    auto refusal = refusals_.find(group);
    return refusal != refusals_.end() && now < refusal->second.until;
}

bool CapacityBackoff::blocks_zone(Id zone, Ms now) const {
    return std::any_of(refusals_.begin(), refusals_.end(), [&](const auto& entry) {
        return entry.first.zone == zone && now < entry.second.until;
    });
}

bool CapacityBackoff::refused_repeatedly(const MachineGroupKey& group) const {
    auto refusal = refusals_.find(group);
    return refusal != refusals_.end() && refusal->second.count > 1;
}

}  // namespace walkford
