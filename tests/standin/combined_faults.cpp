// Faults of messages and users, and those that join several troubles at one moment.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/faults.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void FaultInjector::late_writes(std::size_t /*controller*/) {
    keep_up(world_.active_.late_writes, world_.pick(5000, 30000), 12000);
}

void FaultInjector::late_reports(std::size_t /*controller*/) {
    keep_up(world_.active_.late_reports, world_.pick(5000, 30000), 0);
}

void FaultInjector::machines_mute(std::size_t /*controller*/) {
    Ms until = world_.now_ + world_.pick(3000, 30000);
    for (auto& [name, worker] : world_.workers_) {
        if (world_.chance(0.5)) {
            worker->mute_until = until;
        }
    }
    troubled_until(until);
}

void FaultInjector::mass_cancellation(std::size_t /*controller*/) {
    if (world_.chance(0.6)) {
        Ms span = world_.pick(1000, 14000);
        for (auto& [name, worker] : world_.workers_) {
            if (world_.chance(0.4)) {
                world_.cut(name, "*", span, true);
            }
        }
    }
    world_.cancel_running(static_cast<std::size_t>(world_.pick(1, 8)), 200);
}

void FaultInjector::cancellation_at_end(std::size_t /*controller*/) {
    world_.active_.cancellation_at_end = world_.now_ + world_.pick(10000, 30000);
}

// One leader after the other, at times in an outage.
void FaultInjector::leaders_end_in_turn(std::size_t /*controller*/) {
    World& w = world_;
    if (w.chance(0.4)) {
        Ms span = w.pick(5000, 40000);
        w.state_->begin_outage(w.now_, span);
        troubled_until(w.now_ + span);
    }
    for (Ms when = 0; when < 60000; when += w.pick(5000, 9000)) {
        troubled_until(w.now_ + when);
        w.at(w.now_ + when, [&w] {
            auto otherwise = static_cast<std::size_t>(w.pick(0, 2)) % w.o_.controllers;
            w.restart(w.leader_or(otherwise), 50, 5000);
        });
    }
}

// One is back before the others.
void FaultInjector::all_controllers_away(std::size_t controller) {
    Ms span = world_.pick(8000, 16000);
    for (std::size_t k = 0; k < world_.o_.controllers; ++k) {
        bool first = k == controller;
        world_.restart(k, span + (first ? 0 : 50), span + (first ? 50 : 6000));
    }
    troubled_until(world_.now_ + span + 6000);
}

// What runs is cancelled through the next leader while the old one still reaches its workers.
void FaultInjector::isolated_leader_and_cancellations(std::size_t controller) {
    World& w = world_;
    std::string leader = controller_name(w.leader_or(controller));
    Ms span = w.pick(5000, 40000);
    w.cut(leader, "state", span, w.chance(0.3));
    w.cut(leader, "n*", span, w.chance(0.3));
    for (Ms when : {w.pick(0, 2000), w.pick(4000, 12000), w.pick(12000, 25000)}) {
        w.at(w.now_ + when, [&w] { w.cancel_running(3, 500); });
    }
}

// Repeated submissions, cancellations of what is done, jobs that can never run.
void FaultInjector::odd_requests(std::size_t /*controller*/) {
    World& w = world_;
    for (int n = 0; n < 7; ++n) {
        w.at(w.now_ + w.pick(0, 10000), [&w] { w.submit_impossible(); });
    }
    for (const auto& [id, job] : w.jobs_) {
        if (job->accepted_told < 0) {
            continue;
        }
        w.at(w.now_ + w.pick(0, 10000), [&w, id = id] { w.submit(id); });
        if (job->done_told >= 0) {
            w.at(w.now_ + w.pick(0, 10000), [&w, id = id] { w.cancel(id); });
        }
    }
    troubled_until(w.now_ + 10000);
}

void FaultInjector::lost_answers(std::size_t /*controller*/) {
    keep_up(world_.active_.lost_answers, world_.pick(5000, 30000), 0);
}

void FaultInjector::close_looks(std::size_t /*controller*/) {
    keep_up(world_.active_.close_looks, world_.pick(10000, 30000), 0);
}

void FaultInjector::late_commands(std::size_t /*controller*/) {
    keep_up(world_.active_.late_commands, world_.pick(5000, 30000), 16000);
    // Commands are sent where answers to reports don't do: there must be something to say.
    world_.cancel_running(static_cast<std::size_t>(world_.pick(1, 4)), 3000);
    if (world_.chance(0.5)) {
        restart_soon(world_.leader_or(0));
    }
}

void FaultInjector::reports_for_next_leader(std::size_t controller) {
    World& w = world_;
    keep_up(w.active_.reports_for_next_leader, w.pick(3000, 12000), 0);
    Ms when = w.active_.reports_for_next_leader + w.pick(0, 15000);
    troubled_until(when + 6000);
    w.at(when, [this, &w, controller] { restart_soon(w.leader_or(controller)); });
}

void FaultInjector::cancellation_in_handover(std::size_t controller) {
    World& w = world_;
    restart_soon(w.leader_or(controller));
    for (int n = 0; n < 4; ++n) {
        w.at(w.now_ + w.pick(0, 9000), [&w] {
            int before = w.cancelled_running;
            w.cancel_running(2, 300);
            w.at(w.now_ + 1500,
                 [&w, before] { w.cancelled_in_handover += w.cancelled_running - before; });
        });
    }
}

void FaultInjector::limit_and_hanging_machines(std::size_t controller) {
    World& w = world_;
    Ms span = w.pick(8000, 20000);
    for (auto& [name, worker] : w.workers_) {
        if (w.chance(0.4)) {
            w.cut(name, "*", span, w.chance(0.5));
        }
    }
    w.cancel_running(static_cast<std::size_t>(w.pick(2, 6)), 500);
    w.at(w.now_ + w.pick(200, 4000),
         [this, &w, controller] { restart_soon(w.leader_or(controller)); });
}

void FaultInjector::fast_machines_slow_writes(std::size_t controller) {
    World& w = world_;
    Ms span = w.pick(8000, 20000);
    keep_up(w.active_.fast_machines, span, 0);
    keep_up(w.active_.late_writes, span, 12000);
    // What has to be replaced is rented anew.
    for (int n = 0; n < 2; ++n) {
        machine_dies(controller);
    }
    w.at(w.now_ + w.pick(2000, 8000),
         [this, &w, controller] { restart_soon(w.leader_or(controller)); });
}

void FaultInjector::small_job_flood(std::size_t /*controller*/) {
    constexpr int kJobs = 80;
    constexpr Ms kEvery = 250;
    for (int n = 0; n < kJobs; ++n) {
        world_.at(world_.now_ + n * kEvery, [&w = world_] { w.submit_small_job(); });
    }
    troubled_until(world_.now_ + kJobs * kEvery);
}

void FaultInjector::zone_loses_machines(std::size_t controller) {
    World& w = world_;
    std::string zone = w.zones_[static_cast<std::size_t>(w.pick(0, 1))];
    std::vector<std::string> lost;
    for (const auto& [name, worker] : w.workers_) {
        if (worker->zone == zone && w.chance(0.6)) {
            lost.push_back(name);
        }
    }
    for (const std::string& name : lost) {
        w.zone_bound_machines_lost += w.runs_zone_bound_task(name);
        w.kill_machine(name);
    }
    if (w.chance(0.3)) {
        restart_soon(controller);
    }
}

}  // namespace walkford::standin
