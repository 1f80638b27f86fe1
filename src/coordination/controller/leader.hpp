// What the leader alone does: cluster, placing, scaling, and the dialogues with workers and cloud.
// It lives from election to deposition; nothing in it outlives its token.
#pragma once

#include "coordination/cloud/cloud_manager.hpp"
#include "coordination/leader/leader_context.hpp"
#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/placement/placer.hpp"
#include "coordination/scaling/scaler.hpp"
#include "coordination/workers/worker_manager.hpp"
#include "coordination/zone_failover/zone_failover_manager.hpp"

namespace walkford {

class Leader {
  public:
    Leader(ControllerContext& controller, std::uint64_t fencing_token, Ms now);
    ~Leader();
    Leader(const Leader&) = delete;
    Leader& operator=(const Leader&) = delete;

    void set_authority(bool holds_lease, Ms heartbeat_answer_deadline, Ms view_confirmed_until);
    void tick(Ms now);
    void job_changed(Ms now, const std::string& id);
    void heartbeat(Ms now, const HeartbeatRequest& heartbeat);
    LeaderContext& context() { return context_; }

  private:
    using PlacementRecordRef = std::pair<Id, std::uint32_t>;  // a job, and a placement record of it
    bool write_due(Ms now, Id job, std::uint32_t index);
    // The placement records to be written now, as many as may be open.
    std::vector<PlacementRecordRef> records_due(Ms now);
    void write_placement_records(Ms now);
    void write_placement_record(Ms now, Id job, std::uint32_t index);
    void finish_jobs(Ms now);
    void end_job(Ms now, Id job, bool cancelled);
    void delete_placement_records(const std::string& id, std::vector<std::uint32_t> left);

    LeaderContext context_;
    TaskLifecycle lifecycle_;
    CloudManager cloud_;
    WorkerManager workers_;
    ZoneFailoverManager zone_failover_;
    Placer placer_;
    Scaler scaler_;
    std::size_t writes_open_ = 0;
    Ms finish_at_ = 0;
};

}  // namespace walkford
