// The settings that operators can change: Java-style properties, read once at the start.
#pragma once

#include <cstdint>

#include "coordination/settings/zone_failover_settings.hpp"

namespace walkford {

// Which machine type is preferred when several fit.
enum class ScaleOrder : std::uint8_t {
    cost,   // the cheapest type for the pending tasks
    cores,  // the type with the most cores
};

// The order in which jobs of the same priority are placed.
enum class PlaceOrder : std::uint8_t {
    start_deadline,  // the earliest start deadline first
    age,             // the oldest first
};

// The operators' settings. src/protocol/properties_file.cpp reads them and checks their ranges;
// deploy/walkford.properties explains each property and lists the defaults. Each comment starts
// with the name of the property. Members that end in _s are in seconds. Read-only after the start.
struct OperatorSettings {
    // ---- Scaling. Utilization is the share of the capacity that allocated and pending tasks need.

    // scale.mark.low: machines are released below this utilization.
    double mark_low = 0.80;
    // scale.mark.high: machines are requested above this utilization.
    double mark_high = 0.95;
    // scale.out.interval_s: the minimum time between two scale-outs.
    double scale_out_interval_s = 1;
    // scale.in.interval_s: the minimum time between two releases of machines.
    double scale_in_interval_s = 0.2;
    // scale.cap_per_kind: the maximum number of machines of one type.
    std::uint32_t max_per_machine_type = 10000;
    // scale.permanent.first: how many machines of the first scale-out are permanent.
    std::uint32_t permanent_first = 1;
    // scale.order: which machine type is preferred.
    ScaleOrder order = ScaleOrder::cost;
    // scale.unplaceable: whether to scale out for a task that fits on no machine, even below
    // scale.mark.high.
    bool scale_out_unplaceable = true;
    // scale.unplaceable.after_s: how long such a task must have waited.
    double unplaceable_after_s = 6;
    // scale.spot: 0 disables requests for spot instances.
    double spot_preference = 1.0;
    // scale.idle_cost: an empty temporary machine is released once its idle time has cost this much
    // money; 0 disables this.
    double max_idle_cost = 0.05;
    // scale.no_capacity_backoff_s: the first backoff after the cloud reports that it has no
    // capacity.
    double no_capacity_backoff_s = 4;

    // ---- Machines. Boot factors are multiples of the usual boot time of the machine type.

    // machines.boot.give_up: a machine that is still booting after this time is released.
    double boot_timeout_factor = 3.5;
    // machines.boot.late: a machine that is still booting after this time no longer counts as
    // expected capacity.
    double boot_late_factor = 1.7;
    // machines.lost_return_s: a silent machine is released this long after its lease expired.
    double silent_release_s = 40;
    // machines.unseen_return_s: a machine that the cloud lists as running and that has never
    // reported is released after this time.
    double unreported_release_s = 45;
    // machines.deaf_return_s: a machine whose reports arrive but that acknowledges no command (a
    // one-way partition) is released after this time.
    double unacknowledged_release_s = 25;

    // ---- Heartbeats.

    // workers.settle_s: how long a heartbeat response is held so that commands can go with it.
    double response_hold_s = 0.4;
    // workers.idle_hold_s: the same for an idle machine.
    double idle_response_hold_s = 2.5;

    // ---- Leadership.

    // leader.lease_s: the TTL of the leader's key.
    double lease_ttl_s = 4;
    // leader.probe_after_s: a new leader contacts machines that have been silent for this long.
    double takeover_probe_s = 5;

    // ---- Placement.

    // place.round_budget_ms: the time budget of one placement round, in milliseconds.
    double round_budget_ms = 4;
    // place.regret_s: the cost of taking the last slot that another class could use, in seconds of
    // start delay.
    double opportunity_cost_s = 20;
    // place.order: the order of jobs of the same priority.
    PlaceOrder place_order = PlaceOrder::start_deadline;
    // place.keep_slots: free slots reserved for each class with a start latency objective.
    std::uint32_t keep_slots = 2;
    // place.preempt: whether running tasks may be preempted for other work.
    bool preempt = true;
    // place.preempt.after_s: how long a job must have waited before it preempts others.
    double preempt_after_s = 2;
    // place.rise_s: the waiting time that raises a job by one priority; 0 disables this.
    double priority_aging_s = 100;
    // place.gather: the maximum number of gangs that reserve machines; 0 disables reservations.
    std::uint32_t max_reserving_gangs = 2;
    // place.gather.after_s: how long a gang must have waited before it reserves machines.
    double reserve_after_s = 2;

    // zone_failover.*
    ZoneFailoverSettings zone_failover;

    bool operator==(const OperatorSettings&) const = default;
};

}  // namespace walkford
