// Backoff per machine group after the cloud refused a scale-out request.
#pragma once

#include <map>

#include "bookkeeping/machine_group_key.hpp"

namespace walkford {

// Remembers which machine groups the cloud refused and until when they are not requested again.
// Owned by CloudManager; a new leader starts with no refusals.
class CapacityBackoff {
  public:
    // Records that the cloud granted fewer machines than requested, or none. The backoff starts at
    // `base`, doubles with each consecutive refusal and is capped at four times `base`. It grows so
    // that a cheap group that is always refused does not keep the more expensive groups ranked
    // after it from being requested.
    void add_refusal(Ms now, const MachineGroupKey& group, Ms base);
    // Blocks the group until the given time and replaces its earlier refusals.
    void block_until(const MachineGroupKey& group, Ms until);
    // Removes the refusals of the group, after the cloud granted machines of it.
    void clear(const MachineGroupKey& group) { refusals_.erase(group); }
    // Removes the refusals of all groups of the machine type, after a machine of that type was
    // terminated: its capacity may be available again.
    void clear_machine_type(Id machine_type);

    // Whether the backoff of the group is still running.
    bool blocks(const MachineGroupKey& group, Ms now) const;
    // Whether the backoff of any group in the zone is still running.
    bool blocks_zone(Id zone, Ms now) const;
    // Whether the group has been refused since it was last granted.
    bool refused(const MachineGroupKey& group) const { return refusals_.contains(group); }
    // Whether the group has been refused more than once in a row.
    bool refused_repeatedly(const MachineGroupKey& group) const;

  private:
    struct Refusal {
        Ms until = 0;
        int count = 0;  // consecutive refusals, up to kMaxRefusalCount
    };

    std::map<MachineGroupKey, Refusal> refusals_;
};

}  // namespace walkford
