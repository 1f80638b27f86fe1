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

struct StoreResponse {
    CallId call = 0;
    int status = 0;  // 0: no answer; it may have happened, or may happen later
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
    CloudStatus status = CloudStatus::unlisted;
    double age_s = 0;
};
struct CloudResponse {
    CallId call = 0;
    int status = 0;
    std::vector<MachineType> machine_types;
    std::vector<std::string> names;
    std::vector<CloudMachine> machines;
    bool more = false;
};

struct WorkerResponse {
    CallId call = 0;
    int status = 0;
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
