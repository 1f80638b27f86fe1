// The commands in the response to a heartbeat.
#pragma once

#include <vector>

#include "coordination/leader/leader_context.hpp"
#include "coordination/workers/recent_runs.hpp"

namespace walkford {

// Compares what a worker reports with the cluster state, and commands it to run, stop and clear
// tasks until both agree.
class CommandBuilder {
  public:
    // Both must outlive this object.
    CommandBuilder(LeaderContext& context, RecentRuns& recent_runs)
        : context_(context), recent_runs_(recent_runs) {}

    // Returns the commands for the machine, at most as many as one response may hold; the others
    // follow in later responses. Marks tasks as commanded to run or stop, so the result must be
    // sent as the response to that status.
    std::vector<WorkerCommand> build(Ms now, Id machine_id, const WorkerStatus& status);

  private:
    // Adds a command for a reported task that is not placed on the machine: `clear` if it has
    // exited, once no copy of its `run` can arrive any more, else `stop`.
    void add_cleanup(Ms now, Id machine_id, const ReportedTask& reported,
                     std::vector<WorkerCommand>& commands) const;
    bool machine_may_start_tasks(const Machine& machine, const WorkerStatus& status) const;
    bool task_may_start(TaskRef ref, const Task& task) const;
    void add_run(Ms now, Id machine_id, TaskRef ref, const WorkerStatus& status,
                 std::vector<WorkerCommand>& commands);

    LeaderContext& context_;
    RecentRuns& recent_runs_;
};

}  // namespace walkford
