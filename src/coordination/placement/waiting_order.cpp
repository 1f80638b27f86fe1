#include "coordination/placement/waiting_order.hpp"

#include <algorithm>

namespace walkford {

namespace {
constexpr int kMaxAgedPriority = 4;  // one above the highest priority

// A waiting job with its sort keys, the most significant first; the smallest is served first.
struct WaitingJob {
    int negative_priority = 0;
    int evacuation_position = 0;  // displaced work first, by its class
    int borrows = 0;              // 1: its team would exceed its guaranteed share
    Ms start_deadline = 0;
    std::uint64_t created_version = 0;  // stands for the job's age
    Id job = kNone;
    auto operator<=>(const WaitingJob&) const = default;
};
}  // namespace

// Without aging, a job of the lowest priority would never start while jobs of higher priority keep
// coming. The remaining tasks of a job that has started wait with the job's own priority: when they
// aged too, under several times the usual load the arrays started first took every slot for the
// rest of the day, and less than half of the jobs of their class ever started.
int aged_priority(const Job& job, Ms since, Ms now, double priority_aging_s) {
    int own = static_cast<int>(job.spec.priority);
    if (priority_aging_s <= 0 || job.assigned > 0 || job.done > 0) {
        return own;
    }
    int raised = own + static_cast<int>((now - since) / to_ms(priority_aging_s));
    return std::clamp(raised, own, kMaxAgedPriority);
}

std::vector<Id> waiting_order(const ClusterState& cluster, Ms now, double priority_aging_s,
                              const ZoneFailoverManager& zone_failover) {
    std::vector<WaitingJob> waiting;
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        const Job& job = cluster.jobs[id];
        if (!job.alive || job.cancelled || job.ending || job.waiting() == 0 ||
            job.not_before > now) {
            continue;
        }
        int priority = aged_priority(job, zone_failover.waits_since(id), now, priority_aging_s);
        bool guaranteed = cluster.within_guaranteed_share(job.spec.team, job.spec.task_resources);
        waiting.push_back({-priority, zone_failover.evacuation_position(id), guaranteed ? 0 : 1,
                           job.start_deadline, job.created_version, id});
    }
    std::sort(waiting.begin(), waiting.end());
    std::vector<Id> order;
    order.reserve(waiting.size());
    for (const WaitingJob& entry : waiting) {
        order.push_back(entry.job);
    }
    return order;
}

}  // namespace walkford
