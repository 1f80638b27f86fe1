#include "coordination/workers/recent_runs.hpp"

#include <utility>

#include "coordination/workers/response_validity.hpp"

namespace walkford {

void RecentRuns::record(Ms now, Id machine, const WorkerCommand& run, bool after_clear) {
    forget_old(now);
    Attempt attempt{machine, run.job, run.task, run.attempt};
    runs_[attempt] = {now + kResponseValidFor, after_clear};
    order_.push_back(std::move(attempt));
}

// An attempt that was recorded again since is valid for longer and stands in the order once more.
void RecentRuns::forget_old(Ms now) {
    while (!order_.empty()) {
        auto oldest = runs_.find(order_.front());
        if (oldest != runs_.end() && oldest->second.valid_until >= now) {
            return;
        }
        if (oldest != runs_.end()) {
            runs_.erase(oldest);
        }
        order_.pop_front();
    }
}

const RecentRuns::Run* RecentRuns::find(Ms now, Id machine, const ReportedTask& reported) const {
    auto run = runs_.find({machine, reported.job, reported.task, reported.attempt});
    return run == runs_.end() || run->second.valid_until < now ? nullptr : &run->second;
}

bool RecentRuns::copy_may_arrive(Ms now, Id machine, const ReportedTask& reported) const {
    return find(now, machine, reported) != nullptr;
}

bool RecentRuns::clearing_copy_may_arrive(Ms now, Id machine, const ReportedTask& reported) const {
    const Run* run = find(now, machine, reported);
    return run && run->after_clear;
}

}  // namespace walkford
