// What comes out of the state machine of a controller: responses to requests, calls to the store,
// the cloud and workers, heartbeats to its peers, and when it wants to be woken.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bookkeeping/records.hpp"
#include "coordination/messages/shared_messages.hpp"

namespace walkford {

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
