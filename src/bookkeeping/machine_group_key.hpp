// The key of a machine group, which identifies the kind of machine that a scale-out request asks
// for.
#pragma once

#include <compare>

#include "bookkeeping/types.hpp"

namespace walkford {

// Identifies machines that the cloud does not distinguish: capacity is requested, granted and
// refused per group.
struct MachineGroupKey {
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    // Ordered by machine type, then zone, then spot.
    auto operator<=>(const MachineGroupKey&) const = default;
};

}  // namespace walkford
