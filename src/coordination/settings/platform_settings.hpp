// What the platform hands over to a controller: the deployment it belongs to and its limits.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/types.hpp"
#include "coordination/settings/store_limits.hpp"

namespace walkford {

// Another controller of the cluster.
struct Peer {
    std::string name;
    std::string address;    // of its cluster_listen
    std::string zone = {};  // empty: not known
};

// An objective on the start latency: tasks of the class are to start within so many seconds.
struct StartLatencyObjective {
    std::string job_class;
    double within_s = 0;
};

// The platform's settings, a JSON document that src/protocol/settings_file.cpp reads and checks;
// members in _s are seconds. Read-only after the start.
struct PlatformSettings {
    std::string controller_name;
    std::string incarnation;     // random for every start: never only the controller's name
    std::string zone;            // where this controller is; empty: not known
    std::string serve_on;        // address for users and workers
    std::string cluster_listen;  // address for peers
    std::vector<Peer> peers;     // the other controllers
    std::string cloud;           // address of the cloud's interface
    std::string state;           // address of the state service
    std::vector<Team> teams;
    std::vector<std::string> zones;
    std::vector<StartLatencyObjective> start_latency_objectives;
    std::vector<std::string> classes;  // job classes that any objective names
    double report_s = 2;               // interval of workers' heartbeats
    double lease_s = 10;               // a worker's lease: without an answer it stops its tasks
    double gang_wait_s = 30;           // of gangs, for workers; not used by controllers
    double gang_peer_s = 4;            // of gangs, for workers; not used by controllers
    double cancel_s = 30;              // by then a cancelled job's tasks must have stopped
    StoreLimits store_limits;
    std::optional<StoreLimits> next_store_limits;  // will replace them at an unannounced moment
    double cloud_rps = 4;                          // requests a second that the cloud admits
    double list_lag_s = 5;                         // how far the cloud's list may lag behind
    std::uint32_t fd_limit = 512;                  // file descriptors of the process
    // What this version can read; less only where a test stands in for an earlier one.
    std::uint32_t feature_level = kFeatureNewest;
};

}  // namespace walkford
