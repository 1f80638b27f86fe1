// Finds the jobs that the failure of a zone displaces.
#pragma once

#include <string>

#include "coordination/leader/leader_context.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/displaced_work.hpp"

namespace walkford {

// Marks jobs in DisplacedWork. Jobs whose specification names the failed zone are not displaced:
// they wait until it recovers.
// Owned by ZoneFailoverManager.
class DisplacedWorkMarker {
  public:
    // All references must outlive it.
    DisplacedWorkMarker(LeaderContext& context, DisplacedWork& displaced);

    // Marks the jobs with tasks on machines of the zone that have stopped reporting.
    void mark_on_silent_machines(Ms now, Id zone, const WorkerManager& workers);
    // Marks the jobs with tasks on any machine of the zone. A new leader uses this because it has
    // no reports yet that would tell which machines are silent.
    void mark_on_all_machines(Ms now, Id zone);
    // Marks jobs that were interrupted in the zone shortly before: tasks on the first machines to
    // fail are lost before the zone becomes suspect.
    void mark_recently_interrupted(Ms now, Id zone);
    // Marks jobs with tasks that ran before and wait for a restart: an earlier leader may already
    // have removed these tasks from the lost zone.
    void mark_waiting_for_restart(Ms now, Id zone);
    // Logs how many jobs of each class the zone displaced, and how many jobs wait for the zone
    // because they may run only there.
    void log_loss(Id zone, const std::string& zone_name) const;

  private:
    void mark_tasks_on(Ms now, const Machine& machine);

    LeaderContext& context_;
    DisplacedWork& displaced_;
};

}  // namespace walkford
