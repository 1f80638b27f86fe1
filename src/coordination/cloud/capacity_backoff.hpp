// Backoff of scale-out requests that the cloud refused, per machine group.
#pragma once

#include <map>

#include "bookkeeping/machine_group_key.hpp"

namespace walkford {

// Remembers which machine groups the cloud refused and until when they are not requested again.
// Owned by CloudManager; a new leader starts with no refusals.
class CapacityBackoff {
  public:
    // The cloud had no capacity, or less than requested. Doubles the backoff with each refusal in a
    // row, up to four times `base`: a cheap group that is always refused must not keep a more
    // expensive one behind it from being requested.
    void add_refusal(Ms now, const MachineGroupKey& group, Ms base);
    // Blocks the group until then, whatever was refused before.
    void block_until(const MachineGroupKey& group, Ms until);
    // The cloud granted machines of the group.
    void clear(const MachineGroupKey& group) { refusals_.erase(group); }
    // A machine of the type is gone, so its capacity may be available again.
    void clear_machine_type(Id machine_type);

    // The group is not to be requested at this time.
    bool blocks(const MachineGroupKey& group, Ms now) const;
    // Some group of the zone is blocked.
    bool blocks_zone(Id zone, Ms now) const;
    // The group was refused since it was last granted.
    bool refused(const MachineGroupKey& group) const { return refusals_.contains(group); }
    // ... and more than once in a row.
    bool refused_repeatedly(const MachineGroupKey& group) const;

  private:
    struct Refusal {
        Ms until = 0;
        int count = 0;  // in a row, up to kMaxRefusalCount
    };

    std::map<MachineGroupKey, Refusal> refusals_;
};

}  // namespace walkford
