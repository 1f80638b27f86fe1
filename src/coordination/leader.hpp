// What the leader alone does: cluster, placing, scaling, and the dialogues with workers and cloud.
// It lives from election to deposition; nothing in it outlives its token.
#pragma once

#include "coordination/cloud_manager.hpp"
#include "coordination/core.hpp"
#include "coordination/placer.hpp"
#include "coordination/scaler.hpp"
#include "coordination/worker_manager.hpp"
#include "coordination/zone_failover_manager.hpp"

namespace walkford {

// What the parts of the leader share.
struct LeaderContext {
    ControllerContext& controller;
    ClusterState cluster;
    std::uint64_t fencing_token = 0;
    Ms elected_at = 0;
    bool holds_lease = false;          // our lease is surely ours: start, rent and write
    Ms view_confirmed_until = -1;      // the view holds everything that had happened by then
    Ms heartbeat_answer_deadline = 0;  // until then heartbeats may be answered 200
    bool place_now = true;
    bool scale_out_now = false;  // the cloud ran out of one kind: the next is asked for at once
    // What the last round of placing and the last trial packing looked at: their measure where no
    // clock is to decide.
    struct Work {
        std::size_t placing = 0;
        std::size_t packing = 0;
    };
    Work work;
    std::function<void(Ms, const char*)> depose;
    std::function<void(Ms)> refresh;  // asks for a proven view
    // Was the peer with that index heard within the span?
    std::function<bool(Ms now, std::size_t peer, Ms span)> peer_heard;
    // Calls that outlive the term find this gone.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);

    // A conditional write was refused because another leads: the term ends.
    bool deposed_by(Ms at, const StoreResponse& reply) const {
        bool other_leads = std::find(reply.failed.begin(), reply.failed.end(), keys::kLeader) !=
                           reply.failed.end();
        if (other_leads) {
            depose(at, "a write found another leader");
        }
        return other_leads;
    }

    // Another controller may renew the machine's lease.
    bool relayed(const Machine& machine) const {
        return machine.zone != kNone &&
               controller.replica.relayed(controller.names.zones.name(machine.zone));
    }

    LeaderContext(ControllerContext& c, std::uint64_t t, Ms now)
        : controller(c),
          cluster(c.names, c.platform_settings.teams),
          fencing_token(t),
          elected_at(now) {}
};

// Takes what went wrong with a task, in one place for all who find it out.
class TaskLifecycle {
  public:
    // Members lost before their gang began are replaced within this; it is well within the time
    // that a gang waits for its last one.
    static constexpr Ms kReplaceFor = 8000;

    explicit TaskLifecycle(LeaderContext& context) : context_(context) {}
    // The task is proven gone without a result.
    // `began`: if it is of a gang, that had begun.
    void task_lost(TaskRef ref, Ms now, const char* why, bool began = false);
    // No member of the gang is known to run or to be stopped.
    bool unbegun(Id job) const;
    // Everything on the machine is proven gone.
    void machine_emptied(Id machine, Ms now, const char* why);
    // Stops a task; one whose start was never sent is gone at once.
    void stop(TaskRef ref, double grace, Ms now, bool failure_not_counted);
    void stop_job(Id job, double grace, Ms now, bool failure_not_counted);

  private:
    LeaderContext& context_;
};

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
