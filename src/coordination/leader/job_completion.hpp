// Ends jobs: replaces the record of a job that is done or cancelled with a record of how it ended.
#pragma once

#include <string>
#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Finds the jobs that have no tasks left to run, records their end in the store, and then deletes
// the placement records that did not fit into the same transaction. Owned by the Leader.
class JobCompletion {
  public:
    // The context must outlive this object.
    explicit JobCompletion(LeaderContext& context) : context_(context) {}

    // Must be called at every tick of the leader. Checks all jobs every kCheckInterval, and only
    // while the leader holds its lease. A failed write is retried later; if it failed because
    // another controller leads, this leader is deposed.
    void tick(Ms now);

    // Deletes the placement records of jobs that ended under an earlier leader. Must be called once
    // at the start of the term.
    void delete_orphaned_records();

  private:
    static constexpr Ms kCheckInterval = 100;

    enum class JobEnd : std::uint8_t { done, cancelled };
    // A job whose end is being written; kept until the response arrives.
    struct EndingJob {
        Id job_id = kNone;
        std::string name;
        FinishedJobRecord record;
        std::vector<std::uint32_t> remaining_records;  // deleted after the transaction
    };

    void end_job(Id job_id, JobEnd end);
    void on_ended(Ms now, const EndingJob& ending, const StoreResponse& response);
    // Deletes as many records as fit into one transaction, and the rest once that has succeeded.
    void delete_placement_records(const std::string& job_name, std::vector<std::uint32_t> indices);

    LeaderContext& context_;
    Ms check_at_ = 0;
};

}  // namespace walkford
