// Keeps the leases of workers alive in a zone that is cut off from the leader.
//
// Both sides of a cut between zones still reach the state service, so the leader there keeps its
// key, and its workers on the other side would lose theirs. A follower that has not heard the
// leader for a while answers the reports of workers of its own zone with the leader's token. Before
// its first answer it says so durably, in a record on a lease of its own: the leader takes no
// machine of that zone for lost while the record stands, nor within a worker's lease after it has
// changed. Such answers start nothing; they stop what the view shows as cancelled or ended.
// (docs/design.md has the proof.)
#pragma once

#include "coordination/context/controller_context.hpp"
#include "coordination/store/store_watcher.hpp"

namespace walkford {

class LeaseRelay {
  public:
    LeaseRelay(ControllerContext& context, StoreWatcher& watcher)
        : context_(context), watcher_(watcher) {}

    // `leader_silent`: somebody else leads, and has not been heard here for a while.
    void tick(Ms now, bool leader_silent);
    // Answers the report in the leader's place; false if that is not allowed now.
    bool answer(Ms now, const HeartbeatRequest& heartbeat);

  private:
    bool active(Ms now) const { return fencing_token_ != 0 && now < valid_until_; }
    bool wanted(Ms now, bool leader_silent) const;
    void begin(Ms now);
    void announce(Ms sent, std::uint64_t lease, std::uint64_t fencing_token);
    void renew(Ms now);
    void end();
    std::vector<WorkerCommand> stops(const WorkerStatus& worker_status) const;

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
    Ms asked_at_ = -1;  // a worker of this zone last reported here
};

}  // namespace walkford
