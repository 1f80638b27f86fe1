// Finds the jobs that the failure of a zone displaces.
#pragma once

#include <string>

#include "coordination/leader/leader_context.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/displaced_work.hpp"

namespace walkford {

// Marks jobs in DisplacedWork. Jobs that are bound to the zone are not displaced: they wait for it.
// Owned by ZoneFailoverManager.
class DisplacedWorkMarker {
  public:
    // All references must outlive it.
    DisplacedWorkMarker(LeaderContext& context, DisplacedWork& displaced);

    // Marks what runs on machines of the zone that report no more.
    void mark_on_silent_machines(Ms now, Id zone, const WorkerManager& workers);
    // Marks what runs on any machine of the zone: a new leader has no reports yet.
    void mark_on_all_machines(Ms now, Id zone);
    // Marks jobs that were interrupted in the zone shortly before: the first machines to fail lose
    // their work before the zone is under suspicion.
    void mark_recently_interrupted(Ms now, Id zone);
    // Marks jobs with tasks that ran once and wait for a restart: an earlier leader had already
    // taken them off the lost zone.
    void mark_waiting_for_restart(Ms now, Id zone);
    // Logs how many jobs of each class the zone displaced, and how many wait for it.
    void log_loss(Id zone, const std::string& zone_name) const;

  private:
    void mark_tasks_on(Ms now, const Machine& machine);

    LeaderContext& context_;
    DisplacedWork& displaced_;
};

}  // namespace walkford
