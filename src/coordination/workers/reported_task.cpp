#include "coordination/workers/reported_task.hpp"

namespace walkford {

std::optional<TaskRef> find_reported_task(const ClusterState& cluster,
                                          const ReportedTask& reported) {
    Id job_id = cluster.find_job(reported.job);
    if (job_id == kNone || reported.task >= cluster.jobs[job_id].spec.tasks) {
        return std::nullopt;
    }
    return TaskRef{job_id, reported.task};
}

bool is_current_attempt(const Task& task, Id machine_id, const ReportedTask& reported) {
    return task.machine == machine_id && task.attempt == reported.attempt;
}

bool is_durable_attempt(const Task& task, Id machine_id, const ReportedTask& reported) {
    return task.durable_machine == machine_id && task.durable_attempt == reported.attempt &&
           !task.durable_done;
}

}  // namespace walkford
