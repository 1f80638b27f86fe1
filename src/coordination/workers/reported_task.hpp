// Relates the tasks in a worker's status to the cluster state.
#pragma once

#include <optional>
#include <string_view>

#include "bookkeeping/cluster_state.hpp"

namespace walkford {

// Why a task exited, as workers report it (ReportedTask::cause).
namespace exit_cause {
inline constexpr std::string_view kDone = "done";
inline constexpr std::string_view kError = "error";
inline constexpr std::string_view kStopped = "stopped";
inline constexpr std::string_view kNoRoom = "no_room";  // its resources were not free
inline constexpr std::string_view kBusy = "busy";       // an earlier attempt of it still runs there
inline constexpr std::string_view kUnknown = "unknown";  // the worker did not know the job
// Gang members: the other members were not ready in time, or some were lost after the gang had
// begun.
inline constexpr std::string_view kGangIncomplete = "alone";
inline constexpr std::string_view kGangMemberLost = "mates_gone";
}  // namespace exit_cause

// Finds the task of the cluster state that a worker reports; empty if its job has ended or never
// existed.
std::optional<TaskRef> find_reported_task(const ClusterState& cluster,
                                          const ReportedTask& reported);

// Whether the task is placed on that machine with the attempt that the worker reports.
bool is_current_attempt(const Task& task, Id machine_id, const ReportedTask& reported);

// Whether the store still records the reported attempt as placed on that machine and not done. The
// worker must not clear the task before its end is durable.
bool is_durable_attempt(const Task& task, Id machine_id, const ReportedTask& reported);

}  // namespace walkford
