// The settings that the platform passes to a controller: its deployment and the limits in it.
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
    std::string address;    // address that the peer listens on, its cluster_listen
    std::string zone = {};  // empty if unknown
};

// A start latency objective: tasks of the class should start within `within_s` seconds.
struct StartLatencyObjective {
    std::string job_class;
    double within_s = 0;
};

// The platform's settings. src/protocol/settings_file.cpp reads them from a JSON document and
// checks them. Members that end in _s are in seconds. Read-only after the start.
struct PlatformSettings {
    std::string controller_name;
    std::string incarnation;     // random for each start; must not be just the controller's name
    std::string zone;            // zone of this controller; empty if unknown
    std::string serve_on;        // address for users and workers
    std::string cluster_listen;  // address for peers
    std::vector<Peer> peers;     // the other controllers
    std::string cloud;           // address of the cloud API
    std::string state;           // address of the store
    std::vector<Team> teams;
    std::vector<std::string> zones;
    std::vector<StartLatencyObjective> start_latency_objectives;
    std::vector<std::string> objective_classes;  // job classes that an objective names
    double report_s = 2;                         // interval of workers' heartbeats
    double lease_s = 10;      // worker lease: a worker without an answer stops its tasks
    double gang_wait_s = 30;  // gang setting of the workers; not used by controllers
    double gang_peer_s = 4;   // gang setting of the workers; not used by controllers
    double cancel_s = 30;     // time limit for the tasks of a cancelled job to stop
    StoreLimits store_limits;
    std::optional<StoreLimits> next_store_limits;  // replaces store_limits at an unknown time
    double cloud_requests_per_s = 4;               // maximum request rate of the cloud API
    double list_lag_s = 5;                         // maximum staleness of the cloud's machine list
    std::uint32_t fd_limit = 512;  // maximum number of file descriptors of the process
    // The newest record format that this version can read. Only tests that simulate an earlier
    // version set a lower level.
    std::uint32_t feature_level = kFeatureNewest;
};

}  // namespace walkford
