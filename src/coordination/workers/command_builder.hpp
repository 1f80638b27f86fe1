// The commands in the response to a heartbeat.
#pragma once

#include <vector>

#include "coordination/leader/leader_context.hpp"

namespace walkford {

// Compares what a worker reports with the cluster state, and commands it to run, stop and clear
// tasks until both agree.
class CommandBuilder {
  public:
    // The context must outlive this object.
    explicit CommandBuilder(LeaderContext& context) : context_(context) {}

    // Returns the commands for the machine, at most as many as one response may hold; the others
    // follow in later responses. Marks tasks as commanded to run or stop, so the result must be
    // sent as the response to that status.
    std::vector<WorkerCommand> build(Ms now, Id machine_id, const WorkerStatus& status);

  private:
    // Adds a command for a reported task that is not placed on the machine: `clear` if it has
    // exited, else `stop`.
    void add_cleanup(Id machine_id, const ReportedTask& reported,
                     std::vector<WorkerCommand>& commands) const;
    bool machine_may_start_tasks(const Machine& machine, const WorkerStatus& status) const;
    bool task_may_start(TaskRef ref, const Task& task) const;
    void add_run(Ms now, TaskRef ref, const WorkerStatus& status,
                 std::vector<WorkerCommand>& commands);

    LeaderContext& context_;
};

}  // namespace walkford
