// What operators may set: Java-style properties, read once at the start of the program.
#pragma once

#include <cstdint>

#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// Which machine type is preferred where several would do.
enum class ScaleOrder : std::uint8_t {
    cost,   // the cheapest for the pending tasks
    cores,  // the one with the most cores
};

// The order in which jobs of the same priority are placed.
enum class PlaceOrder : std::uint8_t {
    start_deadline,  // the earliest start deadline first
    age,             // the oldest first
};

// The operators' own settings (properties); the defaults stand in deploy/walkford.properties.
struct OperatorSettings {
    double mark_low = 0.80;
    double mark_high = 0.95;
    double out_interval_s = 1;
    double in_interval_s = 0.2;
    std::uint32_t max_per_machine_type = 10000;
    std::uint32_t permanent_first = 1;
    ScaleOrder order = ScaleOrder::cost;
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
    PlaceOrder place_order = PlaceOrder::start_deadline;
    ZoneFailoverSettings zone_failover;

    bool operator==(const OperatorSettings&) const = default;
};

}  // namespace walkford
