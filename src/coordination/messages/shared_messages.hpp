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

// What a worker reports of itself and its tasks, in a heartbeat or as the response to a command.
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
}  // namespace walkford
