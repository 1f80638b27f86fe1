// Machines: what the cloud, the worker and the leader know of each.
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

// What the cloud's list says of a machine. Times are -1 until it has been listed.
struct CloudListing {
    CloudMachineState state = CloudMachineState::unlisted;
    Ms last_listed = -1;
    Ms listed_since = -1;
};

// What the worker on a machine has reported to this leader, and the state of its lease.
struct WorkerState {
    bool reported = false;            // to this leader
    bool fencing_token_seen = false;  // it has seen our token: no older leader is obeyed
    Ms fencing_token_seen_at = -1;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;  // of its last heartbeat, within the incarnation
    Ms last_heartbeat = -1;
    Ms lease_renewed_at = -1;           // when we last answered 200: its lease may count from there
    bool lease_expired = false;         // for certain, and no heartbeat since
    std::uint64_t min_incarnation = 0;  // earlier ones ended when the lease expired
    Ms reclaim_at = -1;                 // spot: when the cloud takes the machine, by our clock
    Ms probe_at = 0;                    // when its status is next requested directly
    bool probe_open = false;            // ... and whether that request is open
};

// Whether the worker acknowledges our answers: its later heartbeats show what became of them.
// Heartbeats may arrive where answers don't (a one-way partition).
struct Acknowledgement {
    std::uint64_t answered_incarnation = 0;  // the last heartbeat answered 200 ...
    std::uint64_t answered_sequence = 0;
    // ... and the first one: from then on it should show our fencing token.
    std::uint64_t token_announced_sequence = 0;
    std::uint32_t missed_answers = 0;  // in a row
    Ms missed_since = -1;
};

// Failures of tasks that speak against the machine rather than against the job.
struct MachineHealth {
    std::set<Id> failing_jobs;                     // failed here since the last success ...
    std::uint32_t failed_jobs_done_elsewhere = 0;  // ... and have ended well elsewhere since
    Ms last_failure = -1;
    bool quarantined = false;
    Ms backoff_until = 0;

    // Jobs whose failure here speaks against the machine.
    std::size_t failures() const { return failing_jobs.size() + failed_jobs_done_elsewhere; }
};

// Capacity that is reserved on a machine for one job.
struct MachineReservation {
    Id job = kNone;    // kNone: not reserved
    Ms until = -1;     // no other job may use the capacity until then ...
    Ms ready_at = -1;  // ... unless it is certain to end before the capacity is complete
};

// A machine that we have requested or that the cloud lists, as the leader knows it.
struct Machine {
    std::string name;
    Id machine_type = kNone;
    Id zone = kNone;
    bool spot = false;
    std::string address;
    bool registered = false;            // stands in the registry ...
    bool registration_durable = false;  // ... durably: the next leader knows of it
    bool permanent = false;
    bool releasing = false;  // marked before the cloud is asked; never used again
    bool terminated = false;
    Ms known_since = 0;
    Ms requested_at = 0;  // by our clock, estimated from the age that the cloud states
    bool requested_by_this_leader = false;  // no older leader can have given it work
    Resources used;                         // of all tasks that are counted on it
    std::set<TaskRef> tasks;
    std::map<Id, Ms> images;  // fetched for a task of ours -> last use
    Ms idle_since = 0;
    CloudListing listing;
    WorkerState worker;
    Acknowledgement acknowledgement;
    MachineHealth health;
    MachineReservation reservation;
};

}  // namespace walkford
