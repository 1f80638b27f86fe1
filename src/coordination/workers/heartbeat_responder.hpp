// Responds to heartbeats, at once or deferred until there are commands to send.
#pragma once

#include <map>

#include "coordination/workers/command_builder.hpp"

namespace walkford {

// `run` commands are sent only in responses to heartbeats, and the next heartbeat comes a report
// interval later. When a placement is expected soon, the response waits for it for a short time.
// Every response with 200 renews the worker's lease.
class HeartbeatResponder {
  public:
    // Both must outlive this object.
    HeartbeatResponder(LeaderContext& context, RecentRuns& recent_runs);
    // Answers the deferred heartbeats with 503, so that the workers turn to the next leader.
    ~HeartbeatResponder();
    HeartbeatResponder(const HeartbeatResponder&) = delete;
    HeartbeatResponder& operator=(const HeartbeatResponder&) = delete;

    // Answers with 503, which renews no lease.
    void refuse(RequestId request);

    // Renews the worker's lease, without commands.
    void renew_lease(Ms now, Machine& machine, RequestId request);

    // Answers with commands, now or later. A worker has one heartbeat open at a time: an earlier
    // one that is still deferred is answered first, without commands.
    void respond_or_defer(Ms now, Id machine_id, const HeartbeatRequest& heartbeat);

    // Answers the deferred heartbeats that have waited long enough or whose commands are ready.
    // `placement_rounds`: how many placement rounds are complete.
    void respond_deferred(Ms now, std::uint64_t placement_rounds);

    // Whether a heartbeat of the machine's worker is waiting for its response.
    bool has_deferred(Id machine_id) const { return deferred_.count(machine_id) != 0; }

  private:
    // Why the response to a heartbeat is deferred.
    enum class DeferReason : std::uint8_t {
        none,       // it is sent at once
        idle,       // the machine has no tasks and waits for work
        placement,  // a task has just exited or been placed, and commands are expected soon
    };
    struct DeferredHeartbeat {
        RequestId request = 0;
        WorkerStatus worker_status;
        Ms deadline = 0;
        DeferReason reason = DeferReason::none;
        std::uint64_t placement_rounds = 0;  // complete when the heartbeat was deferred
    };

    DeferReason defer_reason(Id machine_id, const WorkerStatus& status) const;
    bool may_defer(const Machine& machine, const WorkerStatus& status) const;
    Ms max_delay(DeferReason reason) const;
    bool has_non_durable_exit(Id machine_id, const WorkerStatus& status) const;
    bool has_non_durable_placement(const Machine& machine) const;
    bool commands_ready(Id machine_id, const DeferredHeartbeat& deferred) const;
    void respond(Ms now, Id machine_id, RequestId request, const WorkerStatus& status);

    LeaderContext& context_;
    CommandBuilder command_builder_;
    std::map<Id, DeferredHeartbeat> deferred_;  // by machine
    std::uint64_t placement_rounds_ = 0;
    Ms next_deferred_check_at_ = 0;
};

}  // namespace walkford
