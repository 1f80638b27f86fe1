// Keeps the leases of workers alive in a zone that is partitioned from the leader.
//
// Both sides of a partition between zones may still reach the state service, so the leader keeps
// its key, and its workers on the other side would lose their leases. A follower that has received
// no heartbeat of the leader for a while answers the heartbeats of workers of its own zone with the
// leader's fencing token. Before its first answer it announces so durably, in a record on a lease
// of its own: the leader takes no machine of that zone for lost while the record stands, nor within
// a worker's lease after it has changed. Such answers start nothing; they stop what the replica
// shows as cancelled or ended. (docs/design.md has the proof.)
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

// Owned by the Controller; inactive while this controller leads or receives the leader's
// heartbeats.
class LeaseRelay {
  public:
    // References must outlive it.
    LeaseRelay(ControllerContext& context, StoreWatcher& watcher);

    // Starts, keeps up or ends the relay. `leader_silent`: somebody else leads, and none of its
    // heartbeats has been received for a while.
    void tick(Ms now, bool leader_silent);
    // Answers a worker's heartbeat in the leader's place; false, and nothing is sent, if that is
    // not allowed now.
    bool answer(Ms now, const HeartbeatRequest& heartbeat);

  private:
    bool active(Ms now) const { return fencing_token_ != 0 && now < valid_until_; }
    bool wanted(Ms now, bool leader_silent) const;
    void keep_up(Ms now);

    // One attempt to announce that we relay for the leader with that fencing token.
    struct Attempt {
        Ms sent_at = 0;  // when the lease was requested
        std::uint64_t fencing_token = 0;
        std::uint64_t lease = 0;
    };
    void begin(Ms now);
    void on_lease_granted(Ms now, Attempt attempt, const StoreResponse& response);
    void announce(const Attempt& attempt);
    void on_announced(Ms now, const Attempt& attempt, const StoreResponse& response);
    void renew(Ms now);
    void on_renewed(Ms now, Ms sent_at, std::uint64_t lease, const StoreResponse& response);
    void end();
    std::vector<WorkerCommand> stop_commands(const WorkerStatus& worker_status) const;

    ControllerContext& context_;
    StoreWatcher& watcher_;
    std::uint64_t fencing_token_ = 0;  // the leader's; 0: not relaying
    std::uint64_t lease_ = 0;          // of our record
    Ms valid_until_ = -1;
    bool beginning_ = false;
    bool renewing_ = false;
    Ms renew_at_ = 0;
    Ms retry_at_ = 0;
    Ms confirm_at_ = 0;
    Ms worker_heartbeat_at_ = -1;  // a worker of this zone last sent us a heartbeat
};

}  // namespace walkford
