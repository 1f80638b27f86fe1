// The order in which waiting jobs are served: by aged priority, then displaced work, guaranteed
// before borrowed demand, start deadline, and age.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// The job's priority, raised by waiting. `since`: from when its waiting counts;
// `priority_aging_s`: seconds of waiting that raise it by one, 0 for never.
int aged_priority(const Job& job, Ms since, Ms now, double priority_aging_s);

// The jobs with tasks to be placed, in the order in which they are served.
std::vector<Id> waiting_order(const ClusterState& cluster, Ms now, double priority_aging_s,
                              const ZoneFailoverManager& zone_failover);

}  // namespace walkford
