// Implements faults of messages and users, and faults that combine several others.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/faults.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void FaultInjector::late_writes(std::size_t /*controller*/) {
    extend_fault(world_.active_.late_writes, world_.random_integer(5000, 30000), 12000);
}

void FaultInjector::late_reports(std::size_t /*controller*/) {
    extend_fault(world_.active_.late_reports, world_.random_integer(5000, 30000), 0);
}

void FaultInjector::machines_mute(std::size_t /*controller*/) {
    Ms until = world_.now_ + world_.random_integer(3000, 30000);
    for (auto& [name, worker] : world_.workers_) {
        if (world_.chance(0.5)) {
            worker->mute_until = until;
        }
    }
    extend_fault_period(until);
}

void FaultInjector::mass_cancellation(std::size_t /*controller*/) {
    if (world_.chance(0.6)) {
        Ms span = world_.random_integer(1000, 14000);
        for (auto& [name, worker] : world_.workers_) {
            if (world_.chance(0.4)) {
                world_.cut_link(name, "*", span, true);
            }
        }
    }
    world_.cancel_running(static_cast<std::size_t>(world_.random_integer(1, 8)), 200);
}

void FaultInjector::cancellation_at_end(std::size_t /*controller*/) {
    world_.active_.cancellation_at_end = world_.now_ + world_.random_integer(10000, 30000);
}

// Restarts the leader repeatedly, sometimes during a store outage.
void FaultInjector::leaders_end_in_turn(std::size_t /*controller*/) {
    World& world = world_;
    if (world.chance(0.4)) {
        Ms span = world.random_integer(5000, 40000);
        world.state_->begin_outage(world.now_, span);
        extend_fault_period(world.now_ + span);
    }
    for (Ms when = 0; when < 60000; when += world.random_integer(5000, 9000)) {
        extend_fault_period(world.now_ + when);
        world.schedule(world.now_ + when, [&world] {
            auto otherwise =
                static_cast<std::size_t>(world.random_integer(0, 2)) % world.options_.controllers;
            world.restart_controller(world.leader_or(otherwise), 50, 5000);
        });
    }
}

// All controllers restart; one is back before the others.
void FaultInjector::all_controllers_away(std::size_t controller) {
    Ms span = world_.random_integer(8000, 16000);
    for (std::size_t k = 0; k < world_.options_.controllers; ++k) {
        bool first = k == controller;
        world_.restart_controller(k, span + (first ? 0 : 50), span + (first ? 50 : 6000));
    }
    extend_fault_period(world_.now_ + span + 6000);
}

// Cancels running jobs through the next leader while the old one can still reach its workers.
void FaultInjector::isolated_leader_and_cancellations(std::size_t controller) {
    World& world = world_;
    std::string leader = controller_name(world.leader_or(controller));
    Ms span = world.random_integer(5000, 40000);
    world.cut_link(leader, "state", span, world.chance(0.3));
    world.cut_link(leader, "n*", span, world.chance(0.3));
    for (Ms when : {world.random_integer(0, 2000), world.random_integer(4000, 12000),
                    world.random_integer(12000, 25000)}) {
        world.schedule(world.now_ + when, [&world] { world.cancel_running(3, 500); });
    }
}

// Repeated submissions, cancellations of finished jobs, and jobs that can never run.
void FaultInjector::odd_requests(std::size_t /*controller*/) {
    World& world = world_;
    for (int n = 0; n < 7; ++n) {
        world.schedule(world.now_ + world.random_integer(0, 10000),
                       [&world] { world.submit_impossible(); });
    }
    for (const auto& [id, job] : world.jobs_) {
        if (job->accepted_reported_at < 0) {
            continue;
        }
        world.schedule(world.now_ + world.random_integer(0, 10000),
                       [&world, id = id] { world.submit(id); });
        if (job->done_reported_at >= 0) {
            world.schedule(world.now_ + world.random_integer(0, 10000),
                           [&world, id = id] { world.cancel(id); });
        }
    }
    extend_fault_period(world.now_ + 10000);
}

void FaultInjector::lost_answers(std::size_t /*controller*/) {
    extend_fault(world_.active_.lost_answers, world_.random_integer(5000, 30000), 0);
}

void FaultInjector::close_looks(std::size_t /*controller*/) {
    extend_fault(world_.active_.close_looks, world_.random_integer(10000, 30000), 0);
}

void FaultInjector::late_commands(std::size_t /*controller*/) {
    extend_fault(world_.active_.late_commands, world_.random_integer(5000, 30000), 16000);
    // Direct commands are sent only for changes that cannot wait for a heartbeat response, such as
    // cancellations.
    world_.cancel_running(static_cast<std::size_t>(world_.random_integer(1, 4)), 3000);
    if (world_.chance(0.5)) {
        restart_soon(world_.leader_or(0));
    }
}

void FaultInjector::reports_for_next_leader(std::size_t controller) {
    World& world = world_;
    extend_fault(world.active_.reports_for_next_leader, world.random_integer(3000, 12000), 0);
    Ms when = world.active_.reports_for_next_leader + world.random_integer(0, 15000);
    extend_fault_period(when + 6000);
    world.schedule(when, [this, &world, controller] { restart_soon(world.leader_or(controller)); });
}

void FaultInjector::cancellation_in_handover(std::size_t controller) {
    World& world = world_;
    restart_soon(world.leader_or(controller));
    for (int n = 0; n < 4; ++n) {
        world.schedule(world.now_ + world.random_integer(0, 9000), [&world] {
            int before = world.cancelled_running;
            world.cancel_running(2, 300);
            world.schedule(world.now_ + 1500, [&world, before] {
                world.cancelled_in_handover += world.cancelled_running - before;
            });
        });
    }
}

void FaultInjector::limit_and_hanging_machines(std::size_t controller) {
    World& world = world_;
    Ms span = world.random_integer(8000, 20000);
    for (auto& [name, worker] : world.workers_) {
        if (world.chance(0.4)) {
            world.cut_link(name, "*", span, world.chance(0.5));
        }
    }
    world.cancel_running(static_cast<std::size_t>(world.random_integer(2, 6)), 500);
    world.schedule(world.now_ + world.random_integer(200, 4000),
                   [this, &world, controller] { restart_soon(world.leader_or(controller)); });
}

void FaultInjector::fast_machines_slow_writes(std::size_t controller) {
    World& world = world_;
    Ms span = world.random_integer(8000, 20000);
    extend_fault(world.active_.fast_machines, span, 0);
    extend_fault(world.active_.late_writes, span, 12000);
    // Lost machines make the scheduler request replacements.
    for (int n = 0; n < 2; ++n) {
        machine_dies(controller);
    }
    world.schedule(world.now_ + world.random_integer(2000, 8000),
                   [this, &world, controller] { restart_soon(world.leader_or(controller)); });
}

void FaultInjector::small_job_flood(std::size_t /*controller*/) {
    constexpr int kJobs = 80;
    constexpr Ms kEvery = 250;
    for (int n = 0; n < kJobs; ++n) {
        world_.schedule(world_.now_ + n * kEvery, [&world = world_] { world.submit_small_job(); });
    }
    extend_fault_period(world_.now_ + kJobs * kEvery);
}

void FaultInjector::zone_loses_machines(std::size_t controller) {
    World& world = world_;
    std::string zone = world.zones_[static_cast<std::size_t>(world.random_integer(0, 1))];
    std::vector<std::string> lost;
    for (const auto& [name, worker] : world.workers_) {
        if (worker->zone == zone && world.chance(0.6)) {
            lost.push_back(name);
        }
    }
    for (const std::string& name : lost) {
        world.zone_bound_machines_lost += world.runs_zone_bound_task(name);
        world.kill_machine(name);
    }
    if (world.chance(0.3)) {
        restart_soon(controller);
    }
}

}  // namespace walkford::standin
