// What goes into the core and what comes out, in the domain's words. Transport and protocol turn
// these into bytes and back.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "bookkeeping/view.hpp"

namespace walkford {

using RequestId = std::uint64_t;
using CallId = std::uint64_t;

// ---- inputs

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

struct WorkerStatus {
    std::string machine;
    std::string address;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t fencing_token = 0;
    std::optional<double> notice_s;
    std::vector<ReportedTask> tasks;
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

// The small facts that controllers tell one another.
struct PeerHeartbeat {
    std::string controller;
    std::string incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t echo = 0;            // the last sequence heard from the receiver
    std::string echo_incarnation;      // ... of that incarnation of it
    std::uint64_t fencing_token = 0;   // the highest known
    std::string leader;                // and whose it is
    std::int64_t store_quiet_ms = -1;  // since the state service last answered; -1: never did
    std::uint64_t revision = 0;        // the highest that the state service ever answered it
    std::int64_t up_ms = 0;
    std::int64_t heartbeat_quiet_ms = -1;  // since a worker last reported to it; -1: none did
};
struct PeerInput {
    std::size_t peer = 0;
    PeerHeartbeat fact;
};
struct TickInput {};

using Input =
    std::variant<TickInput, SubmitRequest, PollRequest, CancelRequest, ReadyRequest,
                 HeartbeatRequest, StoreResponse, CloudResponse, WorkerResponse, PeerInput>;

// ---- outputs

struct UserResponse {
    RequestId request = 0;
    int code = 503;
    std::string id;
    JobStatus status = JobStatus::pending;
    std::uint32_t done = 0;
    std::uint32_t running = 0;
    bool with_counts = false;
    int retry_after_s = 0;
    std::string error;
};

enum class WorkerCommandType : std::uint8_t { run, stop, clear };
struct WorkerCommand {
    WorkerCommandType type = WorkerCommandType::run;
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    double grace_s = 0;
};
struct HeartbeatResponse {
    RequestId request = 0;
    int code = 503;
    std::uint64_t fencing_token = 0;
    std::vector<WorkerCommand> commands;
    std::string leader;  // with 421, when known
};

struct Comparison {
    std::string key;
    std::uint64_t version = 0;
};
struct Write {
    std::string key;
    std::optional<Json> value;  // nothing: drop
    std::uint64_t lease = 0;
};
struct Transaction {
    std::vector<Comparison> comparisons;
    std::vector<Write> writes;
};
enum class StoreOperation : std::uint8_t {
    get,
    list,
    transaction,
    lease_grant,
    lease_renew,
    lease_revoke,
    changes
};
struct StoreRequest {
    CallId call = 0;
    StoreOperation operation = StoreOperation::get;
    std::string key;  // get; or the prefix of list and changes
    std::string after_key;
    std::uint64_t after = 0;
    std::int64_t wait_ms = 0;
    std::uint64_t lease = 0;
    std::int64_t ttl_ms = 0;
    Transaction transaction;
};

enum class CloudOperation : std::uint8_t { list_machine_types, scale_out, scale_in, list };
struct CloudRequest {
    CallId call = 0;
    CloudOperation operation = CloudOperation::list;
    std::string request_name;
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
    std::vector<std::string> names;
    std::string after;
};

struct WorkerRequest {
    CallId call = 0;
    std::string address;
    std::uint64_t fencing_token = 0;
    std::uint64_t incarnation = 0;
    std::vector<WorkerCommand> commands;
};

struct PeerSend {
    std::size_t peer = 0;
    PeerHeartbeat fact;
};
struct WakeAt {
    Ms at = 0;
};

using Output = std::variant<UserResponse, HeartbeatResponse, StoreRequest, CloudRequest,
                            WorkerRequest, PeerSend, WakeAt>;
using Outputs = std::vector<Output>;

}  // namespace walkford
