// The commands that the answer to a heartbeat carries.
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

    // The commands for the machine, at most as many as an answer may hold; the rest follows with
    // the next answer. Tasks that are commanded to run or stop are marked as such: the result must
    // be sent as the answer to that status.
    std::vector<WorkerCommand> build(Ms now, Id machine_id, const WorkerStatus& status);

  private:
    // For a task that the worker reports and that is not placed there: stop it, or clear its exit.
    void add_cleanup(Id machine_id, const ReportedTask& reported,
                     std::vector<WorkerCommand>& commands) const;
    bool machine_may_start_tasks(const Machine& machine, const WorkerStatus& status) const;
    bool task_may_start(TaskRef ref, const Task& task) const;
    void add_run(Ms now, TaskRef ref, const WorkerStatus& status,
                 std::vector<WorkerCommand>& commands);

    LeaderContext& context_;
};

}  // namespace walkford
