#include "coordination/placement/machine_scorer.hpp"

#include <cmath>

#include "coordination/placement/waiting_order.hpp"

namespace walkford {

namespace {
constexpr double kEstimateSlackFactor = 1.5;  // estimates are often wrong by half
constexpr double kStartDelayStepS = 2;        // smaller differences are ignored
}  // namespace

MachineScorer::MachineScorer(LeaderContext& context, const ZoneFailoverManager& zone_failover,
                             const ClassCapacity& class_capacity)
    : context_(context), zone_failover_(zone_failover), class_capacity_(class_capacity) {}

int MachineScorer::aged_priority(Id job) const {
    return walkford::aged_priority(context_.cluster.jobs[job], zone_failover_.waits_since(job),
                                   now_, context_.controller.operator_settings.priority_aging_s);
}

bool MachineScorer::admits(Id job_id, const FreeCapacity::MachineGroup& group) const {
    const Job& job = context_.cluster.jobs[job_id];
    const JobSpec& spec = job.spec;
    if (!FreeCapacity::allowed(spec, group) || !zone_failover_.admits(job_id, group.zone)) {
        return false;
    }
    if (spec.one_zone && !job.zones.empty() && job.zones.begin()->first != group.zone) {
        return false;
    }
    if (!spec.spread) {
        return true;
    }
    auto tasks_in_zone = job.zones.find(group.zone);
    return tasks_in_zone == job.zones.end() || tasks_in_zone->second < spec.max_tasks_per_zone();
}

bool MachineScorer::must_fetch_image(const JobSpec& spec, const Machine& machine) {
    return spec.image != kNone && machine.images.count(spec.image) == 0;
}

double MachineScorer::fetch_s(const JobSpec& spec, const Machine& machine) const {
    const MachineType* machine_type = context_.cluster.machine_type(machine.machine_type);
    if (machine_type->fetch_gb_per_s <= 0) {
        return 0;
    }
    // Concurrent image fetches share the machine's fetch rate.
    int fetches = 1 + context_.cluster.image_fetches_in_progress(machine);
    return spec.image_gb / machine_type->fetch_gb_per_s * fetches;
}

bool MachineScorer::ends_before_reservation(const JobSpec& spec, const Machine& machine,
                                            double fetch_s) const {
    double span = fetch_s + kEstimateSlackFactor * spec.estimate_s +
                  2 * context_.controller.platform_settings.report_s;
    return !spec.starts_together() && spec.estimate_s > 0 &&
           now_ + to_ms(span) <= machine.reservation.ready_at;
}

bool MachineScorer::blocked_by_failover(Id job, const FreeCapacity::MachineGroup& group,
                                        const FreeCapacity::MachineCapacity& capacity,
                                        bool must_fetch) const {
    if (!zone_failover_.has_restrictions()) {
        return false;
    }
    ClusterState& cluster = context_.cluster;
    int fetches = cluster.image_fetches_in_progress(cluster.machines[capacity.machine]);
    if (must_fetch && !zone_failover_.admits_fetch(group.zone, fetches)) {
        return true;
    }
    return zone_failover_.reserved(job, aged_priority(job),
                                   {group.machine_type, group.zone, group.spot, capacity.free});
}

bool MachineScorer::blocked_by_reservation(Id job_id, const FreeCapacity::MachineGroup& group,
                                           const FreeCapacity::MachineCapacity& capacity,
                                           double fetch_s) const {
    const Job& job = context_.cluster.jobs[job_id];
    const Machine& machine = context_.cluster.machines[capacity.machine];
    if (machine.reservation.job == job_id) {
        return false;
    }
    if (machine.reservation.job != kNone && !ends_before_reservation(job.spec, machine, fetch_s)) {
        return true;
    }
    // Services are exempt: a replica that could run in one zone only, because its job is spread,
    // waited forever for slots kept there for other classes. Replicas are few and needed at once.
    return !job.spec.service() && class_capacity_.reserved_for_others(job, group, capacity.free);
}

// Prefers, in this order, machines on which neither this job nor recently others failed; an early
// start at a low cost to other job classes; spot machines for jobs that may use them; and the
// machine with the smallest free share of cores.
std::optional<MachineScore> MachineScorer::score(
    Id job_id, const FreeCapacity::MachineGroup& group,
    const FreeCapacity::MachineCapacity& capacity) const {
    const Job& job = context_.cluster.jobs[job_id];
    const JobSpec& spec = job.spec;
    if (!spec.task_resources.fits_in(capacity.free) || !admits(job_id, group)) {
        return std::nullopt;
    }
    const Machine& machine = context_.cluster.machines[capacity.machine];
    bool must_fetch = must_fetch_image(spec, machine);
    double fetch = must_fetch ? fetch_s(spec, machine) : 0;
    if (blocked_by_failover(job_id, group, capacity, must_fetch) ||
        blocked_by_reservation(job_id, group, capacity, fetch)) {
        return std::nullopt;
    }
    double delay = fetch + context_.controller.operator_settings.opportunity_cost_s *
                               class_capacity_.opportunity_cost(job, group, capacity.free);
    MachineScore score = best_possible_score(job, group, capacity);
    score.start_delay = std::round(delay / kStartDelayStepS);
    return score;
}

MachineScore MachineScorer::best_possible_score(const Job& job,
                                                const FreeCapacity::MachineGroup& group,
                                                const FreeCapacity::MachineCapacity& capacity) {
    MachineScore score;
    score.failed = capacity.recently_failed || job.failed_on.count(capacity.machine) ? 1 : 0;
    score.on_demand_for_spot_job = job.spec.spot && !group.spot ? 1 : 0;
    score.free_share = group.size.cpus > 0 ? capacity.free.cpus / group.size.cpus : 0;
    score.machine = capacity.machine;
    return score;
}

}  // namespace walkford
