#include "coordination/leader/placement_writer.hpp"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr std::size_t kMaxOpenWrites = 24;
// The store would reject the same record again, so an immediate retry is pointless.
constexpr Ms kTooLargeRetryDelay = 5000;
}  // namespace

void PlacementWriter::tick(Ms now, const WriteOrder& order) {
    ClusterState& cluster = context_.cluster;
    std::vector<PlacementRecordRef> records = due_records(now, order);
    // A record whose changes have been undone equals the stored one and needs no write.
    std::erase_if(records, [&](PlacementRecordRef record) {
        if (!cluster.durable(record.job_id, record.index)) {
            return false;
        }
        cluster.dirty.erase(record);
        return true;
    });
    for (PlacementRecordRef record : records) {
        write(record);
    }
}

bool PlacementWriter::due(Ms now, PlacementRecordRef ref) const {
    const Job& job = context_.cluster.jobs[ref.job_id];
    if (!job.alive || job.ending) {
        return false;
    }
    // JobCompletion is about to replace the job's records, so this write is unnecessary.
    if (job.done == job.spec.tasks || (job.cancelled && job.assigned == 0)) {
        return false;
    }
    const PlacementRecord& record = context_.cluster.placement_record(ref.job_id, ref.index);
    return !record.in_flight && now >= record.retry_at;
}

template <typename Records>
std::vector<PlacementRecordRef> PlacementWriter::due_among(const Records& records, Ms now) const {
    std::vector<PlacementRecordRef> found;
    for (PlacementRecordRef record : records) {
        if (open_writes_ + found.size() >= kMaxOpenWrites) {
            break;
        }
        if (due(now, record)) {
            found.push_back(record);
        }
    }
    return found;
}

std::vector<PlacementRecordRef> PlacementWriter::due_records(Ms now,
                                                             const WriteOrder& order) const {
    const auto& dirty = context_.cluster.dirty;
    if (!order) {
        return due_among(dirty, now);
    }
    std::vector<PlacementRecordRef> ordered(dirty.begin(), dirty.end());
    std::stable_sort(ordered.begin(), ordered.end(),
                     [&order](PlacementRecordRef left, PlacementRecordRef right) {
                         return order(left.job_id) < order(right.job_id);
                     });
    return due_among(ordered, now);
}

bool PlacementWriter::starts_tasks(PlacementRecordRef record) const {
    const std::vector<Task>& tasks =
        context_.cluster.placement_record(record.job_id, record.index).tasks;
    return std::any_of(tasks.begin(), tasks.end(), [](const Task& task) {
        return task.machine != kNone && !task.placement_durable();
    });
}

void PlacementWriter::write(PlacementRecordRef ref) {
    ClusterState& cluster = context_.cluster;
    const Job& job = cluster.jobs[ref.job_id];
    PlacementRecord& record = cluster.placement_record(ref.job_id, ref.index);
    OpenWrite open_write{ref, job.spec.id, keys::placement_record(job.spec.id, ref.index),
                         cluster.snapshot(ref.job_id, ref.index)};
    // The priority must be chosen before the write is marked as started, because from then on no
    // placement in the record counts as durable.
    RequestPriority priority =
        starts_tasks(ref) ? RequestPriority::placement : RequestPriority::progress;
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token},
                               {keys::job(job.spec.id), job.version},
                               {open_write.key, record.version}};
    transaction.writes = {{open_write.key, encode_placement_record(open_write.tasks), 0}};
    record.in_flight = true;
    cluster.mark_write_started(ref.job_id, ref.index, open_write.tasks);
    ++open_writes_;
    cluster.dirty.erase(ref);
    context_.controller.store.transaction(
        priority, std::move(transaction),
        context_.while_leading(
            [this, open_write = std::move(open_write)](Ms now, const StoreResponse& response) {
                on_written(now, open_write, response);
            }));
}

bool PlacementWriter::job_exists(PlacementRecordRef record, const std::string& job_name) const {
    return context_.cluster.find_job(job_name) == record.job_id;
}

void PlacementWriter::on_written(Ms now, const OpenWrite& write, const StoreResponse& response) {
    --open_writes_;
    if (!job_exists(write.record, write.job_name)) {
        return;
    }
    ClusterState& cluster = context_.cluster;
    auto [job_id, index] = write.record;
    PlacementRecord& record = cluster.placement_record(job_id, index);
    record.in_flight = false;
    if (response.status == StoreStatus::ok) {
        cluster.commit(job_id, index, write.tasks, response.revision);
        if (cluster.snapshot(job_id, index) != write.tasks) {
            cluster.dirty.insert(write.record);
        }
        return;
    }
    cluster.dirty.insert(write.record);
    record.retry_at = now + kWriteRetryDelay;
    if (response.status == StoreStatus::too_large) {
        spdlog::error("the store rejected record {} as too large; retrying in {} ms", write.key,
                      kTooLargeRetryDelay);
        record.retry_at = now + kTooLargeRetryDelay;
    }
    if (response.status == StoreStatus::conflict) {
        on_conflict(now, write, response);
    }
    // After any failure the write is retried with the same comparisons, so at most one copy of it
    // takes effect.
}

void PlacementWriter::on_conflict(Ms now, const OpenWrite& write, const StoreResponse& response) {
    spdlog::debug("write of record {} conflicted: keys changed in the store: {}", write.key,
                  fmt::join(response.failed, " "));
    if (context_.depose_if_superseded(now, response)) {
        return;
    }
    for (const std::string& failed : response.failed) {
        if (failed == keys::job(write.job_name)) {
            context_.refresh_replica(now);
        }
        if (failed == write.key) {
            read_record(write);
        }
    }
}

// Reads the stored record after a conflict on it: an earlier copy of one of our writes took effect,
// so the stored record is authoritative.
void PlacementWriter::read_record(const OpenWrite& write) {
    PlacementRecordRef ref = write.record;
    context_.cluster.placement_record(ref.job_id, ref.index).in_flight = true;
    context_.controller.store.get(write.key,
                                  context_.while_leading([this, ref, job_name = write.job_name](
                                                             Ms, const StoreResponse& response) {
                                      on_record_read(ref, job_name, response);
                                  }),
                                  context_.controller.out);
}

void PlacementWriter::on_record_read(PlacementRecordRef ref, const std::string& job_name,
                                     const StoreResponse& response) {
    if (!job_exists(ref, job_name)) {
        return;
    }
    ClusterState& cluster = context_.cluster;
    PlacementRecord& record = cluster.placement_record(ref.job_id, ref.index);
    record.in_flight = false;
    if (response.status == StoreStatus::not_found) {
        record.version = 0;
        return;
    }
    if (response.status != StoreStatus::ok || response.rows.size() != 1 ||
        !response.rows[0].value) {
        return;
    }
    std::vector<TaskRecord> stored(record.tasks.size());
    if (decode_placement_record(*response.rows[0].value, stored, response.rows[0].key)) {
        cluster.commit(ref.job_id, ref.index, stored, response.rows[0].version);
    }
}

}  // namespace walkford
