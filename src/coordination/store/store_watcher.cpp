#include "coordination/store/store_watcher.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

namespace walkford {

namespace {
// Finished jobs are not part of the snapshot; they are read from the store on request.
const std::array<std::string, 9>& snapshot_prefixes() {
    static const std::array<std::string, 9> prefixes{
        keys::kLeader,       keys::kRegistry,      keys::kRegistryParts,
        keys::kMachineTypes, keys::kAnnouncements, keys::kRelays,
        keys::kZoneRecords,  keys::kJobs,          keys::kPlacementRecords};
    return prefixes;
}
constexpr Ms kWatchTimeout = 20000;
// Each barrier costs a request to the store, so callers within this interval share one.
constexpr Ms kBarrierSpacing = 25;
// Delays before a retry. A random delay of up to the same length is added.
constexpr Ms kSnapshotRetry = 200;
constexpr Ms kWatchRetry = 250;
}  // namespace

StoreWatcher::StoreWatcher(StoreClient& client, StoreReplica& replica, Outputs& out, Jitter jitter)
    : client_(client), replica_(replica), out_(out), jitter_(std::move(jitter)) {}

void StoreWatcher::tick(Ms now) {
    if (!ready_ && !loading_snapshot_ && now >= next_snapshot_at_) {
        start_snapshot();
    }
    if (ready_ && !watching_ && now >= next_watch_at_) {
        watch();
    }
    if (ready_ && !barrier_in_flight_ && !waiting_callbacks_.empty() &&
        now >= barrier_sent_at_ + kBarrierSpacing) {
        start_barrier(now);
    }
}

Ms StoreWatcher::due() const {
    if (!ready_) {
        return loading_snapshot_ ? kNever : next_snapshot_at_;
    }
    Ms due = watching_ ? kNever : next_watch_at_;
    if (!waiting_callbacks_.empty() && !barrier_in_flight_) {
        due = std::min(due, barrier_sent_at_ + kBarrierSpacing);
    }
    return due;
}

void StoreWatcher::start_snapshot() {
    loading_snapshot_ = true;
    ready_ = false;
    watching_ = false;
    ++snapshots_;
    page_prefix_index_ = 0;
    page_after_key_.clear();
    snapshot_revision_.reset();
    replica_.begin_snapshot();
    request_page();
}

void StoreWatcher::request_page() {
    client_.list(
        snapshot_prefixes().at(page_prefix_index_), page_after_key_,
        [this](Ms now, const StoreResponse& response) { on_page(now, response); }, out_);
}

void StoreWatcher::on_page(Ms now, const StoreResponse& response) {
    if (response.status != StoreStatus::ok) {
        loading_snapshot_ = false;
        next_snapshot_at_ = now + kSnapshotRetry + jitter_(kSnapshotRetry);
        return;
    }
    // Pages are read one after the other, so the watch starts at the revision of the first page.
    // Revision 0 is valid. When it was used to mean "no revision yet", controllers that had read an
    // empty store missed the first change, which was the leader's key.
    if (!snapshot_revision_) {
        snapshot_revision_ = response.revision;
    }
    for (const StoreEntry& row : response.rows) {
        replica_.apply(row);
    }
    if (response.more && !response.rows.empty()) {
        page_after_key_ = response.rows.back().key;
    } else {
        page_after_key_.clear();
        ++page_prefix_index_;
    }
    if (page_prefix_index_ < snapshot_prefixes().size()) {
        request_page();
    } else {
        finish_snapshot(now);
    }
}

void StoreWatcher::finish_snapshot(Ms now) {
    replica_.end_snapshot(*snapshot_revision_);
    loading_snapshot_ = false;
    ready_ = true;
    spdlog::info("store snapshot loaded: {} live jobs, revision {}", replica_.jobs().size(),
                 replica_.revision());
    if (on_change) {
        on_change(now, "");
    }
    watch();
}

void StoreWatcher::apply(Ms now, const StoreResponse& response) {
    std::vector<std::string> changed_keys;
    for (const StoreEntry& row : response.rows) {
        if (replica_.apply(row)) {
            changed_keys.push_back(row.key);
        }
    }
    replica_.advance(response.revision);
    if (!on_change) {
        return;
    }
    for (const std::string& key : changed_keys) {
        on_change(now, key);
    }
}

void StoreWatcher::watch() {
    watching_ = true;
    client_.changes(
        replica_.revision(), kWatchTimeout,
        [this, snapshot = snapshots_](Ms now, const StoreResponse& response) {
            on_watch_response(now, response, snapshot);
        },
        out_);
}

void StoreWatcher::on_watch_response(Ms now, const StoreResponse& response,
                                     std::uint64_t snapshot) {
    if (snapshot != snapshots_) {
        return;
    }
    watching_ = false;
    next_watch_at_ = now + watch_spacing_;
    if (response.status == StoreStatus::ok) {
        apply(now, response);
    } else if (response.status == StoreStatus::compacted) {
        spdlog::info("store watch: changes after revision {} compacted; loading a new snapshot",
                     replica_.revision());
        ready_ = false;
        next_snapshot_at_ = now;
        run_callbacks(now, std::exchange(waiting_callbacks_, {}), false);
    } else {
        next_watch_at_ = now + kWatchRetry + jitter_(kWatchRetry);
    }
}

void StoreWatcher::barrier(Ms now, BarrierCallback callback) {
    if (!ready_) {
        callback(now, false);
        return;
    }
    waiting_callbacks_.push_back(std::move(callback));
    if (!barrier_in_flight_ && now >= barrier_sent_at_ + kBarrierSpacing) {
        start_barrier(now);
    }
}

void StoreWatcher::start_barrier(Ms now) {
    barrier_in_flight_ = true;
    barrier_sent_at_ = now;
    // Held by a shared_ptr because a std::function must be copyable.
    auto callbacks =
        std::make_shared<std::vector<BarrierCallback>>(std::exchange(waiting_callbacks_, {}));
    client_.changes(
        replica_.revision(), 0,
        [this, callbacks, sent_at = now, snapshot = snapshots_](Ms at,
                                                                const StoreResponse& response) {
            bool confirmed = on_barrier_response(at, sent_at, response, snapshot);
            run_callbacks(at, *callbacks, confirmed);
        },
        out_);
}

bool StoreWatcher::on_barrier_response(Ms now, Ms sent_at, const StoreResponse& response,
                                       std::uint64_t snapshot) {
    barrier_in_flight_ = false;
    if (!ready_ || snapshot != snapshots_) {
        return false;
    }
    if (response.status == StoreStatus::ok) {
        apply(now, response);
        confirmed_at_ = std::max(confirmed_at_, sent_at);
        return true;
    }
    if (response.status == StoreStatus::compacted) {
        ready_ = false;
        next_snapshot_at_ = now;
    }
    return false;
}

void StoreWatcher::run_callbacks(Ms now, const std::vector<BarrierCallback>& callbacks,
                                 bool confirmed) {
    for (const BarrierCallback& callback : callbacks) {
        callback(now, confirmed);
    }
}

}  // namespace walkford
