#include "coordination/class_capacity.hpp"

#include <algorithm>

#include "coordination/leader.hpp"

namespace walkford {

namespace {
constexpr Ms kShapeKept = 600000;  // a class not seen for so long is not kept room for
}

void ClassCapacity::count(Ms now, const FreeCapacity& rooms) {
    const ClusterState& cluster = term_.cluster;
    free_slots_.assign(cluster.shapes.size(), 0);
    aims_.assign(cluster.shapes.size(), 1e18);
    held_sorts_.clear();
    for (const Machine& m : cluster.machines) {
        if (m.held && !m.gone) {
            held_sorts_.insert({m.kind, m.zone, m.spot});
        }
    }
    for (std::size_t i = 0; i < cluster.shapes.size(); ++i) {
        const Shape& shape = cluster.shapes[i];
        for (const WaitAim& aim : term_.core.platform.wait_aims) {
            if (cluster.names.lanes.find(aim.lane) == shape.lane) {
                aims_[i] = std::min(aims_[i], aim.within_s);
            }
        }
        if (now > shape.seen + kShapeKept) {
            free_slots_[i] = 1e9;
            continue;
        }
        for (const FreeCapacity::Sort& sort : rooms.sorts()) {
            if (!FreeCapacity::allowed(shape.spec, sort)) {
                continue;
            }
            for (const FreeCapacity::Room& room : sort.rooms) {
                free_slots_[i] +=
                    ClusterState::slots(shape.spec, sort.kind, sort.zone, sort.spot, room.free);
            }
        }
    }
}

double ClassCapacity::opportunity_cost(const Job& job, const FreeCapacity::Sort& sort,
                                       const Amounts& free) const {
    const ClusterState& cluster = term_.cluster;
    double sum = 0;
    for (std::size_t i = 0; i < cluster.shapes.size(); ++i) {
        const Shape& shape = cluster.shapes[i];
        if (shape.lane == job.spec.lane || i >= free_slots_.size()) {
            continue;
        }
        auto before = ClusterState::slots(shape.spec, sort.kind, sort.zone, sort.spot, free);
        if (before == 0) {
            continue;
        }
        auto after =
            ClusterState::slots(shape.spec, sort.kind, sort.zone, sort.spot, free - job.spec.each);
        sum += static_cast<double>(before - after) / std::max(1.0, free_slots_[i]);
    }
    return sum;
}

bool ClassCapacity::kept(const Job& job, const FreeCapacity::Sort& sort,
                         const Amounts& free) const {
    const ClusterState& cluster = term_.cluster;
    if (term_.core.policy.keep_slots == 0) {
        return false;
    }
    double own = aim_of(job.spec);
    for (std::size_t i = 0; i < free_slots_.size(); ++i) {
        const JobSpec& other = cluster.shapes[i].spec;
        if (cluster.shapes[i].lane == job.spec.lane) {
            continue;
        }
        double lost =
            ClusterState::slots(other, sort.kind, sort.zone, sort.spot, free) -
            ClusterState::slots(other, sort.kind, sort.zone, sort.spot, free - job.spec.each);
        if (lost <= 0 || free_slots_[i] - lost >= term_.core.policy.keep_slots) {
            continue;
        }
        // Only from those who have somewhere else to go; for those with a tighter aim, or who have
        // not.
        if (!elsewhere(job.spec, other)) {
            continue;
        }
        if (aims_[i] < own || !elsewhere(other, job.spec)) {
            return true;
        }
    }
    return false;
}

bool ClassCapacity::elsewhere(const JobSpec& one, const JobSpec& other) const {
    const ClusterState& cluster = term_.cluster;
    return std::any_of(held_sorts_.begin(), held_sorts_.end(), [&](const auto& sort) {
        const auto& [kind, zone, spot] = sort;
        const Kind* k = cluster.kind(kind);
        return k && ClusterState::slots(one, kind, zone, spot, k->size) > 0 &&
               ClusterState::slots(other, kind, zone, spot, k->size) == 0;
    });
}

double ClassCapacity::aim_of(const JobSpec& s) const {
    for (std::size_t i = 0; i < aims_.size(); ++i) {
        if (term_.cluster.shapes[i].lane == s.lane) {
            return aims_[i];
        }
    }
    return 1e18;
}

// A task was placed on the machine: what is left for the classes.
void ClassCapacity::take(const Machine& machine, const Amounts& each) {
    const ClusterState& cluster = term_.cluster;
    const Kind* kind = cluster.kind(machine.kind);
    if (!kind) {
        return;
    }
    Amounts free = kind->size - machine.used;
    for (std::size_t i = 0; i < free_slots_.size(); ++i) {
        const JobSpec& s = cluster.shapes[i].spec;
        free_slots_[i] -= ClusterState::slots(s, machine.kind, machine.zone, machine.spot, free);
        free_slots_[i] +=
            ClusterState::slots(s, machine.kind, machine.zone, machine.spot, free - each);
    }
}

}  // namespace walkford
