// Keeps the node's view up to date (a reading, then a watch) and proves how fresh it is.
#pragma once

#include <functional>
#include <memory>

#include "coordination/store/store_client.hpp"
#include "coordination/store/store_replica.hpp"

namespace walkford {

class StoreWatcher {
  public:
    using BarrierCallback = std::function<void(Ms, bool)>;
    // Draws a random delay between 0 and `most`, so that controllers don't retry in step.
    using Jitter = std::function<Ms(Ms most)>;
    // Requests are appended to `out`; all references must outlive the watcher.
    StoreWatcher(StoreClient& client, StoreReplica& replica, Outputs& out, Jitter jitter)
        : client_(client), replica_(replica), out_(out), jitter_(std::move(jitter)) {}

    void tick(Ms now);
    // Calls back once the view is at least as new as this moment, or with false when that can't be
    // had now. One reading serves all that wait.
    void barrier(Ms now, BarrierCallback then);
    bool ready() const { return ready_; }
    // How long the next watch waits once one has brought changes.
    void set_watch_spacing(Ms spacing) { watch_spacing_ = spacing; }
    // When there is something to do without an answer coming in before.
    Ms due() const;
    // The view held everything that had happened by then.
    Ms confirmed_at() const { return confirmed_at_; }

    std::function<void(Ms, const std::string& key)> on_change;

  private:
    void start_reading(Ms now);
    void read_next(Ms now);
    void watch(Ms now);
    void start_barrier(Ms now);
    void apply(Ms now, const StoreResponse& r);
    void fail_waiting(Ms now);

    StoreClient& client_;
    StoreReplica& replica_;
    Outputs& out_;
    Jitter jitter_;
    bool ready_ = false;
    bool reading_ = false;
    std::size_t read_prefix_ = 0;
    std::string read_after_;
    std::optional<std::uint64_t> read_revision_;
    // Readings begun. What was asked for before the latest is not taken in after it: a reading
    // leaves no trace of what has gone, and old news would bring it back.
    std::uint64_t readings_ = 0;
    Ms read_at_ = 0;
    bool watching_ = false;
    Ms watch_at_ = 0;
    Ms watch_spacing_ = 0;
    bool barrier_open_ = false;
    Ms barrier_sent_ = -1000;
    Ms confirmed_at_ = -1;
    std::vector<BarrierCallback> waiting_;
};

}  // namespace walkford
