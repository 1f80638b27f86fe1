#include "coordination/controller/leader.hpp"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr std::size_t kMostWritesOpen = 24;
constexpr Ms kRetry = 250;
constexpr Ms kRetryRefused = 5000;   // too large for the state service: not soon again
constexpr double kServiceStart = 5;  // seconds within which a replica is wanted where no aim says
}  // namespace

Leader::Leader(ControllerContext& controller, std::uint64_t fencing_token, Ms now)
    : context_(controller, fencing_token, now),
      lifecycle_(context_),
      cloud_(context_, lifecycle_),
      workers_(context_, lifecycle_),
      zone_failover_(context_),
      placer_(context_, lifecycle_, zone_failover_),
      scaler_(context_, zone_failover_) {
    ClusterState& cluster = context_.cluster;
    cluster.set_machine_types(controller.machine_types);
    if (controller.operator_settings.place_order == PlaceOrder::start_deadline) {
        cluster.start_budget = [&controller](const JobSpec& s) {
            double budget = s.deadline_s >= 0 ? std::max(0.0, s.deadline_s - s.estimate_s) : 600.0;
            if (s.service()) {
                budget = kServiceStart;
            }
            for (const StartLatencyObjective& objective :
                 controller.platform_settings.start_latency_objectives) {
                if (controller.names.job_classes.find(objective.job_class) == s.job_class) {
                    budget = std::min(budget, objective.within_s);
                }
            }
            return to_ms(budget);
        };
    }
    // Machines first: placements name them.
    cloud_.load(now);
    for (const auto& [id, stored_job] : controller.replica.jobs()) {
        cluster.load_job(stored_job, controller.replica.placement_records(id), now);
    }
    for (Id j = 0; j < cluster.jobs.size(); ++j) {
        if (cluster.jobs[j].cancelled) {
            lifecycle_.stop_job(j, 0, now, true);
        }
    }
    for (const auto& [id, list] : controller.replica.all_placement_records()) {
        if (controller.replica.job(id)) {
            continue;
        }
        std::vector<std::uint32_t> left;
        for (const auto& [index, record] : list) {
            left.push_back(index);
        }
        delete_placement_records(id, std::move(left));
    }
    std::size_t placed = 0;
    for (const Machine& m : cluster.machines) {
        placed += m.tasks.size();
    }
    spdlog::info("term {} begins: {} jobs, {} machines, {} tasks placed", fencing_token,
                 controller.replica.jobs().size(), cluster.machines.size(), placed);
}

Leader::~Leader() { context_.controller.cloud.clear(); }

void Leader::set_authority(bool holds_lease, Ms heartbeat_answer_deadline,
                           Ms view_confirmed_until) {
    context_.holds_lease = holds_lease;
    context_.view_confirmed_until = view_confirmed_until;
    context_.heartbeat_answer_deadline = heartbeat_answer_deadline;
}

void Leader::heartbeat(Ms now, const HeartbeatRequest& heartbeat) {
    workers_.heartbeat(now, heartbeat);
}

void Leader::job_changed(Ms now, const std::string& id) {
    ClusterState& cluster = context_.cluster;
    const StoredJob* stored_job = context_.controller.replica.job(id);
    Id job = cluster.find_job(id);
    if (!stored_job) {
        // Only a leader's own transaction takes a job away, once all its tasks are gone or done.
        if (job != kNone && cluster.jobs[job].assigned == 0) {
            cluster.remove_job(job);
        }
        return;
    }
    if (job == kNone) {
        cluster.load_job(*stored_job, context_.controller.replica.placement_records(id), now);
        context_.place_now = true;
        return;
    }
    Job& j = cluster.jobs[job];
    j.version = stored_job->version;
    if (stored_job->record.cancelled && !j.cancelled) {
        j.cancelled = true;
        lifecycle_.stop_job(job, 0, now, true);
        spdlog::debug("{} cancelled, {} tasks to stop", id, j.assigned);
    }
}

void Leader::tick(Ms now) {
    workers_.tick(now);
    cloud_.tick(now);
    if (now >= finish_at_) {
        finish_at_ = now + 100;
        finish_jobs(now);
    }
    zone_failover_.tick(now, workers_, cloud_);
    if (context_.holds_lease) {
        placer_.round(now, workers_);
        scaler_.tick(now, workers_, cloud_);
        write_placement_records(now);
    }
    workers_.respond_deferred(now, placer_.rounds());
}

bool Leader::write_due(Ms now, Id job, std::uint32_t index) {
    ClusterState& cluster = context_.cluster;
    const Job& j = cluster.jobs[job];
    if (!j.alive || j.ending) {
        return false;
    }
    // The final record makes this one needless.
    if (j.done == j.spec.tasks || (j.cancelled && j.assigned == 0)) {
        return false;
    }
    const PlacementRecord& c = cluster.placement_record(job, index);
    return !c.in_flight && now >= c.retry_at;
}

std::vector<Leader::PlacementRecordRef> Leader::records_due(Ms now) {
    const auto& dirty = context_.cluster.dirty;
    std::vector<PlacementRecordRef> due;
    auto full = [&] { return writes_open_ + due.size() >= kMostWritesOpen; };
    auto take = [&](const PlacementRecordRef& record) {
        if (write_due(now, record.first, record.second)) {
            due.push_back(record);
        }
    };
    if (!zone_failover_.evacuating()) {
        for (auto it = dirty.begin(); it != dirty.end() && !full(); ++it) {
            take(*it);
        }
        return due;
    }
    // The state service's write rate is the narrowest part: displaced work goes in its order.
    std::vector<PlacementRecordRef> ordered(dirty.begin(), dirty.end());
    std::stable_sort(ordered.begin(), ordered.end(), [this](const auto& a, const auto& b) {
        return zone_failover_.evacuation_position(a.first) <
               zone_failover_.evacuation_position(b.first);
    });
    for (auto it = ordered.begin(); it != ordered.end() && !full(); ++it) {
        take(*it);
    }
    return due;
}

void Leader::write_placement_records(Ms now) {
    ClusterState& cluster = context_.cluster;
    std::vector<PlacementRecordRef> due = records_due(now);
    // A placement tried and taken back leaves nothing to write.
    std::erase_if(due, [&](const auto& d) {
        if (!cluster.durable(d.first, d.second)) {
            return false;
        }
        cluster.dirty.erase(d);
        return true;
    });
    for (auto [job, index] : due) {
        write_placement_record(now, job, index);
    }
}

void Leader::write_placement_record(Ms, Id job, std::uint32_t index) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[job];
    PlacementRecord& c = cluster.placement_record(job, index);
    std::vector<TaskRecord> records = cluster.snapshot(job, index);
    bool placement = false;
    for (const Task& t : c.tasks) {
        if (t.machine != kNone && !t.durable_here()) {
            placement = true;
        }
    }
    Transaction transaction;
    std::string key = keys::placement_record(j.spec.id, index);
    transaction.comparisons = {{keys::kLeader, context_.fencing_token},
                               {keys::job(j.spec.id), j.version},
                               {key, c.version}};
    transaction.writes = {{key, encode_placement_record(records), 0}};
    c.in_flight = true;
    cluster.mark_write_started(job, index, records);
    ++writes_open_;
    cluster.dirty.erase({job, index});
    context_.controller.store.transaction(
        placement ? RequestPriority::placement : RequestPriority::progress, std::move(transaction),
        [this, alive = std::weak_ptr<bool>(context_.alive), job, index, id = j.spec.id,
         records = std::move(records), key](Ms at, const StoreResponse& r) {
            if (alive.expired()) {
                return;
            }
            --writes_open_;
            ClusterState& b = context_.cluster;
            if (b.find_job(id) != job) {
                return;  // ended meanwhile
            }
            PlacementRecord& record = b.placement_record(job, index);
            record.in_flight = false;
            if (r.status == StoreStatus::ok) {
                b.commit(job, index, records, r.revision);
                if (b.snapshot(job, index) != records) {
                    b.dirty.insert({job, index});
                }
                return;
            }
            b.dirty.insert({job, index});
            record.retry_at = at + kRetry;
            if (r.status == StoreStatus::too_large) {
                spdlog::error("the state service refuses the record {} as too large", key);
                record.retry_at = at + kRetryRefused;
            }
            if (r.status == StoreStatus::conflict) {
                spdlog::debug("write of {} found {} changed", key, fmt::join(r.failed, " "));
            }
            if (r.status != StoreStatus::conflict) {
                return;  // the same conditions again: at most one copy takes effect
            }
            if (context_.deposed_by(at, r)) {
                return;
            }
            for (const std::string& failed : r.failed) {
                if (failed == keys::job(id)) {
                    context_.refresh(at);
                }
                if (failed != key) {
                    continue;
                }
                // An earlier copy of one of our writes got there: what stands there counts.
                record.in_flight = true;
                context_.controller.store.get(
                    key,
                    [this, alive, job, index, id](Ms, const StoreResponse& got) {
                        if (alive.expired()) {
                            return;
                        }
                        ClusterState& bk = context_.cluster;
                        if (bk.find_job(id) != job) {
                            return;
                        }
                        PlacementRecord& ck = bk.placement_record(job, index);
                        ck.in_flight = false;
                        if (got.status == StoreStatus::ok && got.rows.size() == 1 &&
                            got.rows[0].value) {
                            std::vector<TaskRecord> stored(ck.tasks.size());
                            if (decode_placement_record(*got.rows[0].value, stored)) {
                                bk.commit(job, index, stored, got.rows[0].version);
                            }
                        } else if (got.status == StoreStatus::not_found) {
                            ck.version = 0;
                        }
                    },
                    context_.controller.out);
            }
        });
}

void Leader::finish_jobs(Ms now) {
    if (!context_.holds_lease) {
        return;
    }
    ClusterState& cluster = context_.cluster;
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        Job& j = cluster.jobs[id];
        if (!j.alive || j.ending || now < j.retry_at) {
            continue;
        }
        if (j.cancelled) {
            if (j.assigned == 0) {
                end_job(now, id, true);
            }
        } else if (!j.spec.service() && j.done == j.spec.tasks) {
            end_job(now, id, false);
        }
    }
}

void Leader::end_job(Ms, Id job, bool cancelled) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[job];
    j.ending = true;
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token},
                               {keys::job(j.spec.id), j.version}};
    transaction.writes = {{keys::ended(j.spec.id), encode_ended({cancelled, j.spec.tasks}), 0},
                          {keys::job(j.spec.id), std::nullopt, 0}};
    std::vector<std::uint32_t> left;
    for (std::uint32_t c = 0; c < j.placement_records.size(); ++c) {
        if (!j.placement_records[c] ||
            (j.placement_records[c]->version == 0 && !j.placement_records[c]->in_flight)) {
            continue;
        }
        if (transaction.writes.size() <
            context_.controller.store.limits().transaction_operations()) {
            transaction.writes.push_back({keys::placement_record(j.spec.id, c), std::nullopt, 0});
        } else {
            left.push_back(c);
        }
    }
    context_.controller.store.transaction(
        RequestPriority::done, std::move(transaction),
        [this, alive = std::weak_ptr<bool>(context_.alive), job, id = j.spec.id, cancelled,
         left = std::move(left)](Ms at, const StoreResponse& r) {
            if (alive.expired()) {
                return;
            }
            ClusterState& b = context_.cluster;
            bool ours = b.find_job(id) == job;
            if (r.status == StoreStatus::ok) {
                spdlog::info("{} {}", id, cancelled ? "cancelled, all tasks gone" : "done");
                context_.controller.replica.remember_ended(
                    id, {cancelled, ours ? b.jobs[job].spec.tasks : 0});
                if (ours) {
                    b.remove_job(job);
                }
                delete_placement_records(id, left);
                return;
            }
            if (!ours) {
                return;
            }
            b.jobs[job].ending = false;
            b.jobs[job].retry_at = at + kRetry;
            if (r.status != StoreStatus::conflict) {
                return;
            }
            if (context_.deposed_by(at, r)) {
                return;
            }
            context_.refresh(
                at);  // cancelled meanwhile, or an earlier copy of this write took effect
        });
}

void Leader::delete_placement_records(const std::string& id, std::vector<std::uint32_t> left) {
    if (left.empty()) {
        return;
    }
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token}, {keys::job(id), 0}};
    while (!left.empty() && transaction.writes.size() <
                                context_.controller.store.limits().transaction_operations()) {
        transaction.writes.push_back({keys::placement_record(id, left.back()), std::nullopt, 0});
        left.pop_back();
    }
    context_.controller.store.transaction(RequestPriority::progress, std::move(transaction),
                                          [this, alive = std::weak_ptr<bool>(context_.alive), id,
                                           left = std::move(left)](Ms, const StoreResponse& r) {
                                              if (alive.expired() || r.status != StoreStatus::ok) {
                                                  return;  // the next term tidies
                                              }
                                              delete_placement_records(id, left);
                                          });
}

}  // namespace walkford
