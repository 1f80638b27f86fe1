#include "coordination/cloud/machine_health_watch.hpp"

#include <algorithm>
#include <cstddef>

namespace walkford {

namespace {
constexpr Ms kCheckInterval = 500;
// A new leader is not deposed for lost answers within this time after its election, because the
// machines have not all found it yet.
constexpr Ms kLostAnswersGraceAfterElection = 10000;
// With fewer machines missing answers the leader can't tell its own fault from theirs.
constexpr std::size_t kMinMachinesWithLostAnswers = 3;
constexpr Ms kUnregisteredReleaseDelay = 7000;
constexpr Ms kNeverBootedGraceAfterElection = 5000;
constexpr double kDefaultBootS = 60;  // used if the machine type is unknown

// Whether more than one answer in a row did not reach the machine.
bool misses_answers(const Machine& machine) {
    return machine.acknowledgement.missed_since >= 0 && machine.acknowledgement.missed_answers > 1;
}
}  // namespace

MachineHealthWatch::MachineHealthWatch(LeaderContext& context, const MachineRegistry& registry,
                                       MachineReleaser& releaser,
                                       UnregisteredMachines& unregistered)
    : context_(context), registry_(registry), releaser_(releaser), unregistered_(unregistered) {}

const char* describe(MachineFault fault) {
    switch (fault) {
        case MachineFault::none:
            return "healthy";
        case MachineFault::failed:
            return "failed";
        case MachineFault::quarantined:
            return "quarantined because tasks failed on it";
        case MachineFault::never_booted:
            return "not running within its boot timeout";
        case MachineFault::silent:
            return "silent";
        case MachineFault::never_reported:
            return "listed as running, but has sent this leader no heartbeat";
        case MachineFault::does_not_receive:
            return "sends heartbeats, but does not receive the answers";
        case MachineFault::never_acknowledged_term:
            return "stopped sending heartbeats before it reported this leader's fencing token";
    }
    return "unknown";
}

void MachineHealthWatch::tick(Ms now, bool scale_out_pending) {
    if (now < next_check_at_) {
        return;
    }
    next_check_at_ = now + kCheckInterval;
    bool answers_lost = answers_are_lost();
    if (answers_lost && now > context_.elected_at + kLostAnswersGraceAfterElection) {
        context_.depose(now, "most machines do not receive the answers to their heartbeats");
    }
    const auto& machines = context_.cluster.machines;
    for (Id machine_id = 0; machine_id < machines.size(); ++machine_id) {
        const Machine& machine = machines[machine_id];
        if (machine.terminated || machine.releasing) {
            continue;
        }
        if (!machine.registered) {
            check_unregistered(now, machine_id, scale_out_pending);
            continue;
        }
        MachineFault fault = find_fault(machine, now, answers_lost);
        if (fault != MachineFault::none) {
            releaser_.release(now, machine_id, describe(fault));
        }
    }
}

// If a few machines miss the answers to their heartbeats, those machines are faulty. If more than
// half of the reporting machines do, the fault lies with this leader.
bool MachineHealthWatch::answers_are_lost() const {
    std::size_t reporting = 0;
    std::size_t missing_answers = 0;
    for (const Machine& machine : context_.cluster.machines) {
        if (machine.terminated || !machine.worker.reported || machine.worker.lease_expired) {
            continue;
        }
        ++reporting;
        missing_answers += misses_answers(machine);
    }
    return missing_answers >= kMinMachinesWithLostAnswers && 2 * missing_answers > reporting;
}

// An unregistered machine comes from a scale-out request that the cloud executed late or whose
// answer is still outstanding. It is released only if it stays unregistered with no retry pending.
void MachineHealthWatch::check_unregistered(Ms now, Id machine_id, bool scale_out_pending) {
    const Machine& machine = context_.cluster.machines[machine_id];
    Ms first_seen = unregistered_.first_seen(machine.name, now);
    if (registry_.initialized() && !scale_out_pending &&
        now > first_seen + kUnregisteredReleaseDelay) {
        releaser_.release(now, machine_id, "not in the registry");
    }
}

MachineFault MachineHealthWatch::find_fault(const Machine& machine, Ms now,
                                            bool answers_lost) const {
    if (machine.listing.state == CloudMachineState::failed) {
        return MachineFault::failed;
    }
    if (machine.health.quarantined && machine.tasks.empty()) {
        return MachineFault::quarantined;
    }
    if (never_booted(machine, now)) {
        return MachineFault::never_booted;
    }
    if (silent(machine, now)) {
        return MachineFault::silent;
    }
    if (never_reported(machine, now)) {
        return MachineFault::never_reported;
    }
    if (!answers_lost && does_not_receive(machine, now)) {
        return MachineFault::does_not_receive;
    }
    if (never_acknowledged_term(machine, now)) {
        return MachineFault::never_acknowledged_term;
    }
    return MachineFault::none;
}

Ms MachineHealthWatch::boot_deadline(const Machine& machine) const {
    const MachineType* machine_type = context_.cluster.machine_type(machine.machine_type);
    double boot_s = machine_type ? machine_type->boot_s : kDefaultBootS;
    return machine.requested_at +
           to_ms(boot_s * context_.controller.operator_settings.boot_timeout_factor);
}

bool MachineHealthWatch::never_booted(const Machine& machine, Ms now) const {
    return !machine.worker.reported && machine.listing.state != CloudMachineState::running &&
           now > std::max(boot_deadline(machine),
                          context_.elected_at + kNeverBootedGraceAfterElection);
}

bool MachineHealthWatch::silent(const Machine& machine, Ms now) const {
    double release_s = context_.controller.platform_settings.lease_s +
                       context_.controller.operator_settings.silent_release_s;
    return machine.worker.lease_expired && now > machine.worker.last_heartbeat + to_ms(release_s);
}

bool MachineHealthWatch::never_reported(const Machine& machine, Ms now) const {
    Ms grace = to_ms(context_.controller.operator_settings.unreported_release_s);
    return !machine.worker.reported && machine.listing.state == CloudMachineState::running &&
           now > std::max({machine.listing.listed_since + grace, context_.elected_at + grace,
                           boot_deadline(machine)});
}

bool MachineHealthWatch::does_not_receive(const Machine& machine, Ms now) const {
    Ms grace = to_ms(context_.controller.operator_settings.unacknowledged_release_s);
    return misses_answers(machine) && now > machine.acknowledgement.missed_since + grace;
}

// True if the machine reported only an older fencing token, perhaps in a delayed message, or sent
// only one heartbeat. Without this check, a new machine that terminated after its first heartbeat
// and before the cloud listed it kept its tasks forever. The machine is released because only the
// cloud can confirm that it is gone.
bool MachineHealthWatch::never_acknowledged_term(const Machine& machine, Ms now) const {
    double release_s = context_.controller.operator_settings.unreported_release_s +
                       context_.controller.platform_settings.lease_s;
    return machine.worker.reported && !machine.worker.fencing_token_seen &&
           now > std::max(machine.worker.last_heartbeat, context_.elected_at) + to_ms(release_s);
}

}  // namespace walkford
