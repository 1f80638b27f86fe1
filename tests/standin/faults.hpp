// Faults that can be injected into the simulation.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/messages/inputs.hpp"

namespace walkford::standin {

enum class Fault : std::uint8_t {
    controller_restarts,
    all_controllers_restart,
    controller_cut_from_state,
    controller_cut_from_all,
    state_outage,
    state_refuses_controller,
    cloud_outage,
    machine_dies,
    machine_cut_off,
    spot_notice,
    machines_cut_from_controller,
    two_controllers_cut,
    machine_hears_nothing,
    controller_isolated,  // from the store and peers, but not from workers and users
    machine_reboots,
    quick_restarts,  // several controllers restart twice, possibly during an election
    machines_hang,
    zone_cut_off,
    controller_freezes,
    late_writes,    // writes get no reply and are applied after newer ones
    late_reports,   // duplicate heartbeats, delayed by seconds to well over a lease
    machines_mute,  // heartbeats are dropped; direct commands arrive
    mass_cancellation,
    cancellation_at_end,
    leaders_end_in_turn,
    all_controllers_away,  // for longer than a lease
    isolated_leader_and_cancellations,
    odd_requests,
    lost_answers,              // transactions are applied at once, but their replies are lost
    close_looks,               // polls of all controllers and repeated requests after each response
    late_commands,             // direct commands are executed late and get no reply
    reports_for_next_leader,   // duplicate heartbeats delivered when the next leader starts
    cancellation_in_handover,  // while another controller takes over
    limit_and_hanging_machines,  // cancelled tasks hang, teams at quota, leader restarts
    fast_machines_slow_writes,  // machines boot fast while writes are late, and the leader restarts
    small_job_flood,            // four one-task jobs per second, a quarter of them cancelled
    zone_loses_machines,
    zones_apart,  // no controller reaches the other zone; all reach the store
};
inline constexpr std::size_t kFaults = static_cast<std::size_t>(Fault::zones_apart) + 1;

// Returns the name of the enumerator.
std::string_view name_of(Fault fault);

// End times of the faults that stay active for a while; -1 if never active.
struct ActiveFaults {
    Ms late_writes = -1;
    Ms lost_answers = -1;
    Ms late_reports = -1;
    Ms reports_for_next_leader = -1;
    Ms late_commands = -1;
    Ms cancellation_at_end = -1;
    Ms close_looks = -1;
    Ms fast_machines = -1;
};

class World;

// Injects faults into a world, one per call.
class FaultInjector {
  public:
    explicit FaultInjector(World& world) : world_(world) {}
    // Injects one of `allowed`, or any fault if `allowed` is empty. The leader is chosen more often
    // than other controllers.
    void inject(const std::vector<Fault>& allowed);

  private:
    using Handler = void (FaultInjector::*)(std::size_t controller);
    static const std::array<Handler, kFaults>& handlers();

    void controller_restarts(std::size_t controller);
    void all_controllers_restart(std::size_t controller);
    void controller_cut_from_state(std::size_t controller);
    void controller_cut_from_all(std::size_t controller);
    void state_outage(std::size_t controller);
    void state_refuses_controller(std::size_t controller);
    void cloud_outage(std::size_t controller);
    void machine_dies(std::size_t controller);
    void machine_cut_off(std::size_t controller);
    void spot_notice(std::size_t controller);
    void machines_cut_from_controller(std::size_t controller);
    void two_controllers_cut(std::size_t controller);
    void machine_hears_nothing(std::size_t controller);
    void controller_isolated(std::size_t controller);
    void machine_reboots(std::size_t controller);
    void quick_restarts(std::size_t controller);
    void machines_hang(std::size_t controller);
    void zone_cut_off(std::size_t controller);
    void controller_freezes(std::size_t controller);
    void late_writes(std::size_t controller);
    void late_reports(std::size_t controller);
    void machines_mute(std::size_t controller);
    void mass_cancellation(std::size_t controller);
    void cancellation_at_end(std::size_t controller);
    void leaders_end_in_turn(std::size_t controller);
    void all_controllers_away(std::size_t controller);
    void isolated_leader_and_cancellations(std::size_t controller);
    void odd_requests(std::size_t controller);
    void lost_answers(std::size_t controller);
    void close_looks(std::size_t controller);
    void late_commands(std::size_t controller);
    void reports_for_next_leader(std::size_t controller);
    void cancellation_in_handover(std::size_t controller);
    void limit_and_hanging_machines(std::size_t controller);
    void fast_machines_slow_writes(std::size_t controller);
    void small_job_flood(std::size_t controller);
    void zone_loses_machines(std::size_t controller);
    void zones_apart(std::size_t controller);

    void restart_soon(std::size_t controller);
    // Extends the time during which a fault counts as present.
    void extend_fault_period(Ms when);
    // Extends the end of a lasting fault, and the time during which a fault counts as present.
    void extend_fault(Ms& until, Ms span, Ms aftermath);
    std::string random_machine();
    static std::string controller_name(std::size_t controller);

    World& world_;
};

}  // namespace walkford::standin
