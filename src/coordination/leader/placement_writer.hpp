// Keeps the placement records in the store equal to the leader's cluster state.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Writes each placement record that the cluster state has marked dirty, by compare-and-swap on the
// leader key, the job and the record itself. A task may be started only once its placement is
// durable, so these writes bound how fast work starts. Owned by the Leader, which calls tick()
// while it holds the lease.
class PlacementWriter {
  public:
    // The position of a job in the order of writes, lowest first. Empty: the order of the records.
    using WriteOrder = std::function<int(Id job_id)>;

    // The context must outlive this object.
    explicit PlacementWriter(LeaderContext& context) : context_(context) {}

    // Starts the writes that are due, up to the number that may be open at a time. A write that
    // fails is tried again later; one that finds another leader deposes this one.
    void tick(Ms now, const WriteOrder& order);

  private:
    // A write that was sent, kept until its response.
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
    // The job that the write was for has not ended meanwhile (slots of the table are used again).
    bool job_exists(PlacementRecordRef record, const std::string& job_name) const;

    LeaderContext& context_;
    std::size_t open_writes_ = 0;
};

}  // namespace walkford
