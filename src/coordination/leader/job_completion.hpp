// Ends jobs: replaces the record of a job that is done or cancelled by one that says how it ended.
#pragma once

#include <string>
#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Finds the jobs that have nothing left to run and writes their end to the store, then deletes the
// placement records that did not fit into that transaction. Owned by the Leader.
class JobCompletion {
  public:
    // The context must outlive this object.
    explicit JobCompletion(LeaderContext& context) : context_(context) {}

    // Called at every tick of the leader; acts every kCheckInterval, and only while the leader
    // holds its lease. A write that fails is tried again later; one that finds another leader
    // deposes this one.
    void tick(Ms now);

    // Deletes the placement records of jobs that ended under an earlier leader. Called once, when
    // the term begins.
    void delete_orphaned_records();

  private:
    static constexpr Ms kCheckInterval = 100;

    enum class JobEnd : std::uint8_t { done, cancelled };
    // The write of a job's end that was sent, kept until its response.
    struct EndingJob {
        Id job_id = kNone;
        std::string name;
        JobEnd end = JobEnd::done;
        std::vector<std::uint32_t> remaining_records;  // to be deleted afterwards
    };

    void end_job(Id job_id, JobEnd end);
    void on_ended(Ms now, const EndingJob& ending, const StoreResponse& response);
    // Deletes as many as fit into one transaction, and the rest when that has been answered.
    void delete_placement_records(const std::string& job_name, std::vector<std::uint32_t> indices);

    LeaderContext& context_;
    Ms check_at_ = 0;
};

}  // namespace walkford
