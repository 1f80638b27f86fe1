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

// A range of a job's tasks that is stored as one record.
struct PlacementRecord {
    std::vector<Task> tasks;
    std::uint64_t version = 0;  // of the stored record; 0: there is none
    bool in_flight = false;     // a write of the record is unanswered
    Ms retry_at = 0;            // earliest time of the next write
};

// Identifies a placement record by the index of its job and its own index within the job.
struct PlacementRecordRef {
    Id job_id = kNone;
    std::uint32_t index = 0;
    auto operator<=>(const PlacementRecordRef&) const = default;
};

// A job that is pending or running, as the leader knows it.
struct Job {
    JobSpec spec;
    std::uint64_t version = 0;          // of the job's record
    std::uint64_t created_version = 0;  // of the record's first write; lower for older jobs
    Ms known_since = 0;
    Ms start_deadline = 0;  // from the start latency objective of its class, or from its deadline
    bool cancelled = false;
    bool alive = true;    // false: this index is free
    bool ending = false;  // the final record is being written
    Ms retry_at = 0;      // earliest time of the next write of the final record
    std::vector<std::unique_ptr<PlacementRecord>> placement_records;  // created on first use
    std::uint32_t next_unassigned = 0;      // tasks from this index on were never assigned
    std::deque<std::uint32_t> retry_queue;  // tasks to be placed again
    std::uint32_t done = 0;
    std::uint32_t assigned = 0;         // number of tasks assigned to machines
    std::map<Id, std::uint32_t> zones;  // number of assigned tasks by zone
    // Machines on which the job has failed. If it fails on every machine, the fault lies with the
    // job itself, which is then retried with growing backoff.
    std::set<Id> failed_on;
    // Machines on which the job failed and which have completed tasks of other jobs since.
    std::set<Id> exonerated_machines;
    std::uint32_t failures = 0;
    Ms ran_well_until = -1000000000;  // service: last time a replica was seen that had run a while
    Ms not_before = 0;                // end of the backoff
    int aged_priority = 0;            // the priority reached by aging while waiting
    Ms waiting_since = 0;
    Id last_interruption_zone =
        kNone;                     // the zone in which one of its tasks was last lost or stopped
    Ms last_interruption_at = -1;  // when that happened
    Ms reserve_at = -1;            // gang: when a reservation is next planned
    bool reserving = false;        // gang: whether machines are reserved for it
    Ms replacement_deadline = -1;  // gang: deadline for replacing members lost before it started

    // The submitted priority, or the one reached by aging if that is higher.
    int effective_priority() const {
        return std::max(static_cast<int>(spec.priority), aged_priority);
    }
    // The number of tasks that are waiting to be placed.
    std::uint32_t waiting() const {
        return spec.tasks - next_unassigned + static_cast<std::uint32_t>(retry_queue.size());
    }
};

// The most recent job of a class, which stands for the typical job of that class.
struct JobClassProfile {
    Id job_class = kNone;
    JobSpec spec;
    Ms seen = 0;  // when the job arrived
};

}  // namespace walkford
