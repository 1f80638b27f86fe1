// Calls to workers outside of heartbeats.
#pragma once

#include <vector>

#include "coordination/workers/worker_status_handler.hpp"

namespace walkford {

// Calls a worker where waiting for its next heartbeat would take too long: to show it our fencing
// token, and to stop tasks. The response carries the worker's status. At most one call to a worker
// is open at a time.
class DirectCalls {
  public:
    // All must outlive this object.
    DirectCalls(LeaderContext& context, WorkerStatusHandler& status_handler);

    // Calls without commands a worker that may still obey an older leader.
    void probe_unseen_worker(Ms now, Id machine_id);

    // Sends the stop commands that no heartbeat has taken along lately.
    void send_stops(Ms now, Id machine_id);

  private:
    void send(Ms now, Id machine_id, std::vector<WorkerCommand> commands);
    void on_response(Ms now, Id machine_id, const WorkerResponse& response);

    LeaderContext& context_;
    WorkerStatusHandler& status_handler_;
};

}  // namespace walkford
