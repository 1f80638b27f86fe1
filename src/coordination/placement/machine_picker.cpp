#include "coordination/placement/machine_picker.hpp"

#include <algorithm>

namespace walkford {

MachinePicker::MachinePicker(PlacementRound& round, Id job_id, Id zone)
    : round_(round), job_(job_id) {
    const Job& job = round.job(job_id);
    const Resources& task_resources = job.spec.task_resources;
    const std::vector<FreeCapacity::MachineGroup>& groups = round.free_capacity().groups();
    for (std::uint32_t i = 0; i < groups.size(); ++i) {
        const FreeCapacity::MachineGroup& group = groups[i];
        if (zone != kNone && group.zone != zone) {
            continue;
        }
        if (!task_resources.fits_in(group.largest_free) || !round.scorer().admits(job_id, group)) {
            continue;
        }
        round.count_examined(group.machines.size());
        for (std::uint32_t k = 0; k < group.machines.size(); ++k) {
            const FreeCapacity::MachineCapacity& capacity = group.machines[k];
            if (task_resources.fits_in(capacity.free)) {
                heap_.push_back({MachineScorer::best_possible_score(job, group, capacity), i, k});
            }
        }
    }
    std::make_heap(heap_.begin(), heap_.end());
}

std::optional<MachineScore> MachinePicker::rescore_top() {
    const Entry& top = heap_.front();
    const FreeCapacity::MachineGroup& group = round_.free_capacity().groups()[top.group];
    round_.count_examined(1);
    std::optional<MachineScore> score =
        round_.scorer().score(job_, group, group.machines[top.index]);
    std::pop_heap(heap_.begin(), heap_.end());
    if (score) {
        heap_.back().score = *score;
        std::push_heap(heap_.begin(), heap_.end());
    } else {
        heap_.pop_back();
    }
    return score;
}

Id MachinePicker::next() {
    while (!heap_.empty()) {
        Id machine = heap_.front().score.machine;
        std::optional<MachineScore> score = rescore_top();
        if (score && heap_.front().score.machine == machine) {
            return machine;
        }
    }
    return kNone;
}

// The score can also improve: the assigned task may have started to fetch the job's image there.
void MachinePicker::on_task_assigned() { rescore_top(); }

}  // namespace walkford
