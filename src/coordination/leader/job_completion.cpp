#include "coordination/leader/job_completion.hpp"

#include <spdlog/spdlog.h>

namespace walkford {

void JobCompletion::tick(Ms now) {
    if (now < check_at_) {
        return;
    }
    check_at_ = now + kCheckInterval;
    if (!context_.holds_lease) {
        return;
    }
    ClusterState& cluster = context_.cluster;
    for (Id job_id = 0; job_id < cluster.jobs.size(); ++job_id) {
        const Job& job = cluster.jobs[job_id];
        if (!job.alive || job.ending || now < job.retry_at) {
            continue;
        }
        if (job.cancelled) {
            if (job.assigned == 0) {
                end_job(job_id, JobEnd::cancelled);
            }
        } else if (!job.spec.service() && job.done == job.spec.tasks) {
            end_job(job_id, JobEnd::done);
        }
    }
}

void JobCompletion::delete_orphaned_records() {
    const StoreReplica& replica = context_.controller.replica;
    for (const auto& [job_name, records] : replica.all_placement_records()) {
        if (replica.job(job_name)) {
            continue;
        }
        std::vector<std::uint32_t> indices;
        for (const auto& [index, record] : records) {
            indices.push_back(index);
        }
        delete_placement_records(job_name, std::move(indices));
    }
}

void JobCompletion::end_job(Id job_id, JobEnd end) {
    Job& job = context_.cluster.jobs[job_id];
    job.ending = true;
    EndingJob ending{job_id, job.spec.id, {end == JobEnd::cancelled, job.spec.tasks}, {}};
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token},
                               {keys::job(job.spec.id), job.version}};
    transaction.writes = {{keys::finished_job(job.spec.id), encode_finished_job(ending.record), 0},
                          {keys::job(job.spec.id), std::nullopt, 0}};
    std::size_t max_writes = context_.controller.store.limits().transaction_operations();
    for (std::uint32_t index = 0; index < job.placement_records.size(); ++index) {
        const auto& record = job.placement_records[index];
        bool never_written = !record || (record->version == 0 && !record->in_flight);
        if (never_written) {
            continue;
        }
        if (transaction.writes.size() < max_writes) {
            transaction.writes.push_back(
                {keys::placement_record(job.spec.id, index), std::nullopt, 0});
        } else {
            ending.remaining_records.push_back(index);
        }
    }
    context_.controller.store.transaction(
        RequestPriority::done, std::move(transaction),
        context_.while_leading(
            [this, ending = std::move(ending)](Ms now, const StoreResponse& response) {
                on_ended(now, ending, response);
            }));
}

void JobCompletion::on_ended(Ms now, const EndingJob& ending, const StoreResponse& response) {
    ClusterState& cluster = context_.cluster;
    // Slots in the job table are reused, so this one may hold another job by now.
    bool job_exists = cluster.find_job(ending.name) == ending.job_id;
    if (response.status == StoreStatus::ok) {
        spdlog::info("job {} ended: {}", ending.name,
                     ending.record.cancelled ? "cancelled, no task is left on a machine"
                                             : "all tasks are done");
        context_.controller.replica.cache_finished_job(ending.name, ending.record);
        if (job_exists) {
            cluster.remove_job(ending.job_id);
        }
        delete_placement_records(ending.name, ending.remaining_records);
        return;
    }
    if (!job_exists) {
        return;
    }
    cluster.jobs[ending.job_id].ending = false;
    cluster.jobs[ending.job_id].retry_at = now + kWriteRetryDelay;
    if (response.status != StoreStatus::conflict || context_.depose_if_superseded(now, response)) {
        return;
    }
    // The job was cancelled in the meantime, or an earlier copy of this write took effect. The
    // refreshed replica shows which.
    context_.refresh_replica(now);
}

void JobCompletion::delete_placement_records(const std::string& job_name,
                                             std::vector<std::uint32_t> indices) {
    if (indices.empty()) {
        return;
    }
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token}, {keys::job(job_name), 0}};
    std::size_t max_writes = context_.controller.store.limits().transaction_operations();
    while (!indices.empty() && transaction.writes.size() < max_writes) {
        transaction.writes.push_back(
            {keys::placement_record(job_name, indices.back()), std::nullopt, 0});
        indices.pop_back();
    }
    context_.controller.store.transaction(
        RequestPriority::progress, std::move(transaction),
        context_.while_leading(
            [this, job_name, remaining = std::move(indices)](Ms, const StoreResponse& response) {
                if (response.status != StoreStatus::ok) {
                    return;  // the next leader deletes the remaining records
                }
                delete_placement_records(job_name, remaining);
            }));
}

}  // namespace walkford
