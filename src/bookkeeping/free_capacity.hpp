// The free capacity of the schedulable machines, as a round of placement sees it: grouped by
// machine type, zone and price model, small enough to be looked through for every job that waits.
// With two thousand machines and hundreds of waiting jobs, a look at the cluster state for each
// pair took seconds.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "bookkeeping/machine_group_key.hpp"

namespace walkford {

// A copy of what the machines have free. Built at the beginning of a round; whoever assigns a task
// to a machine, or takes one off it, calls update().
class FreeCapacity {
  public:
    // What one machine has free.
    struct MachineCapacity {
        Id machine = kNone;
        Resources free;
        bool recently_failed = false;  // tasks failed there since its last success
    };
    // Schedulable machines of one machine type, zone and price model.
    struct MachineGroup {
        Id machine_type = kNone;
        Id zone = kNone;
        bool spot = false;
        Resources size;  // of each machine
        // Of each resource, an upper bound of what any of the machines has free.
        Resources largest_free;
        std::vector<MachineCapacity> machines;
    };

    // Starts anew with the machines named, in that order.
    void build(const ClusterState& cluster, const std::vector<Id>& schedulable) {
        groups_.clear();
        positions_.assign(cluster.machines.size(), {});
        std::map<MachineGroupKey, Id> group_indices;
        for (Id id : schedulable) {
            const Machine& machine = cluster.machines[id];
            const MachineType* machine_type = cluster.machine_type(machine.machine_type);
            if (!machine_type) {
                continue;
            }
            auto [index, inserted] =
                group_indices.try_emplace({machine.machine_type, machine.zone, machine.spot},
                                          static_cast<Id>(groups_.size()));
            if (inserted) {
                groups_.push_back(
                    {machine.machine_type, machine.zone, machine.spot, machine_type->size, {}, {}});
            }
            MachineGroup& group = groups_[index->second];
            positions_[id] = {index->second, static_cast<Id>(group.machines.size())};
            group.machines.push_back(
                {id, machine_type->size - machine.used, machine.health.failures() > 0});
            raise(group.largest_free, group.machines.back().free);
        }
    }

    // Reads again what the machine has free; nothing happens if it isn't among them.
    void update(const ClusterState& cluster, Id machine) {
        const Position& position = positions_.at(machine);
        if (position.group == kNone) {
            return;
        }
        MachineGroup& group = groups_[position.group];
        MachineCapacity& capacity = group.machines[position.index];
        capacity.free = group.size - cluster.machines[machine].used;
        raise(group.largest_free, capacity.free);
    }

    // The groups, in the order of their first machine.
    const std::vector<MachineGroup>& groups() const { return groups_; }

    // Whether the job's constraints allow a machine of the group, were it empty.
    static bool allowed(const JobSpec& spec, const MachineGroup& group) {
        return spec.allows_machine_type(group.machine_type) &&
               (spec.zone == kNone || spec.zone == group.zone) && (spec.spot || !group.spot);
    }

  private:
    // Where a machine stands in groups_.
    struct Position {
        Id group = kNone;  // kNone: it isn't among the schedulable machines
        Id index = kNone;
    };

    static void raise(Resources& bound, const Resources& free) {
        bound = {std::max(bound.cpus, free.cpus), std::max(bound.gpus, free.gpus),
                 std::max(bound.ram, free.ram)};
    }

    std::vector<MachineGroup> groups_;
    std::vector<Position> positions_;  // by machine
};

}  // namespace walkford
