// Detects failed and unregistered machines and releases them.
#pragma once

#include <cstdint>

#include "coordination/cloud/machine_registry.hpp"
#include "coordination/cloud/machine_releaser.hpp"
#include "coordination/cloud/unregistered_machines.hpp"

namespace walkford {

// Why a machine is released as unhealthy.
enum class MachineFault : std::uint8_t {
    none,
    failed,                   // the cloud's list shows it as failed
    quarantined,              // tasks kept failing on it, and it now has no tasks
    never_booted,             // not running within its boot timeout
    silent,                   // its lease expired, and it still sends no heartbeats
    never_reported,           // listed as running, but has sent this leader no heartbeat
    does_not_receive,         // sends heartbeats, but does not receive the answers
    never_acknowledged_term,  // stopped reporting before it reported this leader's fencing token
};
// Describes the fault for the log.
const char* describe(MachineFault fault);

// Checks all machines every half second and releases unhealthy and unregistered ones. Deposes the
// leader when most machines miss its answers, because then the leader itself is cut off. Owned by
// CloudManager.
class MachineHealthWatch {
  public:
    // All references must outlive it.
    MachineHealthWatch(LeaderContext& context, const MachineRegistry& registry,
                       MachineReleaser& releaser, UnregisteredMachines& unregistered);

    // Runs a check if one is due. `scale_out_pending`: the outcome of some scale-out request is
    // unknown, so an unregistered machine may have been granted to that request.
    void tick(Ms now, bool scale_out_pending);

  private:
    bool answers_are_lost() const;
    void check_unregistered(Ms now, Id machine, bool scale_out_pending);
    MachineFault find_fault(const Machine& machine, Ms now, bool answers_lost) const;
    Ms boot_deadline(const Machine& machine) const;
    bool never_booted(const Machine& machine, Ms now) const;
    bool silent(const Machine& machine, Ms now) const;
    bool never_reported(const Machine& machine, Ms now) const;
    bool does_not_receive(const Machine& machine, Ms now) const;
    bool never_acknowledged_term(const Machine& machine, Ms now) const;

    LeaderContext& context_;
    const MachineRegistry& registry_;
    MachineReleaser& releaser_;
    UnregisteredMachines& unregistered_;
    Ms next_check_at_ = 0;
};

}  // namespace walkford
