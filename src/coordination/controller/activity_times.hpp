// Times of a controller process that several of its modules report or compare with.
#pragma once

#include "bookkeeping/types.hpp"

namespace walkford {

// Owned and updated by the Controller; -1 until the event has happened for the first time.
struct ActivityTimes {
    Ms started_at = -1;                    // the first step of this process
    Ms worker_heartbeat_received_at = -1;  // a worker last sent this controller a heartbeat
};

}  // namespace walkford
