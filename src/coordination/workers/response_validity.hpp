// How long a response to a heartbeat may still take effect.
#pragma once

#include "bookkeeping/types.hpp"

namespace walkford {

// A worker drops a response that arrives more than 4 s after it sent the heartbeat. The leader
// measures from a later moment, with a clock that may run faster than the worker's.
inline constexpr Ms kResponseValidFor = with_drift(4000);

}  // namespace walkford
