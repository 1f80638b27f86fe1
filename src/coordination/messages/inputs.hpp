// Inputs of a controller's state machine, decoded: requests of users and workers, responses to its
// own calls, and heartbeats of its peers.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "bookkeeping/stored_values.hpp"
#include "coordination/messages/shared_messages.hpp"

namespace walkford {

// A user submits a job. Names that can only be resolved by a controller come beside the spec.
struct SubmitRequest {
    RequestId request = 0;
    JobSpec spec;
    bool zone_named = false;  // the job is to run in zone_name only
    std::string zone_name;
    bool machine_types_named = false;  // the job is to run on machine_type_names only
    std::vector<std::string> machine_type_names;
    std::string team_name;
    std::string job_class_name;
    std::string image_name;  // empty: none
};
// A user asks for the state of a job.
struct PollRequest {
    RequestId request = 0;
    std::string id;  // of the job
};
// A user cancels a job.
struct CancelRequest {
    RequestId request = 0;
    std::string id;  // of the job
};
// A load balancer's health check: may users be sent to this controller?
struct ReadyRequest {
    RequestId request = 0;
};

// A worker's heartbeat; its response carries commands.
struct HeartbeatRequest {
    RequestId request = 0;
    WorkerStatus worker_status;
};

// How the state service answered a request.
enum class StoreStatus : std::uint8_t {
    no_response,  // none, or none that is understood: it may have been executed, or may be later
    ok,
    not_found,     // no such key or lease
    conflict,      // a comparison of the transaction failed; not executed
    compacted,     // the changes asked for are no longer kept
    too_large,     // rejected: malformed, or over a limit on sizes
    rate_limited,  // over the limit on the rate; not executed
    unavailable,   // an outage, or this controller alone is refused
    unexpected,    // any other answer
};

// The state service's response to a StoreRequest; which fields are set depends on the operation.
struct StoreResponse {
    CallId call = 0;
    StoreStatus status = StoreStatus::no_response;
    std::uint64_t revision = 0;       // of the store; of a transaction: the version it wrote
    std::uint64_t lease = 0;          // the lease that was granted
    std::vector<StoreEntry> rows;     // get, list and changes
    bool more = false;                // list: there are further pages
    std::vector<std::string> failed;  // conflict: the keys whose comparison failed
};

// A machine as the cloud lists it.
struct CloudMachine {
    std::string name;
    std::string address;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    CloudMachineState status = CloudMachineState::unlisted;
    double age_s = 0;  // how long the cloud has had it
};
// How the cloud answered a request.
enum class CloudCallStatus : std::uint8_t {
    no_response,  // none, or none that is understood: it may have been executed, or may be later
    ok,
    no_capacity,   // surely not executed
    malformed,     // rejected; not executed
    rate_limited,  // not executed
    unavailable,   // an outage: says nothing of what was executed
    unexpected,    // any other answer
};

// The cloud's response to a CloudRequest; which fields are set depends on the operation.
struct CloudResponse {
    CallId call = 0;
    CloudCallStatus status = CloudCallStatus::no_response;
    std::vector<MachineType> machine_types;  // list_machine_types
    std::vector<std::string> names;          // scale_out: of the machines that were requested
    std::vector<CloudMachine> machines;      // list
    bool more = false;                       // list: there are further pages
};

// How a worker answered commands sent to it directly.
enum class WorkerCallStatus : std::uint8_t {
    no_response,
    ok,
    conflict,    // its fencing token or incarnation is another; nothing was executed
    unexpected,  // any other answer
};

// A worker's response to a WorkerRequest.
struct WorkerResponse {
    CallId call = 0;
    WorkerCallStatus status = WorkerCallStatus::no_response;
    std::optional<WorkerStatus> worker_status;  // after the commands were executed
};

// A heartbeat of another controller was received.
struct PeerInput {
    std::size_t peer = 0;  // index in PlatformSettings::peers
    PeerHeartbeat fact;
};
// Nothing arrived, but the time of the last WakeAt has come.
struct TickInput {};

using Input =
    std::variant<TickInput, SubmitRequest, PollRequest, CancelRequest, ReadyRequest,
                 HeartbeatRequest, StoreResponse, CloudResponse, WorkerResponse, PeerInput>;

}  // namespace walkford
