// Calls to workers outside of heartbeats.
#pragma once

#include <vector>

#include "coordination/workers/worker_status_handler.hpp"

namespace walkford {

// Calls a worker directly when waiting for its next heartbeat would take too long: to announce our
// fencing token, and to stop tasks. The response carries the worker's status. At most one call to
// each worker is open at a time.
class DirectCalls {
  public:
    // All must outlive this object.
    DirectCalls(LeaderContext& context, WorkerStatusHandler& status_handler);

    // Sends a call without commands to a worker that may still accept commands of an older leader.
    void probe_unseen_worker(Ms now, Id machine_id);

    // Sends a call without commands to a worker whose counters may have started anew.
    void check_counters(Ms now, Id machine_id);

    // Sends the stop commands that were not sent within the resend interval.
    void send_stops(Ms now, Id machine_id);

  private:
    void send(Ms now, Id machine_id, std::vector<WorkerCommand> commands);
    // What was known of a worker when a call was sent.
    struct SentCall {
        Id machine = kNone;
        Ms sent_at = 0;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
    };
    void on_response(Ms now, const SentCall& call, const WorkerResponse& response);

    LeaderContext& context_;
    WorkerStatusHandler& status_handler_;
};

}  // namespace walkford
