// The order in which waiting jobs are served: by aged priority; then displaced work, by its
// evacuation position; then demand within a team's guaranteed share before borrowed demand; then
// start deadline; then age.
#pragma once

#include <vector>

#include "bookkeeping/cluster_state.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

// The job's priority including aging. `since`: the time from which its waiting counts;
// `priority_aging_s`: the seconds of waiting that raise the priority by one, 0 for no aging.
int aged_priority(const Job& job, Ms since, Ms now, double priority_aging_s);

// Returns the jobs with tasks to place, in the order in which they are served.
std::vector<Id> waiting_order(const ClusterState& cluster, Ms now, double priority_aging_s,
                              const ZoneFailoverManager& zone_failover);

}  // namespace walkford
