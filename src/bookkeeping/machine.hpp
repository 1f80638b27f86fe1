// Machines, as described by the cloud's list, by their workers' reports and by the leader's
// records.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "bookkeeping/task.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// The state of a machine in the cloud's list.
enum class CloudMachineState : std::uint8_t { unlisted, booting, running, failed };

// What the cloud's list says about a machine. Times are -1 until the machine has been listed.
struct CloudListing {
    CloudMachineState state = CloudMachineState::unlisted;
    Ms last_listed = -1;
    Ms listed_since = -1;
};

// What the worker on a machine has reported to this leader, and the state of the worker's lease.
struct WorkerState {
    bool reported = false;            // has reported to this leader
    bool fencing_token_seen = false;  // has seen this leader's token; obeys no older leader
    Ms fencing_token_seen_at = -1;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;  // of the last heartbeat within the incarnation
    Ms last_heartbeat = -1;
    Ms lease_renewed_at = -1;    // last heartbeat answered with 200; the lease may count from then
    bool lease_expired = false;  // has certainly expired, with no heartbeat since
    std::uint64_t min_incarnation = 0;  // earlier incarnations ended when the lease expired
    Ms reclaim_at = -1;          // spot: when the cloud reclaims the machine, by the leader's clock
    Ms next_direct_call_at = 0;  // when the worker's status is next requested directly
    bool direct_call_in_flight = false;  // whether such a request is unanswered
    // An older status than the newest one has arrived. It is a late copy, or the worker has a new
    // process whose counters started anew; a direct call tells. Since when; -1: neither.
    Ms counters_suspect_since = -1;
    // The counters have started anew during this term. Copies of heartbeats of the earlier process
    // can't be told from new ones, so only a direct call shows that a task is missing.
    bool counters_restarted = false;
};

// Tracks whether the worker receives the leader's answers, which its later heartbeats show. In a
// one-way network partition, heartbeats may arrive although answers do not.
struct Acknowledgement {
    std::uint64_t answered_incarnation = 0;  // of the last heartbeat answered with 200
    std::uint64_t answered_sequence = 0;
    // The first heartbeat answered with 200. Later heartbeats should show this leader's fencing
    // token.
    std::uint64_t token_announced_sequence = 0;
    std::uint32_t missed_answers = 0;  // consecutive ones
    Ms missed_since = -1;
};

// Task failures that indicate a fault of the machine rather than of the job.
struct MachineHealth {
    std::set<Id> failing_jobs;  // jobs that failed here since the last success
    // Number of jobs that failed here since the last success and then completed elsewhere.
    std::uint32_t failed_jobs_done_elsewhere = 0;
    Ms last_failure = -1;
    bool quarantined = false;
    Ms backoff_until = 0;

    // The number of jobs whose failure here indicates a fault of the machine.
    std::size_t failures() const { return failing_jobs.size() + failed_jobs_done_elsewhere; }
};

// Capacity that is reserved on a machine for one job.
struct MachineReservation {
    Id job = kNone;  // kNone: not reserved
    // Until then, other jobs may use the capacity only if they are certain to end before ready_at.
    Ms until = -1;
    Ms ready_at = -1;  // when the capacity is complete
};

// A machine that was requested from the cloud or that the cloud lists, as the leader knows it.
struct Machine {
    std::string name;
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    std::string address;
    bool registered = false;            // is in the registry
    bool registration_durable = false;  // the entry is stored, so the next leader knows the machine
    bool permanent = false;
    bool releasing = false;  // set before the cloud is asked to release it; gets no more tasks
    bool terminated = false;
    Ms known_since = 0;
    Ms requested_at = 0;  // by the leader's clock, estimated from the age that the cloud states
    bool requested_by_this_leader = false;  // no earlier leader can have assigned tasks to it
    Resources used;                         // by all tasks assigned to it
    std::set<TaskRef> tasks;
    std::map<Id, Ms> images;  // images fetched for assigned tasks -> last use
    Ms idle_since = 0;
    CloudListing listing;
    WorkerState worker;
    Acknowledgement acknowledgement;
    MachineHealth health;
    MachineReservation reservation;
};

}  // namespace walkford
