#include "coordination/workers/recent_runs.hpp"

#include <algorithm>

#include "coordination/workers/response_validity.hpp"

namespace walkford {

void RecentRuns::record(Ms now, Id machine, const WorkerCommand& run, bool after_clear) {
    std::deque<Run>& runs = runs_[machine];
    while (!runs.empty() && runs.front().valid_until < now) {
        runs.pop_front();
    }
    runs.push_back({run.job, run.task, run.attempt, now + kResponseValidFor, after_clear});
}

const RecentRuns::Run* RecentRuns::find(Ms now, Id machine, const ReportedTask& reported) const {
    auto runs = runs_.find(machine);
    if (runs == runs_.end()) {
        return nullptr;
    }
    auto found = std::find_if(runs->second.rbegin(), runs->second.rend(),
                              [&](const Run& run) { return run.is_of(reported); });
    return found == runs->second.rend() || found->valid_until < now ? nullptr : &*found;
}

bool RecentRuns::copy_may_arrive(Ms now, Id machine, const ReportedTask& reported) const {
    return find(now, machine, reported) != nullptr;
}

bool RecentRuns::clearing_copy_may_arrive(Ms now, Id machine, const ReportedTask& reported) const {
    const Run* run = find(now, machine, reported);
    return run && run->after_clear;
}

}  // namespace walkford
