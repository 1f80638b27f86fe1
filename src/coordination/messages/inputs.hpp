// Decoded inputs of a controller's state machine: requests from users and workers, responses to the
// controller's own calls, and heartbeats from its peers.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "bookkeeping/stored_values.hpp"
#include "coordination/messages/shared_messages.hpp"

namespace walkford {

// A user submits a job. The names of the zone, machine types, team, job class and image are
// separate from the spec, because only a controller can resolve them to ids.
struct SubmitRequest {
    RequestId request = 0;
    JobSpec spec;
    bool zone_named = false;  // the job may run only in zone_name
    std::string zone_name;
    bool machine_types_named = false;  // the job may run only on machine_type_names
    std::vector<std::string> machine_type_names;
    std::string team_name;
    std::string job_class_name;
    std::string image_name;  // empty: no image
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
// A load balancer's health check, which asks whether user requests may be sent to this controller.
struct ReadyRequest {
    RequestId request = 0;
};

// A worker's heartbeat. The response to it carries commands for the worker.
struct HeartbeatRequest {
    RequestId request = 0;
    WorkerStatus worker_status;
};

// The outcome of a request to the store.
enum class StoreStatus : std::uint8_t {
    // There was no response, or none that could be decoded. The request may have been executed, or
    // may still be executed later.
    no_response,
    ok,
    not_found,     // the key or lease does not exist
    conflict,      // a comparison of the transaction failed, so it was not executed
    compacted,     // the requested changes have been removed from the store's change log
    too_large,     // the request was rejected as malformed or as larger than a size limit
    rate_limited,  // the request was over the rate limit and was not executed
    unavailable,   // the store has an outage, or it refuses only this controller
    unexpected,    // any other response
};

// The store's response to a StoreRequest. Which fields are set depends on the operation.
struct StoreResponse {
    CallId call = 0;
    StoreStatus status = StoreStatus::no_response;
    std::uint64_t revision = 0;  // the store's revision; after a transaction, the version it wrote
    std::uint64_t lease = 0;     // lease_grant: the new lease
    std::vector<StoreEntry> rows;     // get, list and changes
    bool more = false;                // list: further pages follow
    std::vector<std::string> failed;  // conflict: the keys whose comparison failed
};

// A machine in the cloud's list of machines.
struct CloudMachine {
    std::string name;
    std::string address;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    CloudMachineState status = CloudMachineState::unlisted;
    double age_s = 0;  // how long the machine has existed in the cloud
};
// The outcome of a request to the cloud.
enum class CloudCallStatus : std::uint8_t {
    // There was no response, or none that could be decoded. The request may have been executed, or
    // may still be executed later.
    no_response,
    ok,
    no_capacity,   // the cloud has no such machines available; certainly not executed
    malformed,     // the request was rejected and not executed
    rate_limited,  // the request was not executed
    unavailable,   // the cloud has an outage; whether the request was executed is unknown
    unexpected,    // any other response
};

// The cloud's response to a CloudRequest. Which fields are set depends on the operation.
struct CloudResponse {
    CallId call = 0;
    CloudCallStatus status = CloudCallStatus::no_response;
    std::vector<MachineType> machine_types;  // list_machine_types
    std::vector<std::string> names;          // scale_out: names of the requested machines
    std::vector<CloudMachine> machines;      // list
    bool more = false;                       // list: further pages follow
    std::string last_name;  // list: the last machine of the page whose name can be read
    // list and list_machine_types: the names of entries that can't be read beyond their name.
    std::vector<std::string> unreadable_names;
    // False if the name of an entry can't be read either, so that nothing may be concluded from
    // the absence of a name.
    bool all_names_known = true;
};

// The outcome of sending commands directly to a worker.
enum class WorkerCallStatus : std::uint8_t {
    no_response,
    ok,
    conflict,    // the worker has another fencing token or incarnation; nothing was executed
    unexpected,  // any other response
};

// A worker's response to a WorkerRequest.
struct WorkerResponse {
    CallId call = 0;
    WorkerCallStatus status = WorkerCallStatus::no_response;
    std::optional<WorkerStatus> worker_status;  // the status after the commands were executed
};

// A heartbeat was received from another controller.
struct IncomingPeerHeartbeat {
    std::size_t peer = 0;  // index in PlatformSettings::peers
    PeerHeartbeat peer_heartbeat;
};
// No message arrived before the time requested by the last WakeAt.
struct TickInput {};

using Input = std::variant<TickInput, SubmitRequest, PollRequest, CancelRequest, ReadyRequest,
                           HeartbeatRequest, StoreResponse, CloudResponse, WorkerResponse,
                           IncomingPeerHeartbeat>;

}  // namespace walkford
