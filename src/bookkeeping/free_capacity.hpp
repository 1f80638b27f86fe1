// The free capacity of the schedulable machines during one placement round, grouped by machine
// type, zone and price model. It is compact enough to be scanned for every waiting job. With 2,000
// machines and hundreds of waiting jobs, examining the cluster state for each pair of a machine and
// a job took seconds.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "bookkeeping/machine_group_key.hpp"

namespace walkford {

// A copy of the machines' free capacity, built at the beginning of a placement round. Code that
// assigns a task to a machine or unassigns one must call update().
class FreeCapacity {
  public:
    // The free capacity of one machine.
    struct MachineCapacity {
        Id machine = kNone;
        Resources free;
        bool recently_failed = false;  // tasks have failed on it since its last success
    };
    // Schedulable machines of one machine type, zone and price model.
    struct MachineGroup {
        Id machine_type = kNone;
        Id zone = kNone;
        bool spot = false;
        Resources size;  // of each machine
        // For each resource, an upper bound on the free amount of any machine in the group.
        Resources largest_free;
        std::vector<MachineCapacity> machines;
    };

    // Replaces the contents with the given machines, in that order. Omits machines whose type the
    // cloud does not offer.
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

    // Refreshes the free capacity of the machine. Does nothing if the machine is not included.
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

    // The groups, ordered by the first occurrence of one of their machines.
    const std::vector<MachineGroup>& groups() const { return groups_; }

    // Whether the job's constraints allow machines of the group, regardless of their free capacity.
    static bool allowed(const JobSpec& spec, const MachineGroup& group) {
        return spec.allows_machine_type(group.machine_type) &&
               (spec.zone == kNone || spec.zone == group.zone) && (spec.spot || !group.spot);
    }

  private:
    // The location of a machine in groups_.
    struct Position {
        Id group = kNone;  // kNone: the machine is not schedulable
        Id index = kNone;
    };

    static void raise(Resources& bound, const Resources& free) {
        bound = {std::max(bound.cpus, free.cpus), std::max(bound.gpus, free.gpus),
                 std::max(bound.ram, free.ram)};
    }

    std::vector<MachineGroup> groups_;
    std::vector<Position> positions_;  // by machine index
};

}  // namespace walkford
