// Messages and identifiers that occur among a controller's inputs as well as its outputs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

// Identifies a request of a user or a worker until it has been answered; unique within a process.
using RequestId = std::uint64_t;
// Identifies a call that this controller makes; its response carries the same number.
using CallId = std::uint64_t;

// What a worker reports of itself and its tasks, in a heartbeat or in response to commands.
struct WorkerStatus {
    std::string machine;  // its name
    std::string address;  // where it takes commands
    std::string machine_type;
    std::string zone;
    bool spot = false;
    std::uint64_t incarnation = 0;    // of the worker process
    std::uint64_t sequence = 0;       // rises with each status of that incarnation
    std::uint64_t fencing_token = 0;  // the highest it has seen
    std::optional<double> notice_s;   // the cloud reclaims the machine within so many seconds
    std::vector<ReportedTask> tasks;
};

// What controllers tell one another at intervals. Durations are counted by the sender's clock, in
// milliseconds.
struct PeerHeartbeat {
    std::string controller;
    std::string incarnation;               // of the controller process
    std::uint64_t sequence = 0;            // rises with each heartbeat of that incarnation
    std::uint64_t echo = 0;                // the last sequence received from the receiver ...
    std::string echo_incarnation;          // ... and of which incarnation of it
    std::uint64_t fencing_token = 0;       // the highest known ...
    std::string leader;                    // ... and whose it is; empty: not known
    std::int64_t store_quiet_ms = -1;      // since the state service last answered; -1: never did
    std::uint64_t revision = 0;            // the highest that the state service ever answered it
    std::int64_t up_ms = 0;                // since the process started
    std::int64_t heartbeat_quiet_ms = -1;  // since a worker's heartbeat was received; -1: never
};

}  // namespace walkford
