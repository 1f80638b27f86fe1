// Implements faults of controllers, machines and the network.
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
    World& world = world_;
    auto controller = static_cast<std::size_t>(
        world.random_integer(0, static_cast<int>(world.options_.controllers) - 1));
    if (world.chance(0.5)) {
        controller = world.leader_or(controller);
    }
    auto fault = static_cast<std::size_t>(world.random_integer(0, kFaults - 1));
    if (!allowed.empty()) {
        fault = static_cast<std::size_t>(allowed[static_cast<std::size_t>(
            world.random_integer(0, static_cast<int>(allowed.size()) - 1))]);
    }
    extend_fault_period(world.now_);
    (this->*handlers().at(fault))(controller);
}

void FaultInjector::restart_soon(std::size_t controller) {
    if (world_.chance(0.3)) {
        world_.restart_controller(controller, 50, 400);
    } else {
        world_.restart_controller(controller, 2000, 6000);
    }
}

void FaultInjector::extend_fault_period(Ms when) {
    world_.faults_end_at_ = std::max(world_.faults_end_at_, when);
}

void FaultInjector::extend_fault(Ms& until, Ms span, Ms aftermath) {
    until = std::max(until, world_.now_ + span);
    extend_fault_period(until + aftermath);
}

std::string FaultInjector::random_machine() {
    if (world_.workers_.empty()) {
        return "";
    }
    auto it = world_.workers_.begin();
    std::advance(it, world_.random_integer(0, static_cast<int>(world_.workers_.size()) - 1));
    return it->first;
}

std::string FaultInjector::controller_name(std::size_t controller) {
    return "n" + std::to_string(controller);
}

void FaultInjector::controller_restarts(std::size_t controller) { restart_soon(controller); }

void FaultInjector::all_controllers_restart(std::size_t /*controller*/) {
    for (std::size_t k = 0; k < world_.options_.controllers; ++k) {
        restart_soon(k);
    }
}

void FaultInjector::controller_cut_from_state(std::size_t controller) {
    Ms span = world_.random_integer(1000, 30000);
    world_.cut_link(controller_name(controller), "state", span, world_.chance(0.5));
}

void FaultInjector::controller_cut_from_all(std::size_t controller) {
    Ms span = world_.random_integer(1000, 30000);
    world_.cut_link(controller_name(controller), "*", span, world_.chance(0.5));
}

void FaultInjector::state_outage(std::size_t /*controller*/) {
    Ms span = world_.random_integer(1000, 25000);
    world_.state_->begin_outage(world_.now_, span);
    extend_fault_period(world_.now_ + span);
}

void FaultInjector::state_refuses_controller(std::size_t controller) {
    Ms until = world_.now_ + world_.random_integer(2000, 20000);
    world_.state_->refuse(controller_name(controller), until);
    extend_fault_period(until);
}

void FaultInjector::cloud_outage(std::size_t /*controller*/) {
    world_.cloud_->out_until = world_.now_ + world_.random_integer(2000, 20000);
    extend_fault_period(world_.cloud_->out_until);
}

void FaultInjector::machine_dies(std::size_t /*controller*/) {
    std::string machine = random_machine();
    if (!machine.empty()) {
        world_.kill_machine(machine);
    }
}

void FaultInjector::machine_cut_off(std::size_t /*controller*/) {
    std::string machine = random_machine();
    if (!machine.empty()) {
        Ms span = world_.random_integer(2000, 25000);
        world_.cut_link(machine, "*", span, world_.chance(0.6));
    }
}

void FaultInjector::spot_notice(std::size_t /*controller*/) {
    World& world = world_;
    std::string machine = random_machine();
    if (machine.empty() || !world.workers_.at(machine)->spot) {
        return;
    }
    Ms notice = world.random_integer(2000, 8000);
    world.workers_.at(machine)->reclaim_at = world.now_ + notice;
    world.hasten_heartbeat(*world.workers_.at(machine));
    world.schedule(world.now_ + notice, [&world, machine] { world.kill_machine(machine); });
}

void FaultInjector::machines_cut_from_controller(std::size_t controller) {
    for (auto& [name, worker] : world_.workers_) {
        if (world_.chance(0.5)) {
            Ms span = world_.random_integer(2000, 25000);
            world_.cut_link(name, controller_name(controller), span, world_.chance(0.6));
        }
    }
}

void FaultInjector::two_controllers_cut(std::size_t controller) {
    std::size_t other = (controller + 1) % world_.options_.controllers;
    Ms span = world_.random_integer(2000, 30000);
    world_.cut_link(controller_name(controller), controller_name(other), span, world_.chance(0.5));
}

// The machine's heartbeats arrive, but no response or command reaches it; sometimes for the rest of
// the run.
void FaultInjector::machine_hears_nothing(std::size_t controller) {
    World& world = world_;
    std::string machine = random_machine();
    if (machine.empty()) {
        return;
    }
    ++world.machines_not_receiving;
    Ms span = world.chance(0.3) ? world.options_.duration : world.random_integer(3000, 40000);
    world.cut_link("n*", machine, span, false, true);
    if (world.chance(0.3)) {
        restart_soon(controller);  // the machine has never received anything from the next leader
    }
}

void FaultInjector::controller_isolated(std::size_t controller) {
    Ms span = world_.random_integer(4000, 40000);
    std::string name = controller_name(controller);
    world_.cut_link(name, "state", span, world_.chance(0.3));
    world_.cut_link(name, "n*", span, world_.chance(0.3));
}

void FaultInjector::machine_reboots(std::size_t /*controller*/) {
    World& world = world_;
    std::string machine = random_machine();
    if (machine.empty()) {
        return;
    }
    world.schedule(world.now_ + world.random_integer(0, 400), [&world, machine] {
        if (world.workers_.count(machine) > 0) {
            world.reboot(machine);
        }
    });
}

void FaultInjector::quick_restarts(std::size_t /*controller*/) {
    World& world = world_;
    for (Ms when : {Ms{0}, world.random_integer(300, 5000)}) {
        world.schedule(world.now_ + when, [&world] {
            for (std::size_t k = 0; k < world.options_.controllers; ++k) {
                if (!world.chance(0.3)) {
                    world.restart_controller(k, 20, 600);
                }
            }
        });
    }
}

// Most machines hang at once for about the length of their lease.
void FaultInjector::machines_hang(std::size_t /*controller*/) {
    Ms span = static_cast<Ms>(kRealLeaseSeconds * 1000) + world_.random_integer(-4000, 12000);
    for (auto& [name, worker] : world_.workers_) {
        if (world_.chance(0.7)) {
            world_.cut_link(name, "*", span, true);
        }
    }
}

// Partitions one controller and the machines of one zone from the rest; they still reach each
// other.
void FaultInjector::zone_cut_off(std::size_t controller) {
    World& world = world_;
    Ms span = world.random_integer(5000, 50000);
    bool hold = world.chance(0.7);
    std::string zone = world.zones_[static_cast<std::size_t>(world.random_integer(0, 1))];
    std::string isolated = controller_name(controller);
    for (std::size_t k = 0; k < world.options_.controllers; ++k) {
        if (k == controller) {
            continue;
        }
        std::string other = controller_name(k);
        world.cut_link(isolated, other, span, hold);
        for (auto& [name, worker] : world.workers_) {
            world.cut_link(worker->zone == zone ? other : isolated, name, span, hold);
        }
    }
    world.cut_link(isolated, "state", span, hold);
    world.cut_link(isolated, "cloud", span, hold);
}

void FaultInjector::zones_apart(std::size_t) {
    World& world = world_;
    Ms span = world.random_integer(5000, 60000);
    bool hold = world.chance(0.5);
    std::vector<std::pair<std::string, std::string>> hosts;  // name and zone
    for (std::size_t k = 0; k < world.options_.controllers; ++k) {
        hosts.emplace_back(controller_name(k), world.zone_of_controller(k));
    }
    std::size_t controllers = hosts.size();
    for (const auto& [name, worker] : world.workers_) {
        hosts.emplace_back(name, worker->zone);
    }
    for (std::size_t one = 0; one < controllers; ++one) {
        for (std::size_t other = one + 1; other < hosts.size(); ++other) {
            if (hosts[one].second != hosts[other].second) {
                world.cut_link(hosts[one].first, hosts[other].first, span, hold);
            }
        }
    }
}

void FaultInjector::controller_freezes(std::size_t controller) {
    Ms until = world_.now_ + world_.random_integer(500, 35000);
    world_.hosts_[controller]->frozen_until = until;
    extend_fault_period(until);
}

}  // namespace walkford::standin
