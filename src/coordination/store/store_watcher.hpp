// Keeps the replica of the store current by loading a snapshot and then watching for changes, and
// confirms by linearizable reads how current the replica is.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store/store_client.hpp"
#include "coordination/store/store_replica.hpp"

namespace walkford {

// Owned by the Controller. It is the only class that updates the replica. Failed requests are
// retried internally; only the callers of barrier() learn of a failure.
class StoreWatcher {
  public:
    // `confirmed`: whether the replica was confirmed to be current.
    using BarrierCallback = std::function<void(Ms now, bool confirmed)>;
    // Returns a random delay between 0 and `most`, so that controllers don't retry in lockstep.
    using Jitter = std::function<Ms(Ms most)>;
    // Requests are appended to `out`; all references must outlive the watcher.
    StoreWatcher(StoreClient& client, StoreReplica& replica, Outputs& out, Jitter jitter);

    // Sends the requests that are due: for a snapshot, the next watch or a barrier.
    void tick(Ms now);
    // Read barrier: calls back with true once the replica includes everything written before this
    // call, or with false if that can't be confirmed. One request serves all waiting callers.
    void barrier(Ms now, BarrierCallback callback);
    // Returns whether a snapshot has been loaded and the changes since then are being watched.
    bool ready() const { return ready_; }
    // Sets the delay between the response to a watch and the next watch.
    void set_watch_spacing(Ms spacing) { watch_spacing_ = spacing; }
    // The next time at which tick() has something to do if no response arrives before; kNever if
    // there is nothing to do.
    Ms due() const;
    // The replica includes everything written before this time; -1 if it was never confirmed.
    Ms confirmed_at() const { return confirmed_at_; }

    // Called after each change of a key, and with an empty key after a snapshot was loaded.
    std::function<void(Ms, const std::string& key)> on_change;

  private:
    void start_snapshot();
    void request_page();
    void on_page(Ms now, const StoreResponse& response);
    void finish_snapshot(Ms now);
    void watch();
    void on_watch_response(Ms now, const StoreResponse& response, std::uint64_t snapshot);
    void start_barrier(Ms now);
    // Returns whether the response confirms the replica.
    bool on_barrier_response(Ms now, Ms sent_at, const StoreResponse& response,
                             std::uint64_t snapshot);
    void apply(Ms now, const StoreResponse& response);
    static void run_callbacks(Ms now, const std::vector<BarrierCallback>& callbacks,
                              bool confirmed);

    StoreClient& client_;
    StoreReplica& replica_;
    Outputs& out_;
    Jitter jitter_;
    bool ready_ = false;
    bool loading_snapshot_ = false;
    std::size_t page_prefix_index_ = 0;  // index of the prefix whose keys are being read
    std::string page_after_key_;
    std::optional<std::uint64_t> snapshot_revision_;
    // The number of snapshots begun. Responses to requests sent before the latest snapshot began
    // are ignored: a snapshot does not show which keys were deleted, so older changes would restore
    // deleted keys.
    std::uint64_t snapshots_ = 0;
    Ms next_snapshot_at_ = 0;  // when to begin the next snapshot, unless ready
    bool watching_ = false;
    Ms next_watch_at_ = 0;
    Ms watch_spacing_ = 0;
    bool barrier_in_flight_ = false;
    Ms barrier_sent_at_ = -1000;
    Ms confirmed_at_ = -1;
    std::vector<BarrierCallback> waiting_callbacks_;
};

}  // namespace walkford
