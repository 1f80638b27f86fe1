#include "coordination/zone_failover/zone_observer.hpp"

namespace walkford {

namespace {
// The view is confirmed each second while the store answers.
constexpr Ms kMaxConfirmationAge = 3000;
constexpr Ms kControllerHeartbeatSpan = 5000;
// How long a machine that was lost without notice counts as silent.
constexpr Ms kLostMachineSilentSpan = 30000;
// The time that machines may need to find a new leader, in addition to two report intervals.
constexpr Ms kFindLeaderSpan = 3000;
}  // namespace

void ZoneObserver::observe(Ms now, const WorkerManager& workers, const CloudManager& cloud) {
    bool conclusive = context_.holds_lease && now > evidence_valid_since() &&
                      context_.replica_confirmed_until >= now - kMaxConfirmationAge;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        zones_[zone].evidence = {};
        zones_[zone].evidence.conclusive = conclusive;
    }
    observe_machines(now, workers);
    observe_controllers(now);
    std::uint32_t all_reporting = 0;
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        all_reporting += zones_[zone].evidence.reporting_machines();
    }
    for (Id zone = 0; zone < zones_.size(); ++zone) {
        ZoneEvidence& evidence = zones_[zone].evidence;
        evidence.relayed = context_.controller.replica.relayed(zones_[zone].name);
        evidence.scale_out_refused = cloud.zone_backed_off(zone, now);
        evidence.other_zones_reporting = all_reporting > evidence.reporting_machines();
    }
}

// Evidence is valid only after the machines have had time to find a new leader.
Ms ZoneObserver::evidence_valid_since() const {
    return context_.elected_at + to_ms(2 * context_.controller.platform_settings.report_s) +
           kFindLeaderSpan;
}

void ZoneObserver::observe_machines(Ms now, const WorkerManager& workers) {
    const ClusterState& cluster = context_.cluster;
    watches_.resize(cluster.machines.size());
    for (Id machine_id = 0; machine_id < cluster.machines.size(); ++machine_id) {
        const Machine& machine = cluster.machines[machine_id];
        if (machine.zone >= zones_.size()) {
            continue;
        }
        ReportStatus status = observe_machine(now, machine, watches_[machine_id], workers);
        ZoneEvidence& evidence = zones_[machine.zone].evidence;
        evidence.machines += status != ReportStatus::not_expected;
        evidence.silent_machines += status == ReportStatus::silent;
    }
}

ZoneObserver::ReportStatus ZoneObserver::observe_machine(Ms now, const Machine& machine,
                                                         MachineWatch& watch,
                                                         const WorkerManager& workers) const {
    if (machine.terminated || machine.releasing) {
        return observe_removed_machine(now, machine, watch);
    }
    bool reporting = workers.reported_recently(machine, now);
    // The silence of a machine whose reclaim the cloud announced says nothing about its zone.
    watch.reclaim_announced =
        machine.worker.reclaim_at >= 0 || (watch.reclaim_announced && !reporting);
    if (!expects_report(machine, now) || watch.reclaim_announced) {
        watch.last_status = ReportStatus::not_expected;
    } else {
        watch.last_status = reporting ? ReportStatus::reporting : ReportStatus::silent;
    }
    return watch.last_status;
}

ZoneObserver::ReportStatus ZoneObserver::observe_removed_machine(Ms now, const Machine& machine,
                                                                 MachineWatch& watch) const {
    if (!watch.removed) {
        watch.removed = true;
        // The machine counts as lost if it was released because it was silent, or if the
        // cloud took it without notice, which may have happened before the machine found this
        // leader.
        bool unknown_to_leader = !machine.worker.reported && !machine.requested_by_this_leader;
        bool lost = machine.releasing
                        ? watch.last_status == ReportStatus::silent
                        : watch.last_status != ReportStatus::not_expected || unknown_to_leader;
        watch.lost_at = lost ? now : -1;
    }
    bool counts_as_silent = watch.lost_at >= 0 && now < watch.lost_at + kLostMachineSilentSpan;
    return counts_as_silent ? ReportStatus::silent : ReportStatus::not_expected;
}

bool ZoneObserver::expects_report(const Machine& machine, Ms now) const {
    if (!machine.registered || machine.health.quarantined) {
        return false;
    }
    // A machine that an earlier leader used, or that the cloud lists as running, has a worker that
    // is expected to have found this leader by now.
    bool was_running =
        machine.listing.state == CloudMachineState::running || !machine.tasks.empty();
    return machine.worker.reported ||
           (!machine.requested_by_this_leader && was_running && now > evidence_valid_since());
}

void ZoneObserver::observe_controllers(Ms now) {
    const PlatformSettings& platform_settings = context_.controller.platform_settings;
    for (Id zone_id = 0; zone_id < zones_.size(); ++zone_id) {
        ZoneStatus& zone = zones_[zone_id];
        bool is_own_zone = platform_settings.zone == zone.name;
        zone.evidence.controllers = is_own_zone;
        zone.evidence.reachable_controllers = is_own_zone;
        for (std::size_t peer = 0; peer < platform_settings.peers.size(); ++peer) {
            if (platform_settings.peers[peer].zone != zone.name) {
                continue;
            }
            ++zone.evidence.controllers;
            zone.evidence.reachable_controllers +=
                context_.peer_heard_within &&
                context_.peer_heard_within(now, peer, kControllerHeartbeatSpan);
        }
    }
}

}  // namespace walkford
