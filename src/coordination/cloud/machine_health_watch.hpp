// Finds machines that have failed, and releases them.
#pragma once

#include <cstdint>

#include "coordination/cloud/machine_registry.hpp"
#include "coordination/cloud/machine_releaser.hpp"
#include "coordination/cloud/unregistered_machines.hpp"

namespace walkford {

// Why a machine is released as unhealthy.
enum class MachineFault : std::uint8_t {
    none,
    failed,                   // by the cloud's list
    quarantined,              // tasks fail on it, and it is empty
    never_booted,             // not up within its boot time
    silent,                   // its lease expired, and it still sends no heartbeats
    never_reported,           // listed as running, but it sends no heartbeats
    does_not_receive,         // sends heartbeats, but does not receive the answers
    never_acknowledged_term,  // silent before it reported this leader's fencing token
};
// The fault in words, for the log.
const char* describe(MachineFault fault);

// Looks at all machines every half second, releases unhealthy and unregistered ones, and deposes
// the leader when it is the leader that is cut off. Owned by CloudManager.
class MachineHealthWatch {
  public:
    // All references must outlive it.
    MachineHealthWatch(LeaderContext& context, const MachineRegistry& registry,
                       MachineReleaser& releaser, UnregisteredMachines& unregistered);

    // `scale_out_pending`: some scale-out request has an unknown outcome, so that an unregistered
    // machine may be what it was granted.
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
