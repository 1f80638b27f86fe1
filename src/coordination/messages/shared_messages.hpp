// Messages and identifiers that occur both in a controller's inputs and in its outputs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

// Identifies a request from a user or a worker until the response is sent. Unique within a process.
using RequestId = std::uint64_t;
// Identifies a call made by this controller. The response carries the same number.
using CallId = std::uint64_t;

// A worker's report on itself and its tasks, sent in a heartbeat or in response to commands.
struct WorkerStatus {
    std::string machine;  // name of the worker's machine
    std::string address;  // where the worker accepts commands
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;    // of the worker process
    std::uint64_t sequence = 0;       // increases with each status of the incarnation
    std::uint64_t fencing_token = 0;  // the highest that the worker has seen
    std::optional<double> notice_s;   // seconds until the cloud reclaims the machine
    std::vector<ReportedTask> tasks;
    // False if the report contains a task that can't be read. A task that seems to be missing may
    // then be that one.
    bool all_tasks_known = true;
};

// The message that controllers send to each other periodically. Durations are in milliseconds,
// measured with the sender's clock.
struct PeerHeartbeat {
    std::string controller;
    std::string incarnation;                    // of the controller process
    std::uint64_t sequence = 0;                 // increases with each heartbeat of the incarnation
    std::uint64_t echo = 0;                     // sequence of the last heartbeat from the receiver
    std::string echo_incarnation;               // incarnation of the receiver that sent it
    std::uint64_t fencing_token = 0;            // the highest known fencing token
    std::string leader;                         // the controller holding that token; empty: unknown
    std::int64_t ms_since_store_response = -1;  // since the store last served the sender; -1: never
    std::uint64_t revision = 0;                 // highest store revision in any response so far
    std::int64_t uptime_ms = 0;                 // since the sender's process started
    std::int64_t ms_since_worker_heartbeat = -1;  // since the last worker heartbeat; -1: none
};

}  // namespace walkford
