#include "coordination/placement/class_capacity.hpp"

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kProfileLifetime = 600000;  // a class not seen for longer keeps no slots
constexpr double kNoObjectiveS = 1e18;
constexpr double kUnlimitedSlots = 1e9;

std::uint32_t slots_on(const JobSpec& spec, const FreeCapacity::MachineGroup& group,
                       const Resources& free) {
    return ClusterState::slots(spec, group.machine_type, group.zone, group.spot, free);
}
}  // namespace

void ClassCapacity::count_free_slots(Ms now, const FreeCapacity& free_capacity) {
    const ClusterState& cluster = context_.cluster;
    registered_groups_.clear();
    for (const Machine& machine : cluster.machines) {
        if (machine.registered && !machine.terminated) {
            registered_groups_.insert({machine.machine_type, machine.zone, machine.spot});
        }
    }
    std::size_t classes = cluster.job_class_profiles.size();
    free_slots_.assign(classes, 0);
    start_objectives_s_.assign(classes, kNoObjectiveS);
    for (std::size_t i = 0; i < classes; ++i) {
        const JobClassProfile& profile = cluster.job_class_profiles[i];
        start_objectives_s_[i] = tightest_objective_s(profile.job_class);
        bool expired = now > profile.seen + kProfileLifetime;
        free_slots_[i] = expired ? kUnlimitedSlots : slots_in(profile.spec, free_capacity);
    }
}

double ClassCapacity::tightest_objective_s(Id job_class) const {
    double tightest = kNoObjectiveS;
    for (const StartLatencyObjective& objective :
         context_.controller.platform_settings.start_latency_objectives) {
        if (context_.cluster.names.job_classes.find(objective.job_class) == job_class) {
            tightest = std::min(tightest, objective.within_s);
        }
    }
    return tightest;
}

double ClassCapacity::slots_in(const JobSpec& spec, const FreeCapacity& free_capacity) {
    double slots = 0;
    for (const FreeCapacity::MachineGroup& group : free_capacity.groups()) {
        if (!FreeCapacity::allowed(spec, group)) {
            continue;
        }
        for (const FreeCapacity::MachineCapacity& capacity : group.machines) {
            slots += slots_on(spec, group, capacity.free);
        }
    }
    return slots;
}

double ClassCapacity::opportunity_cost(const Job& job, const FreeCapacity::MachineGroup& group,
                                       const Resources& free) const {
    const ClusterState& cluster = context_.cluster;
    double cost = 0;
    for (std::size_t i = 0; i < cluster.job_class_profiles.size(); ++i) {
        const JobClassProfile& profile = cluster.job_class_profiles[i];
        if (profile.job_class == job.spec.job_class || i >= free_slots_.size()) {
            continue;
        }
        std::uint32_t before = slots_on(profile.spec, group, free);
        if (before == 0) {
            continue;
        }
        std::uint32_t after = slots_on(profile.spec, group, free - job.spec.task_resources);
        cost += static_cast<double>(before - after) / std::max(1.0, free_slots_[i]);
    }
    return cost;
}

bool ClassCapacity::reserved_for_others(const Job& job, const FreeCapacity::MachineGroup& group,
                                        const Resources& free) const {
    const ClusterState& cluster = context_.cluster;
    std::uint32_t slots_to_keep = context_.controller.operator_settings.keep_slots;
    if (slots_to_keep == 0) {
        return false;
    }
    double own_objective_s = start_objective_s(job.spec);
    for (std::size_t i = 0; i < free_slots_.size(); ++i) {
        const JobSpec& other = cluster.job_class_profiles[i].spec;
        if (cluster.job_class_profiles[i].job_class == job.spec.job_class) {
            continue;
        }
        double lost =
            slots_on(other, group, free) - slots_on(other, group, free - job.spec.task_resources);
        if (lost <= 0 || free_slots_[i] - lost >= slots_to_keep) {
            continue;
        }
        // Only a job that can run elsewhere is kept away from the slots, and only for the benefit
        // of a class that has a tighter objective or can't run elsewhere itself.
        if (!can_run_elsewhere(job.spec, other)) {
            continue;
        }
        if (start_objectives_s_[i] < own_objective_s || !can_run_elsewhere(other, job.spec)) {
            return true;
        }
    }
    return false;
}

bool ClassCapacity::can_run_elsewhere(const JobSpec& spec, const JobSpec& other) const {
    return std::any_of(
        registered_groups_.begin(), registered_groups_.end(), [&](const MachineGroupKey& group) {
            const MachineType* machine_type = context_.cluster.machine_type(group.machine_type);
            auto has_slots = [&](const JobSpec& candidate) {
                return ClusterState::slots(candidate, group.machine_type, group.zone, group.spot,
                                           machine_type->size) > 0;
            };
            return machine_type && has_slots(spec) && !has_slots(other);
        });
}

double ClassCapacity::start_objective_s(const JobSpec& spec) const {
    for (std::size_t i = 0; i < start_objectives_s_.size(); ++i) {
        if (context_.cluster.job_class_profiles[i].job_class == spec.job_class) {
            return start_objectives_s_[i];
        }
    }
    return kNoObjectiveS;
}

void ClassCapacity::account_for_assignment(const Machine& machine,
                                           const Resources& task_resources) {
    const ClusterState& cluster = context_.cluster;
    const MachineType* machine_type = cluster.machine_type(machine.machine_type);
    if (!machine_type) {
        return;
    }
    Resources free = machine_type->size - machine.used;
    auto slots = [&machine](const JobSpec& spec, const Resources& available) {
        return ClusterState::slots(spec, machine.machine_type, machine.zone, machine.spot,
                                   available);
    };
    for (std::size_t i = 0; i < free_slots_.size(); ++i) {
        const JobSpec& spec = cluster.job_class_profiles[i].spec;
        free_slots_[i] -= slots(spec, free);
        free_slots_[i] += slots(spec, free - task_resources);
    }
}

}  // namespace walkford
