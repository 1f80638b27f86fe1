#include "coordination/placement/class_capacity.hpp"

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kShapeKept = 600000;  // a class not seen for so long is not kept room for
}

void ClassCapacity::count(Ms now, const FreeCapacity& free_capacity) {
    const ClusterState& cluster = context_.cluster;
    free_slots_.assign(cluster.job_class_profiles.size(), 0);
    start_objectives_s_.assign(cluster.job_class_profiles.size(), 1e18);
    registered_groups_.clear();
    for (const Machine& m : cluster.machines) {
        if (m.registered && !m.terminated) {
            registered_groups_.insert({m.machine_type, m.zone, m.spot});
        }
    }
    for (std::size_t i = 0; i < cluster.job_class_profiles.size(); ++i) {
        const JobClassProfile& shape = cluster.job_class_profiles[i];
        for (const StartLatencyObjective& objective :
             context_.controller.platform_settings.start_latency_objectives) {
            if (cluster.names.job_classes.find(objective.job_class) == shape.job_class) {
                start_objectives_s_[i] = std::min(start_objectives_s_[i], objective.within_s);
            }
        }
        if (now > shape.seen + kShapeKept) {
            free_slots_[i] = 1e9;
            continue;
        }
        for (const FreeCapacity::MachineGroup& machine_group : free_capacity.groups()) {
            if (!FreeCapacity::allowed(shape.spec, machine_group)) {
                continue;
            }
            for (const FreeCapacity::MachineCapacity& capacity : machine_group.machines) {
                free_slots_[i] +=
                    ClusterState::slots(shape.spec, machine_group.machine_type, machine_group.zone,
                                        machine_group.spot, capacity.free);
            }
        }
    }
}

double ClassCapacity::opportunity_cost(const Job& job,
                                       const FreeCapacity::MachineGroup& machine_group,
                                       const Resources& free) const {
    const ClusterState& cluster = context_.cluster;
    double sum = 0;
    for (std::size_t i = 0; i < cluster.job_class_profiles.size(); ++i) {
        const JobClassProfile& shape = cluster.job_class_profiles[i];
        if (shape.job_class == job.spec.job_class || i >= free_slots_.size()) {
            continue;
        }
        auto before = ClusterState::slots(shape.spec, machine_group.machine_type,
                                          machine_group.zone, machine_group.spot, free);
        if (before == 0) {
            continue;
        }
        auto after = ClusterState::slots(shape.spec, machine_group.machine_type, machine_group.zone,
                                         machine_group.spot, free - job.spec.each);
        sum += static_cast<double>(before - after) / std::max(1.0, free_slots_[i]);
    }
    return sum;
}

bool ClassCapacity::reserved_for_others(const Job& job,
                                        const FreeCapacity::MachineGroup& machine_group,
                                        const Resources& free) const {
    const ClusterState& cluster = context_.cluster;
    if (context_.controller.operator_settings.keep_slots == 0) {
        return false;
    }
    double own = start_objective_s(job.spec);
    for (std::size_t i = 0; i < free_slots_.size(); ++i) {
        const JobSpec& other = cluster.job_class_profiles[i].spec;
        if (cluster.job_class_profiles[i].job_class == job.spec.job_class) {
            continue;
        }
        double lost = ClusterState::slots(other, machine_group.machine_type, machine_group.zone,
                                          machine_group.spot, free) -
                      ClusterState::slots(other, machine_group.machine_type, machine_group.zone,
                                          machine_group.spot, free - job.spec.each);
        if (lost <= 0 ||
            free_slots_[i] - lost >= context_.controller.operator_settings.keep_slots) {
            continue;
        }
        // Only from those who have somewhere else to go; for those with a tighter aim, or who have
        // not.
        if (!elsewhere(job.spec, other)) {
            continue;
        }
        if (start_objectives_s_[i] < own || !elsewhere(other, job.spec)) {
            return true;
        }
    }
    return false;
}

bool ClassCapacity::elsewhere(const JobSpec& one, const JobSpec& other) const {
    const ClusterState& cluster = context_.cluster;
    return std::any_of(
        registered_groups_.begin(), registered_groups_.end(), [&](const auto& machine_group) {
            const auto& [machine_type, zone, spot] = machine_group;
            const MachineType* k = cluster.machine_type(machine_type);
            return k && ClusterState::slots(one, machine_type, zone, spot, k->size) > 0 &&
                   ClusterState::slots(other, machine_type, zone, spot, k->size) == 0;
        });
}

double ClassCapacity::start_objective_s(const JobSpec& s) const {
    for (std::size_t i = 0; i < start_objectives_s_.size(); ++i) {
        if (context_.cluster.job_class_profiles[i].job_class == s.job_class) {
            return start_objectives_s_[i];
        }
    }
    return 1e18;
}

// A task was placed on the machine: what is left for the classes.
void ClassCapacity::take(const Machine& machine, const Resources& each) {
    const ClusterState& cluster = context_.cluster;
    const MachineType* machine_type = cluster.machine_type(machine.machine_type);
    if (!machine_type) {
        return;
    }
    Resources free = machine_type->size - machine.used;
    for (std::size_t i = 0; i < free_slots_.size(); ++i) {
        const JobSpec& s = cluster.job_class_profiles[i].spec;
        free_slots_[i] -=
            ClusterState::slots(s, machine.machine_type, machine.zone, machine.spot, free);
        free_slots_[i] +=
            ClusterState::slots(s, machine.machine_type, machine.zone, machine.spot, free - each);
    }
}

}  // namespace walkford
