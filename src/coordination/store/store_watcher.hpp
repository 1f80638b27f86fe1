// Keeps the replica of the state service current (a snapshot, then a watch for changes), and
// confirms by linearizable reads how current it is.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/store/store_client.hpp"
#include "coordination/store/store_replica.hpp"

namespace walkford {

// Owned by the Controller, and the only one to update the replica. Retries on its own; it reports
// failure only to the callers of barrier().
class StoreWatcher {
  public:
    // `confirmed`: false if the replica could not be confirmed.
    using BarrierCallback = std::function<void(Ms now, bool confirmed)>;
    // Draws a random delay between 0 and `most`, so that controllers don't retry in step.
    using Jitter = std::function<Ms(Ms most)>;
    // Requests are appended to `out`; all references must outlive the watcher.
    StoreWatcher(StoreClient& client, StoreReplica& replica, Outputs& out, Jitter jitter);

    // Sends what is due: the snapshot, the next watch, a barrier.
    void tick(Ms now);
    // Read barrier: calls back once the replica includes everything that had been written by now,
    // or with false if that can't be confirmed. One request serves all callers that wait.
    void barrier(Ms now, BarrierCallback then);
    // Has a snapshot been loaded, and are its changes followed?
    bool ready() const { return ready_; }
    // How long the next watch waits once one has returned changes.
    void set_watch_spacing(Ms spacing) { watch_spacing_ = spacing; }
    // When tick() has something to do even if no response comes in before; kNever: nothing.
    Ms due() const;
    // The replica includes everything that had been written by then; -1: never confirmed.
    Ms confirmed_at() const { return confirmed_at_; }

    // Called after a change of a key, and with an empty key after a snapshot was loaded.
    std::function<void(Ms, const std::string& key)> on_change;

  private:
    void start_snapshot();
    void request_page();
    void on_page(Ms now, const StoreResponse& response);
    void finish_snapshot(Ms now);
    void watch();
    void on_watched(Ms now, const StoreResponse& response, std::uint64_t snapshot);
    void start_barrier(Ms now);
    // True if the replica is confirmed.
    bool on_barrier_read(Ms now, Ms sent_at, const StoreResponse& response, std::uint64_t snapshot);
    void apply(Ms now, const StoreResponse& response);
    static void run_callbacks(Ms now, const std::vector<BarrierCallback>& callbacks,
                              bool confirmed);

    StoreClient& client_;
    StoreReplica& replica_;
    Outputs& out_;
    Jitter jitter_;
    bool ready_ = false;
    bool loading_snapshot_ = false;
    std::size_t page_prefix_ = 0;  // index of the prefix whose keys are being read
    std::string page_after_;
    std::optional<std::uint64_t> snapshot_revision_;
    // Snapshots begun. A response to an earlier request is not taken in after the latest one began:
    // a snapshot shows no trace of deleted keys, so old changes would bring them back.
    std::uint64_t snapshots_ = 0;
    Ms snapshot_at_ = 0;  // when to begin the next one, unless ready
    bool watching_ = false;
    Ms watch_at_ = 0;
    Ms watch_spacing_ = 0;
    bool barrier_open_ = false;
    Ms barrier_sent_at_ = -1000;
    Ms confirmed_at_ = -1;
    std::vector<BarrierCallback> waiting_;
};

}  // namespace walkford
