// Jobs: the submitted specification and the state of its tasks.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "bookkeeping/task.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// A range of a job's tasks that is written as one durable record.
struct PlacementRecord {
    std::vector<Task> tasks;
    std::uint64_t version = 0;  // of the durable record; 0: there is none
    bool in_flight = false;     // a write has not been answered yet
    Ms retry_at = 0;            // no write before
};

// Names a placement record: the index of its job, and its own among those of the job.
struct PlacementRecordRef {
    Id job_id = kNone;
    std::uint32_t index = 0;
    auto operator<=>(const PlacementRecordRef&) const = default;
};

// A job that is pending or running, as the leader knows it.
struct Job {
    JobSpec spec;
    std::uint64_t version = 0;          // of the job's record
    std::uint64_t created_version = 0;  // the first one: a lower one is an older job
    Ms known_since = 0;
    Ms start_deadline = 0;  // by its class's start latency objective, or its own deadline
    bool cancelled = false;
    bool alive = true;    // false: this slot of the table is free
    bool ending = false;  // the final record is being written
    Ms retry_at = 0;      // no write of the final record before
    std::vector<std::unique_ptr<PlacementRecord>> placement_records;  // made when first needed
    std::uint32_t next_unassigned = 0;      // tasks from here on were never placed
    std::deque<std::uint32_t> retry_queue;  // tasks to be placed again
    std::uint32_t done = 0;
    std::uint32_t assigned = 0;         // counted on machines
    std::map<Id, std::uint32_t> zones;  // placed tasks by zone
    // A job that fails on every machine is at fault itself: it is retried with growing backoff.
    std::set<Id> failed_on;
    // Machines it failed on that have completed work of other jobs since.
    std::set<Id> exonerated_machines;
    std::uint32_t failures = 0;
    Ms ran_well_until = -1000000000;  // service: when a replica that had run a while was last seen
    Ms not_before = 0;                // end of the backoff
    int aged_priority = 0;            // the priority it has risen to by waiting
    Ms waiting_since = 0;
    Id interrupted_in = kNone;  // the zone in which a task of it was last lost or stopped ...
    Ms interrupted_at = -1;     // ... and when
    Ms reserve_at = -1;         // gang: when a reservation for it is next planned ...
    bool reserving = false;     // ... and whether machines are reserved for it
    Ms replace_by = -1;         // gang: members lost before it began are to be replaced until then

    // Its priority, or the higher one that it has reached by aging.
    int effective_priority() const {
        return std::max(static_cast<int>(spec.priority), aged_priority);
    }
    // Tasks that are to be placed.
    std::uint32_t waiting() const {
        return spec.tasks - next_unassigned + static_cast<std::uint32_t>(retry_queue.size());
    }
};

// What jobs of a class look like, by the latest one seen.
struct JobClassProfile {
    Id job_class = kNone;
    JobSpec spec;
    Ms seen = 0;  // when the job arrived
};

}  // namespace walkford
