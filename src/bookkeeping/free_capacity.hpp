// The free room of the machines that may be given work, as a round of placing sees it: by sort
// (kind, zone, spot or not), small enough to be looked through for every job that waits. With two
// thousand machines and hundreds of waiting jobs, a look at the cluster state for each pair took
// seconds.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

class FreeCapacity {
  public:
    struct MachineCapacity {
        Id machine = kNone;
        Resources free;
        bool failing = false;  // something failed there lately
    };
    struct MachineGroup {
        Id machine_type = kNone;
        Id zone = kNone;
        bool spot = false;
        Resources size;
        Resources most;  // of each resource, the most that any of them has free; may be too much
        std::vector<MachineCapacity> machines;
    };

    void build(const ClusterState& cluster, const std::vector<Id>& schedulable) {
        groups_.clear();
        where_.assign(cluster.machines.size(), {kNone, kNone});
        std::map<std::tuple<Id, Id, bool>, std::size_t> index;
        for (Id id : schedulable) {
            const Machine& m = cluster.machines[id];
            const MachineType* machine_type = cluster.machine_type(m.machine_type);
            if (!machine_type) {
                continue;
            }
            auto [it, fresh] = index.try_emplace({m.machine_type, m.zone, m.spot}, groups_.size());
            if (fresh) {
                groups_.push_back({m.machine_type, m.zone, m.spot, machine_type->size, {}, {}});
            }
            MachineGroup& machine_group = groups_[it->second];
            where_[id] = {static_cast<Id>(it->second),
                          static_cast<Id>(machine_group.machines.size())};
            machine_group.machines.push_back(
                {id, machine_type->size - m.used, m.health.failures() > 0});
            raise(machine_group.most, machine_group.machines.back().free);
        }
    }
    // The machine's cluster have changed.
    void update(const ClusterState& cluster, Id machine) {
        auto [s, r] = where_.at(machine);
        if (s == kNone) {
            return;
        }
        MachineGroup& machine_group = groups_[s];
        MachineCapacity& capacity = machine_group.machines[r];
        capacity.free = machine_group.size - cluster.machines[machine].used;
        raise(machine_group.most, capacity.free);
    }
    const std::vector<MachineGroup>& groups() const { return groups_; }

    // Could a task of this job be on such a machine, were it empty?
    static bool allowed(const JobSpec& s, const MachineGroup& machine_group) {
        return s.allows_machine_type(machine_group.machine_type) &&
               (s.zone == kNone || s.zone == machine_group.zone) && (s.spot || !machine_group.spot);
    }

  private:
    static void raise(Resources& most, const Resources& free) {
        most = {std::max(most.cpus, free.cpus), std::max(most.gpus, free.gpus),
                std::max(most.ram, free.ram)};
    }
    std::vector<MachineGroup> groups_;
    std::vector<std::pair<Id, Id>> where_;
};

}  // namespace walkford
