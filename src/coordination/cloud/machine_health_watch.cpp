#include "coordination/cloud/machine_health_watch.hpp"

#include <algorithm>
#include <cstddef>

namespace walkford {

namespace {
constexpr Ms kCheckInterval = 500;
// A new leader is not deposed for lost answers before this: machines have yet to find it.
constexpr Ms kLostAnswersAfterElection = 10000;
// With fewer machines than this the leader can't tell its own fault from theirs.
constexpr std::size_t kMinMachinesWithLostAnswers = 3;
constexpr Ms kUnregisteredRelease = 7000;
constexpr Ms kNeverBootedAfterElection = 5000;
constexpr double kDefaultBootS = 60;  // of a machine type that is not known

// More than one answer in a row did not reach the machine.
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
            return "quarantined: tasks fail on it";
        case MachineFault::never_booted:
            return "never came up";
        case MachineFault::silent:
            return "silent";
        case MachineFault::never_reported:
            return "does not report";
        case MachineFault::does_not_receive:
            return "reports, but does not receive answers";
        case MachineFault::never_acknowledged_term:
            return "silent before it reported our fencing token";
    }
    return "unknown";
}

void MachineHealthWatch::tick(Ms now, bool scale_out_pending) {
    if (now < next_check_at_) {
        return;
    }
    next_check_at_ = now + kCheckInterval;
    bool answers_lost = answers_are_lost();
    if (answers_lost && now > context_.elected_at + kLostAnswersAfterElection) {
        context_.depose(now, "answers reach too few machines");
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

// When a few machines miss the answers to their heartbeats, they are faulty; when most do, it is
// this leader whose answers are lost.
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

// Unexpected: a scale-out request that was executed late, or one whose answer is still to come.
void MachineHealthWatch::check_unregistered(Ms now, Id machine_id, bool scale_out_pending) {
    const Machine& machine = context_.cluster.machines[machine_id];
    Ms since = unregistered_.first_seen(machine.name, now);
    if (registry_.known() && !scale_out_pending && now > since + kUnregisteredRelease) {
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
           now > std::max(boot_deadline(machine), context_.elected_at + kNeverBootedAfterElection);
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

// The machine reported an older fencing token only, perhaps in a delayed message, or reported once
// only: a new machine that ended after its first heartbeat and before the cloud listed it kept its
// tasks for ever. Only the cloud can prove what became of it.
bool MachineHealthWatch::never_acknowledged_term(const Machine& machine, Ms now) const {
    double release_s = context_.controller.operator_settings.unreported_release_s +
                       context_.controller.platform_settings.lease_s;
    return machine.worker.reported && !machine.worker.fencing_token_seen &&
           now > std::max(machine.worker.last_heartbeat, context_.elected_at) + to_ms(release_s);
}

}  // namespace walkford
