// Writes changed placement records of the leader's cluster state to the store.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Writes each placement record that the cluster state has marked dirty, in a transaction that
// compares the versions of the leader key, the job and the record itself. A task may be started
// only once its placement is durable, so these writes limit how fast tasks start. Owned by the
// Leader, which calls tick() while it holds the lease.
class PlacementWriter {
  public:
    // Returns the position of a job in the write order, lowest first. If the function is empty,
    // records are written in their own order.
    using WriteOrder = std::function<int(Id job_id)>;

    // The context must outlive this object.
    explicit PlacementWriter(LeaderContext& context) : context_(context) {}

    // Starts the writes that are due, up to the limit on concurrently open writes. A failed write
    // is retried later; if it failed because another controller leads, this leader is deposed.
    void tick(Ms now, const WriteOrder& order);

  private:
    // A write that was sent; kept until the response arrives.
    struct OpenWrite {
        PlacementRecordRef record;
        std::string job_name;
        std::string key;
        std::vector<TaskRecord> tasks;
    };

    bool due(Ms now, PlacementRecordRef record) const;
    template <typename Records>
    std::vector<PlacementRecordRef> due_among(const Records& records, Ms now) const;
    std::vector<PlacementRecordRef> due_records(Ms now, const WriteOrder& order) const;
    void write(PlacementRecordRef record);
    bool starts_tasks(PlacementRecordRef record) const;
    void on_written(Ms now, const OpenWrite& write, const StoreResponse& response);
    void on_conflict(Ms now, const OpenWrite& write, const StoreResponse& response);
    void read_record(const OpenWrite& write);
    void on_record_read(PlacementRecordRef record, const std::string& job_name,
                        const StoreResponse& response);
    // Whether the job that the write was for still exists. Slots in the job table are reused, so
    // the slot alone does not tell.
    bool job_exists(PlacementRecordRef record, const std::string& job_name) const;

    LeaderContext& context_;
    std::size_t open_writes_ = 0;
};

}  // namespace walkford
