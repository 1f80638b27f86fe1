// Outputs of a controller's state machine: responses to requests, calls to the store, the cloud and
// workers, heartbeats to its peers, and the time of the next wake-up.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/records.hpp"
#include "coordination/messages/http_status.hpp"
#include "coordination/messages/shared_messages.hpp"

namespace walkford {

// The response to a user's request or to a health check.
struct UserResponse {
    RequestId request = 0;
    int code = http_status::kServiceUnavailable;
    std::string id;  // of the job
    JobStatus status = JobStatus::pending;
    std::uint32_t done = 0;     // number of finished tasks
    std::uint32_t running = 0;  // number of running tasks
    bool with_counts = false;   // include `done` and `running` in the response
    int retry_after_s = 0;      // 0: no Retry-After header
    std::string error;          // set with codes other than 2xx
};

// What a worker has to do with a task.
enum class WorkerCommandType : std::uint8_t {
    run,
    stop,
    // Forget the attempt: its end is stored durably, it is obsolete, or it will be run again.
    clear,
};
// A command to a worker about one attempt of one task.
struct WorkerCommand {
    WorkerCommandType type = WorkerCommandType::run;
    std::string job;
    std::uint32_t task = 0;
    std::uint64_t attempt = 0;
    double grace_s = 0;  // stop: how long the task may take to exit by itself
};
// The response to a worker's heartbeat.
struct HeartbeatResponse {
    RequestId request = 0;
    int code = http_status::kServiceUnavailable;
    std::uint64_t fencing_token = 0;
    std::vector<WorkerCommand> commands;
    std::string leader;  // set with http_status::kMisdirectedRequest if known
};

// A condition of a transaction: the key must have this version.
struct Comparison {
    std::string key;
    std::uint64_t version = 0;  // 0: the key does not exist
};
// A write of a transaction.
struct Write {
    std::string key;
    std::optional<Json> value;  // nullopt: delete the key
    std::uint64_t lease = 0;    // the key is deleted when this lease ends; 0: no lease
};
// A compare-and-swap: if all comparisons hold, all writes are made atomically.
struct Transaction {
    std::vector<Comparison> comparisons;
    std::vector<Write> writes;
};
// Operations of the store. The methods of StoreClient describe them.
enum class StoreOperation : std::uint8_t {
    get,
    list,
    transaction,
    lease_grant,
    lease_renew,
    lease_revoke,
    changes
};
// A call to the store. Which fields are used depends on the operation.
struct StoreRequest {
    CallId call = 0;
    StoreOperation operation = StoreOperation::get;
    std::string key;           // get: the key; list and changes: the key prefix
    std::string after_key;     // list: the page starts after this key
    std::uint64_t after = 0;   // changes: return changes after this revision
    std::int64_t wait_ms = 0;  // changes: how long to wait if there is none
    std::uint64_t lease = 0;   // lease_renew, lease_revoke
    std::int64_t ttl_ms = 0;   // lease_grant
    Transaction transaction;
};

// Operations of the cloud's API.
enum class CloudOperation : std::uint8_t { list_machine_types, scale_out, scale_in, list };
// A call to the cloud. Which fields are used depends on the operation.
struct CloudRequest {
    CallId call = 0;
    CloudOperation operation = CloudOperation::list;
    // scale_out: an idempotency key. Repeating a request under the same name requests no further
    // machines.
    std::string request_name;
    std::string machine_type;        // scale_out
    std::string zone;                // scale_out
    bool spot = false;               // scale_out
    std::uint32_t count = 0;         // scale_out
    std::vector<std::string> names;  // scale_in: the machines to release
    std::string after;               // list: the page starts after this machine
};

// Commands sent directly to a worker, in addition to those in the responses to its heartbeats.
struct WorkerRequest {
    CallId call = 0;
    std::string address;
    std::uint64_t fencing_token = 0;
    std::uint64_t incarnation = 0;  // of the worker process that the commands are for
    std::vector<WorkerCommand> commands;
};

// A heartbeat to another controller. Delivery is not guaranteed.
struct OutgoingPeerHeartbeat {
    std::size_t peer = 0;  // index in PlatformSettings::peers
    PeerHeartbeat peer_heartbeat;
};
// When Controller::step must be called next if no input arrives earlier.
struct WakeAt {
    Ms at = 0;
};

using Output = std::variant<UserResponse, HeartbeatResponse, StoreRequest, CloudRequest,
                            WorkerRequest, OutgoingPeerHeartbeat, WakeAt>;
using Outputs = std::vector<Output>;

}  // namespace walkford
