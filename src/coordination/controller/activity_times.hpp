// Times of events in a controller process, which several of its modules use.
#pragma once

#include "bookkeeping/types.hpp"

namespace walkford {

// Owned and updated by the Controller. A time is -1 until its event first happens.
struct ActivityTimes {
    Ms started_at = -1;                    // first step of this process
    Ms worker_heartbeat_received_at = -1;  // last heartbeat from any worker
};

}  // namespace walkford
