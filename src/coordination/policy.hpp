// What operators may set, and what the platform hands over.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bookkeeping/types.hpp"
#include "coordination/state_limits.hpp"
#include "coordination/zone_failover/settings.hpp"

namespace walkford {

// The operators' own settings (properties); the defaults stand in deploy/walkford.properties.
struct OperatorSettings {
    double mark_low = 0.80;
    double mark_high = 0.95;
    double out_interval_s = 1;
    double in_interval_s = 0.2;
    std::uint32_t max_per_machine_type = 10000;
    std::uint32_t permanent_first = 1;
    std::string order = "cost";  // cost | cores
    bool scale_out_unplaceable = true;
    double unplaceable_after_s = 6;
    double prefer_spot = 1.0;  // 0: never rent spot
    double max_idle_cost = 0.05;
    double boot_timeout_factor = 3.5;
    double boot_late_factor = 1.7;
    double no_capacity_backoff_s = 4;
    double silent_release_s = 40;
    double round_budget_ms = 4;
    double lease_ttl_s = 4;
    double takeover_probe_s = 5;
    double unreported_release_s = 45;
    double unacknowledged_release_s = 25;
    double response_hold_s = 0.4;
    double idle_response_hold_s = 2.5;
    bool preempt = true;
    double preempt_after_s = 2;
    std::uint32_t keep_slots = 2;
    double priority_aging_s = 100;
    std::uint32_t max_reserving_gangs = 2;
    double reserve_after_s = 2;
    double opportunity_cost_s = 20;
    std::string place_order = "aim";  // aim | age
    ZoneFailoverSettings zone_failover;

    bool operator==(const OperatorSettings&) const = default;
};

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
