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

// The operators' own settings; src/protocol/properties_file.cpp reads them and checks their ranges,
// deploy/walkford.properties explains each property and has the defaults. Each comment names the
// property; members in _s are seconds. Read-only after the start.
struct OperatorSettings {
    // Scaling. Marks are shares of the capacity that allocated and pending tasks need.
    double mark_low = 0.80;                      // scale.mark.low: below it machines are released
    double mark_high = 0.95;                     // scale.mark.high: above it machines are requested
    double out_interval_s = 1;                   // scale.out.interval_s: between two scale-outs
    double in_interval_s = 0.2;                  // scale.in.interval_s: between two releases
    std::uint32_t max_per_machine_type = 10000;  // scale.cap_per_kind
    std::uint32_t permanent_first = 1;           // scale.permanent.first: of the first scale-out
    ScaleOrder order = ScaleOrder::cost;         // scale.order
    bool scale_out_unplaceable = true;           // scale.unplaceable: for a task that fits nowhere
    double unplaceable_after_s = 6;              // scale.unplaceable.after_s
    double prefer_spot = 1.0;                    // scale.spot; 0: never request spot instances
    double max_idle_cost = 0.05;                 // scale.idle_cost: in money; 0: no limit
    double no_capacity_backoff_s = 4;            // scale.no_capacity_backoff_s: the first backoff

    // Machines. Boot factors are multiples of the machine type's usual boot time.
    double boot_timeout_factor = 3.5;      // machines.boot.give_up: then a machine is released
    double boot_late_factor = 1.7;         // machines.boot.late: then it no longer counts as coming
    double silent_release_s = 40;          // machines.lost_return_s: after its lease expired
    double unreported_release_s = 45;      // machines.unseen_return_s: listed as running only
    double unacknowledged_release_s = 25;  // machines.deaf_return_s: one-way partition

    // Heartbeats.
    double response_hold_s = 0.4;       // workers.settle_s: for commands to go with the response
    double idle_response_hold_s = 2.5;  // workers.idle_hold_s: the same for an idle machine

    // Leadership.
    double lease_ttl_s = 4;       // leader.lease_s: of the leader's key
    double takeover_probe_s = 5;  // leader.probe_after_s: then a new leader calls silent machines

    // Placement.
    double round_budget_ms = 4;      // place.round_budget_ms: milliseconds of one round
    double opportunity_cost_s = 20;  // place.regret_s: of the last slot of another class
    PlaceOrder place_order = PlaceOrder::start_deadline;  // place.order
    std::uint32_t keep_slots = 2;           // place.keep_slots: per class with an objective
    bool preempt = true;                    // place.preempt
    double preempt_after_s = 2;             // place.preempt.after_s
    double priority_aging_s = 100;          // place.rise_s: for one step; 0: never
    std::uint32_t max_reserving_gangs = 2;  // place.gather; 0: no reservations
    double reserve_after_s = 2;             // place.gather.after_s

    ZoneFailoverSettings zone_failover;  // zone_failover.*

    bool operator==(const OperatorSettings&) const = default;
};

}  // namespace walkford
