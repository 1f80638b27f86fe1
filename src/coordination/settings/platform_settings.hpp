// What the platform hands over to a controller: the deployment it belongs to and its limits.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/types.hpp"
#include "coordination/settings/store_limits.hpp"

namespace walkford {

struct Peer {
    std::string name;
    std::string address;
    std::string zone = {};  // empty: not known
};

// An aim on starting: tasks of the class are to start within so many seconds.
struct StartLatencyObjective {
    std::string job_class;
    double within_s = 0;
};

struct PlatformSettings {
    std::string controller_name;
    std::string incarnation;  // random for every start: never only the node's name
    std::string zone;         // where this controller is; empty: not known
    std::string serve_on;
    std::string cluster_listen;
    std::vector<Peer> peers;
    std::string cloud;
    std::string state;
    std::vector<Team> teams;
    std::vector<std::string> zones;
    std::vector<StartLatencyObjective> start_latency_objectives;
    std::vector<std::string> classes;  // that objectives name
    double report_s = 2;
    double lease_s = 10;
    double gang_wait_s = 30;
    double gang_peer_s = 4;
    double cancel_s = 30;
    StoreLimits store_limits;
    std::optional<StoreLimits> next_store_limits;
    double cloud_rps = 4;
    double list_lag_s = 5;
    std::uint32_t fd_limit = 512;
    // What this version can read; less only where a test stands in for an earlier one.
    std::uint32_t feature_level = kFeatureNewest;
};

}  // namespace walkford
