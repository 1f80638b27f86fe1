// Key of a machine group: what a scale-out request asks the cloud for.
#pragma once

#include <compare>

#include "bookkeeping/types.hpp"

namespace walkford {

// Machines that the cloud treats alike: its capacity is asked for, granted and refused per group.
struct MachineGroupKey {
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    // Ordered by machine type, then zone, then spot.
    auto operator<=>(const MachineGroupKey&) const = default;
};

}  // namespace walkford
