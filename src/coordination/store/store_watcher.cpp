#include "coordination/store/store_watcher.hpp"

#include <spdlog/spdlog.h>

namespace walkford {

namespace {
// Ended jobs are not read at the start: they are looked up when asked for.
const std::array<std::string, 9>& reading_prefixes() {
    static const std::array<std::string, 9> prefixes{
        keys::kLeader,       keys::kRegistry,      keys::kRegistryParts,
        keys::kMachineTypes, keys::kAnnouncements, keys::kRelays,
        keys::kZoneRecords,  keys::kJobs,          keys::kTasks};
    return prefixes;
}
constexpr Ms kWatchFor = 20000;
// Readings count as requests; several users share one.
constexpr Ms kBarrierSpacing = 25;
}  // namespace

void StoreWatcher::tick(Ms now) {
    if (!ready_ && !reading_ && now >= read_at_) {
        start_reading(now);
    }
    if (ready_ && !watching_ && now >= watch_at_) {
        watch(now);
    }
    if (ready_ && !barrier_open_ && !waiting_.empty() && now >= barrier_sent_ + kBarrierSpacing) {
        start_barrier(now);
    }
}

Ms StoreWatcher::due() const {
    if (!ready_) {
        return reading_ ? kNever : read_at_;
    }
    Ms due = watching_ ? kNever : watch_at_;
    if (!waiting_.empty() && !barrier_open_) {
        due = std::min(due, barrier_sent_ + kBarrierSpacing);
    }
    return due;
}

void StoreWatcher::start_reading(Ms now) {
    reading_ = true;
    ready_ = false;
    watching_ = false;
    ++readings_;
    read_prefix_ = 0;
    read_after_.clear();
    read_revision_.reset();
    replica_.begin_reading();
    read_next(now);
}

void StoreWatcher::read_next(Ms) {
    client_.list(
        reading_prefixes().at(read_prefix_), read_after_,
        [this](Ms now, const StoreResponse& r) {
            if (r.status != StoreStatus::ok) {
                reading_ = false;
                read_at_ = now + 200 + jitter_(200);
                return;
            }
            // Pages are read one after the other; changes are followed from before the first.
            // (Revision 0 is a good one: taken for "none yet", it once hid the very first change,
            // the leader's key, from nodes that had read an empty store.)
            if (!read_revision_) {
                read_revision_ = r.revision;
            }
            for (const StoreEntry& row : r.rows) {
                replica_.apply(row);
            }
            if (r.more && !r.rows.empty()) {
                read_after_ = r.rows.back().key;
            } else {
                read_after_.clear();
                ++read_prefix_;
            }
            if (read_prefix_ < reading_prefixes().size()) {
                read_next(now);
                return;
            }
            replica_.end_reading(*read_revision_);
            reading_ = false;
            ready_ = true;
            spdlog::info("state read: {} live jobs, revision {}", replica_.jobs().size(),
                         replica_.revision());
            if (on_change) {
                on_change(now, "");
            }
            watch(now);
        },
        out_);
}

void StoreWatcher::apply(Ms now, const StoreResponse& r) {
    std::vector<std::string> changed;
    for (const StoreEntry& row : r.rows) {
        if (replica_.apply(row)) {
            changed.push_back(row.key);
        }
    }
    replica_.advance(r.revision);
    if (!on_change) {
        return;
    }
    for (const std::string& key : changed) {
        on_change(now, key);
    }
}

void StoreWatcher::watch(Ms) {
    watching_ = true;
    client_.changes(
        replica_.revision(), kWatchFor,
        [this, reading = readings_](Ms now, const StoreResponse& r) {
            if (reading != readings_) {
                return;
            }
            watching_ = false;
            watch_at_ = now + watch_spacing_;
            if (r.status == StoreStatus::ok) {
                apply(now, r);
            } else if (r.status == StoreStatus::compacted) {
                spdlog::info("changes too old, reading the state again");
                ready_ = false;
                read_at_ = now;
                fail_waiting(now);
            } else {
                watch_at_ = now + 250 + jitter_(250);
            }
        },
        out_);
}

void StoreWatcher::barrier(Ms now, BarrierCallback then) {
    if (!ready_) {
        then(now, false);
        return;
    }
    waiting_.push_back(std::move(then));
    if (!barrier_open_ && now >= barrier_sent_ + kBarrierSpacing) {
        start_barrier(now);
    }
}

void StoreWatcher::start_barrier(Ms now) {
    barrier_open_ = true;
    barrier_sent_ = now;
    auto served = std::make_shared<std::vector<BarrierCallback>>(std::move(waiting_));
    waiting_.clear();
    client_.changes(
        replica_.revision(), 0,
        [this, served, sent = now, reading = readings_](Ms at, const StoreResponse& r) {
            barrier_open_ = false;
            bool ok = r.status == StoreStatus::ok && ready_ && reading == readings_;
            if (ok) {
                apply(at, r);
                confirmed_at_ = std::max(confirmed_at_, sent);
            } else if (r.status == StoreStatus::compacted && ready_ && reading == readings_) {
                ready_ = false;
                read_at_ = at;
            }
            for (BarrierCallback& then : *served) {
                then(at, ok);
            }
        },
        out_);
}

void StoreWatcher::fail_waiting(Ms now) {
    auto served = std::move(waiting_);
    waiting_.clear();
    for (BarrierCallback& then : served) {
        then(now, false);
    }
}

}  // namespace walkford
