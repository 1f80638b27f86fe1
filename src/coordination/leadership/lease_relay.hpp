// Keeps the leases of workers alive in a zone that is partitioned from the leader.
//
// Both sides of a partition between zones may still reach the store. The leader then keeps its key,
// while its workers on the other side would lose their leases. Therefore a follower that has
// received no heartbeat from the leader for a while answers the heartbeats of the workers in its
// own zone with the leader's fencing token. Before its first answer it writes a relay record to the
// store, attached to a lease of its own. The leader declares no machine of that zone lost while the
// record exists, nor within one worker lease after the record has changed. Relay answers start no
// tasks; they only stop tasks of jobs that are cancelled or ended according to the replica.
// (docs/design.md has the proof.)
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

// Owned by the Controller; inactive while this controller leads or receives the leader's
// heartbeats.
class LeaseRelay {
  public:
    // The referenced objects must outlive this object.
    LeaseRelay(ControllerContext& context, StoreWatcher& watcher);

    // Starts, maintains or stops the relay. `leader_silent` means that another controller leads and
    // that no heartbeat has been received from it for a while.
    void tick(Ms now, bool leader_silent);
    // Answers a worker's heartbeat on behalf of the leader. Returns false and sends nothing if the
    // relay may not answer now.
    bool answer(Ms now, const HeartbeatRequest& heartbeat);

  private:
    bool active(Ms now) const { return fencing_token_ != 0 && now < valid_until_; }
    bool should_relay(Ms now, bool leader_silent) const;
    void maintain(Ms now);

    // One attempt to start relaying for the leader with the given fencing token.
    struct Attempt {
        Ms sent_at = 0;  // when the lease was requested
        std::uint64_t fencing_token = 0;
        std::uint64_t lease = 0;
    };
    void start(Ms now);
    void on_lease_granted(Ms now, Attempt attempt, const StoreResponse& response);
    void write_relay_record(const Attempt& attempt);
    void on_relay_record_written(Ms now, const Attempt& attempt, const StoreResponse& response);
    void renew(Ms now);
    void on_renewed(Ms now, Ms sent_at, std::uint64_t lease, const StoreResponse& response);
    void stop();
    std::vector<WorkerCommand> stop_commands(const WorkerStatus& worker_status) const;

    ControllerContext& context_;
    StoreWatcher& watcher_;
    std::uint64_t fencing_token_ = 0;  // the leader's token; 0: not relaying
    std::uint64_t lease_ = 0;          // the lease of the relay record
    Ms valid_until_ = -1;
    bool starting_ = false;
    bool renewing_ = false;
    Ms renew_at_ = 0;
    Ms retry_at_ = 0;
    Ms confirm_at_ = 0;
    Ms worker_heartbeat_at_ = -1;  // the last from a worker of this zone; -1: none
};

}  // namespace walkford
