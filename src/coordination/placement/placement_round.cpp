#include "coordination/placement/placement_round.hpp"

namespace walkford {

PlacementRound::PlacementRound(LeaderContext& context, ZoneFailoverManager& zone_failover)
    : context_(context),
      zone_failover_(zone_failover),
      class_capacity_(context),
      scorer_(context, zone_failover, class_capacity_) {}

void PlacementRound::begin(Ms now, const std::vector<Id>& schedulable) {
    scorer_.begin_round(now);
    free_capacity_.build(context_.cluster, schedulable);
    class_capacity_.count_free_slots(now, free_capacity_);
    zone_failover_.begin_round(now, free_capacity_);
    examined_machines_ = 0;
}

void PlacementRound::assign(TaskRef task, Id machine_id, std::uint32_t attempt, Ms now) {
    ClusterState& cluster = context_.cluster;
    const Machine& machine = cluster.machines[machine_id];
    const JobSpec& spec = cluster.jobs[task.job].spec;
    class_capacity_.account_for_assignment(machine, spec.task_resources);
    EvacuationReserve::PlacementTarget place{
        machine.machine_type, machine.zone, machine.spot,
        cluster.machine_type(machine.machine_type)->size - machine.used};
    bool must_fetch = MachineScorer::must_fetch_image(spec, machine);
    cluster.assign(task, machine_id, attempt, now);
    zone_failover_.on_task_placed(task.job, place, must_fetch);
    free_capacity_.update(cluster, machine_id);
}

void PlacementRound::revert(TaskRef ref, std::uint32_t attempt) {
    ClusterState& cluster = context_.cluster;
    Id machine = cluster.task(ref).machine;
    cluster.unassign(ref);
    Task& task = cluster.task(ref);
    task.phase = TaskPhase::pending;
    task.attempt = attempt;
    free_capacity_.update(cluster, machine);
}

}  // namespace walkford
