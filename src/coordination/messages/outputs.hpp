// Outputs of a controller's state machine: responses to requests, calls to the state service, the
// cloud and workers, heartbeats to its peers, and when it is to be woken.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/records.hpp"
#include "coordination/messages/http_status.hpp"
#include "coordination/messages/shared_messages.hpp"

namespace walkford {

// The answer to a user's request or a health check.
struct UserResponse {
    RequestId request = 0;
    int code = http_status::kServiceUnavailable;
    std::string id;  // of the job
    JobStatus status = JobStatus::pending;
    std::uint32_t done = 0;     // tasks
    std::uint32_t running = 0;  // tasks
    bool with_counts = false;   // done and running are part of the answer
    int retry_after_s = 0;      // 0: none is named
    std::string error;          // with codes other than 2xx
};

// What a worker is to do with a task.
enum class WorkerCommandType : std::uint8_t {
    run,
    stop,
    clear,  // forget the attempt: its end is durable, it is obsolete, or it is to be run again
};
// A command to a worker about one attempt of one task.
struct WorkerCommand {
    WorkerCommandType type = WorkerCommandType::run;
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    double grace_s = 0;  // stop: how long the task may take to end by itself
};
// The answer to a worker's heartbeat.
struct HeartbeatResponse {
    RequestId request = 0;
    int code = http_status::kServiceUnavailable;
    std::uint64_t fencing_token = 0;
    std::vector<WorkerCommand> commands;
    std::string leader;  // with http_status::kMisdirectedRequest, when known
};

// A condition of a transaction: the key has that version.
struct Comparison {
    std::string key;
    std::uint64_t version = 0;  // 0: the key does not exist
};
// A write of a transaction.
struct Write {
    std::string key;
    std::optional<Json> value;  // nothing: the key is deleted
    std::uint64_t lease = 0;    // the key is deleted when that lease ends; 0: it stays
};
// A compare-and-swap: all writes are made, atomically, if all comparisons hold.
struct Transaction {
    std::vector<Comparison> comparisons;
    std::vector<Write> writes;
};
// What the state service is asked to do; see StoreClient for each of them.
enum class StoreOperation : std::uint8_t {
    get,
    list,
    transaction,
    lease_grant,
    lease_renew,
    lease_revoke,
    changes
};
// A call to the state service; which fields count depends on the operation.
struct StoreRequest {
    CallId call = 0;
    StoreOperation operation = StoreOperation::get;
    std::string key;           // get; or the prefix of list and changes
    std::string after_key;     // list: the page begins behind this key
    std::uint64_t after = 0;   // changes: those behind this revision
    std::int64_t wait_ms = 0;  // changes: how long to wait for one
    std::uint64_t lease = 0;   // lease_renew, lease_revoke
    std::int64_t ttl_ms = 0;   // lease_grant
    Transaction transaction;
};

// What the cloud is asked to do.
enum class CloudOperation : std::uint8_t { list_machine_types, scale_out, scale_in, list };
// A call to the cloud; which fields count depends on the operation.
struct CloudRequest {
    CallId call = 0;
    CloudOperation operation = CloudOperation::list;
    std::string request_name;  // scale_out: the same name asks for the same machines again
    std::string machine_type;  // scale_out, like zone, spot and count
    std::string zone;
    bool spot = false;
    std::uint32_t count = 0;
    std::vector<std::string> names;  // scale_in: the machines to be released
    std::string after;               // list: the page begins behind this machine
};

// Commands sent to a worker directly, beside the responses to its heartbeats.
struct WorkerRequest {
    CallId call = 0;
    std::string address;
    std::uint64_t fencing_token = 0;
    std::uint64_t incarnation = 0;  // of the worker for which they are meant
    std::vector<WorkerCommand> commands;
};

// A heartbeat to another controller; it may be lost.
struct PeerSend {
    std::size_t peer = 0;  // index in PlatformSettings::peers
    PeerHeartbeat fact;
};
// When Controller::step is to be called next, if no input arrives before.
struct WakeAt {
    Ms at = 0;
};

using Output = std::variant<UserResponse, HeartbeatResponse, StoreRequest, CloudRequest,
                            WorkerRequest, PeerSend, WakeAt>;
using Outputs = std::vector<Output>;

}  // namespace walkford
