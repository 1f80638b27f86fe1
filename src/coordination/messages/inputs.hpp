// What goes into the state machine of a controller, decoded: requests of users and workers,
// responses to its own calls, heartbeats of its peers.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "bookkeeping/stored_values.hpp"
#include "coordination/messages/shared_messages.hpp"

namespace walkford {

struct SubmitRequest {
    RequestId request = 0;
    JobSpec spec;
    // What can only be judged with the machine types known.
    bool zone_named = false;
    std::string zone_name;
    bool machine_types_named = false;
    std::vector<std::string> machine_type_names;
    std::string team_name;
    std::string job_class_name;
    std::string image_name;
};
struct PollRequest {
    RequestId request = 0;
    std::string id;
};
struct CancelRequest {
    RequestId request = 0;
    std::string id;
};
struct ReadyRequest {
    RequestId request = 0;
};

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

struct StoreResponse {
    CallId call = 0;
    StoreStatus status = StoreStatus::no_response;
    std::uint64_t revision = 0;
    std::uint64_t lease = 0;
    std::vector<StoreEntry> rows;
    bool more = false;
    std::vector<std::string> failed;
};

struct CloudMachine {
    std::string name;
    std::string address;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    CloudMachineState status = CloudMachineState::unlisted;
    double age_s = 0;
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

struct CloudResponse {
    CallId call = 0;
    CloudCallStatus status = CloudCallStatus::no_response;
    std::vector<MachineType> machine_types;
    std::vector<std::string> names;
    std::vector<CloudMachine> machines;
    bool more = false;
};

// How a worker answered commands sent to it directly.
enum class WorkerCallStatus : std::uint8_t {
    no_response,
    ok,
    conflict,    // its fencing token or incarnation is another; nothing was executed
    unexpected,  // any other answer
};

struct WorkerResponse {
    CallId call = 0;
    WorkerCallStatus status = WorkerCallStatus::no_response;
    std::optional<WorkerStatus> worker_status;
};

struct PeerInput {
    std::size_t peer = 0;
    PeerHeartbeat fact;
};
struct TickInput {};

using Input =
    std::variant<TickInput, SubmitRequest, PollRequest, CancelRequest, ReadyRequest,
                 HeartbeatRequest, StoreResponse, CloudResponse, WorkerResponse, PeerInput>;

}  // namespace walkford
