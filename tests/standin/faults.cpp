// Fault injection: what each fault does, and when it is over.
#include "standin/faults.hpp"

#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

namespace {
constexpr std::array<std::string_view, kFaults> kFaultNames{"controller_restarts",
                                                            "all_controllers_restart",
                                                            "controller_cut_from_state",
                                                            "controller_cut_from_all",
                                                            "state_outage",
                                                            "state_refuses_controller",
                                                            "cloud_outage",
                                                            "machine_dies",
                                                            "machine_cut_off",
                                                            "spot_notice",
                                                            "machines_cut_from_controller",
                                                            "two_controllers_cut",
                                                            "machine_hears_nothing",
                                                            "controller_isolated",
                                                            "machine_reboots",
                                                            "quick_restarts",
                                                            "machines_hang",
                                                            "zone_cut_off",
                                                            "controller_freezes",
                                                            "late_writes",
                                                            "late_reports",
                                                            "machines_mute",
                                                            "mass_cancellation",
                                                            "cancellation_at_end",
                                                            "leaders_end_in_turn",
                                                            "all_controllers_away",
                                                            "isolated_leader_and_cancellations",
                                                            "odd_requests",
                                                            "lost_answers",
                                                            "close_looks",
                                                            "late_commands",
                                                            "reports_for_next_leader",
                                                            "cancellation_in_handover",
                                                            "limit_and_hanging_machines",
                                                            "fast_machines_slow_writes",
                                                            "small_job_flood",
                                                            "zone_loses_machines",
                                                            "zones_apart"};
}  // namespace

std::string_view name_of(Fault fault) { return kFaultNames.at(static_cast<std::size_t>(fault)); }

const std::array<FaultInjector::Handler, kFaults>& FaultInjector::handlers() {
    static const std::array<Handler, kFaults> table{
        &FaultInjector::controller_restarts,
        &FaultInjector::all_controllers_restart,
        &FaultInjector::controller_cut_from_state,
        &FaultInjector::controller_cut_from_all,
        &FaultInjector::state_outage,
        &FaultInjector::state_refuses_controller,
        &FaultInjector::cloud_outage,
        &FaultInjector::machine_dies,
        &FaultInjector::machine_cut_off,
        &FaultInjector::spot_notice,
        &FaultInjector::machines_cut_from_controller,
        &FaultInjector::two_controllers_cut,
        &FaultInjector::machine_hears_nothing,
        &FaultInjector::controller_isolated,
        &FaultInjector::machine_reboots,
        &FaultInjector::quick_restarts,
        &FaultInjector::machines_hang,
        &FaultInjector::zone_cut_off,
        &FaultInjector::controller_freezes,
        &FaultInjector::late_writes,
        &FaultInjector::late_reports,
        &FaultInjector::machines_mute,
        &FaultInjector::mass_cancellation,
        &FaultInjector::cancellation_at_end,
        &FaultInjector::leaders_end_in_turn,
        &FaultInjector::all_controllers_away,
        &FaultInjector::isolated_leader_and_cancellations,
        &FaultInjector::odd_requests,
        &FaultInjector::lost_answers,
        &FaultInjector::close_looks,
        &FaultInjector::late_commands,
        &FaultInjector::reports_for_next_leader,
        &FaultInjector::cancellation_in_handover,
        &FaultInjector::limit_and_hanging_machines,
        &FaultInjector::fast_machines_slow_writes,
        &FaultInjector::small_job_flood,
        &FaultInjector::zone_loses_machines,
        &FaultInjector::zones_apart};
    return table;
}

void FaultInjector::inject(const std::vector<Fault>& allowed) {
    World& w = world_;
    auto controller = static_cast<std::size_t>(w.pick(0, static_cast<int>(w.o_.controllers) - 1));
    if (w.chance(0.5)) {
        controller = w.leader_or(controller);
    }
    auto fault = static_cast<std::size_t>(w.pick(0, kFaults - 1));
    if (!allowed.empty()) {
        fault = static_cast<std::size_t>(
            allowed[static_cast<std::size_t>(w.pick(0, static_cast<int>(allowed.size()) - 1))]);
    }
    troubled_until(w.now_);
    (this->*handlers().at(fault))(controller);
}

void FaultInjector::restart_soon(std::size_t controller) {
    if (world_.chance(0.3)) {
        world_.restart(controller, 50, 400);
    } else {
        world_.restart(controller, 2000, 6000);
    }
}

void FaultInjector::troubled_until(Ms when) {
    world_.well_since_ = std::max(world_.well_since_, when);
}

void FaultInjector::keep_up(Ms& until, Ms span, Ms aftermath) {
    until = std::max(until, world_.now_ + span);
    troubled_until(until + aftermath);
}

std::string FaultInjector::some_machine() {
    if (world_.workers_.empty()) {
        return "";
    }
    auto it = world_.workers_.begin();
    std::advance(it, world_.pick(0, static_cast<int>(world_.workers_.size()) - 1));
    return it->first;
}

std::string FaultInjector::controller_name(std::size_t controller) {
    return "n" + std::to_string(controller);
}

void FaultInjector::controller_restarts(std::size_t controller) { restart_soon(controller); }

void FaultInjector::all_controllers_restart(std::size_t /*controller*/) {
    for (std::size_t k = 0; k < world_.o_.controllers; ++k) {
        restart_soon(k);
    }
}

void FaultInjector::controller_cut_from_state(std::size_t controller) {
    Ms span = world_.pick(1000, 30000);
    world_.cut(controller_name(controller), "state", span, world_.chance(0.5));
}

void FaultInjector::controller_cut_from_all(std::size_t controller) {
    Ms span = world_.pick(1000, 30000);
    world_.cut(controller_name(controller), "*", span, world_.chance(0.5));
}

void FaultInjector::state_outage(std::size_t /*controller*/) {
    Ms span = world_.pick(1000, 25000);
    world_.state_->begin_outage(world_.now_, span);
    troubled_until(world_.now_ + span);
}

void FaultInjector::state_refuses_controller(std::size_t controller) {
    Ms until = world_.now_ + world_.pick(2000, 20000);
    world_.state_->refuse(controller_name(controller), until);
    troubled_until(until);
}

void FaultInjector::cloud_outage(std::size_t /*controller*/) {
    world_.cloud_->out_until = world_.now_ + world_.pick(2000, 20000);
    troubled_until(world_.cloud_->out_until);
}

void FaultInjector::machine_dies(std::size_t /*controller*/) {
    std::string machine = some_machine();
    if (!machine.empty()) {
        world_.kill_machine(machine);
    }
}

void FaultInjector::machine_cut_off(std::size_t /*controller*/) {
    std::string machine = some_machine();
    if (!machine.empty()) {
        Ms span = world_.pick(2000, 25000);
        world_.cut(machine, "*", span, world_.chance(0.6));
    }
}

void FaultInjector::spot_notice(std::size_t /*controller*/) {
    World& w = world_;
    std::string machine = some_machine();
    if (machine.empty() || !w.workers_.at(machine)->spot) {
        return;
    }
    Ms notice = w.pick(2000, 8000);
    w.workers_.at(machine)->reclaim_at = w.now_ + notice;
    w.changed(*w.workers_.at(machine));
    w.at(w.now_ + notice, [&w, machine] { w.kill_machine(machine); });
}

void FaultInjector::machines_cut_from_controller(std::size_t controller) {
    for (auto& [name, worker] : world_.workers_) {
        if (world_.chance(0.5)) {
            Ms span = world_.pick(2000, 25000);
            world_.cut(name, controller_name(controller), span, world_.chance(0.6));
        }
    }
}

void FaultInjector::two_controllers_cut(std::size_t controller) {
    std::size_t other = (controller + 1) % world_.o_.controllers;
    Ms span = world_.pick(2000, 30000);
    world_.cut(controller_name(controller), controller_name(other), span, world_.chance(0.5));
}

// Its reports arrive, answers and commands don't reach it; at times on and on.
void FaultInjector::machine_hears_nothing(std::size_t controller) {
    World& w = world_;
    std::string machine = some_machine();
    if (machine.empty()) {
        return;
    }
    ++w.machines_deaf;
    Ms span = w.chance(0.3) ? w.o_.duration : w.pick(3000, 40000);
    w.cut("n*", machine, span, false, true);
    if (w.chance(0.3)) {
        restart_soon(controller);  // the next leader has never been seen by it
    }
}

void FaultInjector::controller_isolated(std::size_t controller) {
    Ms span = world_.pick(4000, 40000);
    std::string name = controller_name(controller);
    world_.cut(name, "state", span, world_.chance(0.3));
    world_.cut(name, "n*", span, world_.chance(0.3));
}

void FaultInjector::machine_reboots(std::size_t /*controller*/) {
    World& w = world_;
    std::string machine = some_machine();
    if (machine.empty()) {
        return;
    }
    w.at(w.now_ + w.pick(0, 400), [&w, machine] {
        if (w.workers_.count(machine) > 0) {
            w.reboot(machine);
        }
    });
}

void FaultInjector::quick_restarts(std::size_t /*controller*/) {
    World& w = world_;
    for (Ms when : {Ms{0}, w.pick(300, 5000)}) {
        w.at(w.now_ + when, [&w] {
            for (std::size_t k = 0; k < w.o_.controllers; ++k) {
                if (!w.chance(0.3)) {
                    w.restart(k, 20, 600);
                }
            }
        });
    }
}

// Most machines at once, about as long as their lease.
void FaultInjector::machines_hang(std::size_t /*controller*/) {
    Ms span = static_cast<Ms>(kRealLease * 1000) + world_.pick(-4000, 12000);
    for (auto& [name, worker] : world_.workers_) {
        if (world_.chance(0.7)) {
            world_.cut(name, "*", span, true);
        }
    }
}

// Its machines and a controller still hear each other.
void FaultInjector::zone_cut_off(std::size_t controller) {
    World& w = world_;
    Ms span = w.pick(5000, 50000);
    bool hold = w.chance(0.7);
    std::string zone = w.zones_[static_cast<std::size_t>(w.pick(0, 1))];
    std::string isolated = controller_name(controller);
    for (std::size_t k = 0; k < w.o_.controllers; ++k) {
        if (k == controller) {
            continue;
        }
        std::string other = controller_name(k);
        w.cut(isolated, other, span, hold);
        for (auto& [name, worker] : w.workers_) {
            w.cut(worker->zone == zone ? other : isolated, name, span, hold);
        }
    }
    w.cut(isolated, "state", span, hold);
    w.cut(isolated, "cloud", span, hold);
}

void FaultInjector::zones_apart(std::size_t) {
    World& w = world_;
    Ms span = w.pick(5000, 60000);
    bool hold = w.chance(0.5);
    std::vector<std::pair<std::string, std::string>> hosts;  // name, zone
    for (std::size_t k = 0; k < w.o_.controllers; ++k) {
        hosts.emplace_back(controller_name(k), w.zone_of_controller(k));
    }
    std::size_t controllers = hosts.size();
    for (const auto& [name, worker] : w.workers_) {
        hosts.emplace_back(name, worker->zone);
    }
    for (std::size_t one = 0; one < controllers; ++one) {
        for (std::size_t other = one + 1; other < hosts.size(); ++other) {
            if (hosts[one].second != hosts[other].second) {
                w.cut(hosts[one].first, hosts[other].first, span, hold);
            }
        }
    }
}

void FaultInjector::controller_freezes(std::size_t controller) {
    Ms until = world_.now_ + world_.pick(500, 35000);
    world_.hosts_[controller]->frozen_until = until;
    troubled_until(until);
}

}  // namespace walkford::standin
