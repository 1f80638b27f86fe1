#include "coordination/leader.hpp"

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

void TaskLifecycle::lost(TaskRef ref, Ms now, const char* why, bool began) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[ref.job];
    Task& t = cluster.task(ref);
    if (t.machine == kNone) {
        return;
    }
    spdlog::debug("{}/{} attempt {} off {}: {}", j.spec.id, ref.task, t.attempt,
                  cluster.machines[t.machine].name, why);
    cluster.requeue(ref, now);
    term_.place_now = true;
    if (!j.spec.starts_together() || j.placed == 0) {
        return;
    }
    // A gang that has not begun keeps waiting, and a replacement with the same attempt completes
    // it; one that has begun goes nowhere: the rest is stopped, and all start anew together.
    if (!began && unbegun(ref.job)) {
        if (j.replace_by < 0) {
            j.replace_by = now + kReplaceFor;
        }
    } else {
        halt_job(ref.job, 0, now, true);
    }
}

bool TaskLifecycle::unbegun(Id job) const {
    const Job& j = term_.cluster.jobs[job];
    for (const auto& chunk : j.chunks) {
        if (!chunk) {
            continue;
        }
        for (const Task& t : chunk->tasks) {
            if (t.phase == Phase::done) {
                return false;
            }
            if (t.machine == kNone) {
                continue;
            }
            if (t.halting || t.state == TaskState::running || t.state == TaskState::saving) {
                return false;
            }
        }
    }
    return true;
}

void TaskLifecycle::machine_emptied(Id machine, Ms now, const char* why) {
    auto& tasks = term_.cluster.machines[machine].tasks;
    while (!tasks.empty()) {
        lost(*tasks.begin(), now, why);
    }
}

void TaskLifecycle::halt(TaskRef ref, double grace, Ms now, bool excused) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[ref.job];
    if (j.spec.starts_together()) {
        halt_job(ref.job, grace, now, excused);
        return;
    }
    Task& t = cluster.task(ref);
    if (t.machine == kNone) {
        return;
    }
    if (t.halting) {
        t.halt_grace = std::min(t.halt_grace, static_cast<float>(grace));
        return;
    }
    t.halting = true;
    t.excused = excused;
    t.halt_grace = static_cast<float>(grace);
    t.halt_told = -1;
    if (t.phase == Phase::placed && !t.inherited) {
        lost(ref, now, "never started");
    }
}

void TaskLifecycle::halt_job(Id job, double grace, Ms now, bool excused) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[job];
    std::vector<TaskRef> unsent;
    for (std::uint32_t c = 0; c < j.chunks.size(); ++c) {
        if (!j.chunks[c]) {
            continue;
        }
        for (std::uint32_t i = 0; i < j.chunks[c]->tasks.size(); ++i) {
            Task& t = j.chunks[c]->tasks[i];
            if (t.machine == kNone) {
                continue;
            }
            if (t.halting) {
                t.halt_grace = std::min(t.halt_grace, static_cast<float>(grace));
                continue;
            }
            t.halting = true;
            t.excused = excused;
            t.halt_grace = static_cast<float>(grace);
            t.halt_told = -1;
            if (t.phase == Phase::placed && !t.inherited) {
                unsent.push_back({job, c * j.spec.chunk + i});
            }
        }
    }
    for (TaskRef ref : unsent) {
        cluster.requeue(ref, now);
        term_.place_now = true;
    }
}

Leader::Leader(Core& core, std::uint64_t token, Ms now)
    : term_(core, token, now),
      lifecycle_(term_),
      cloud_(term_, lifecycle_),
      workers_(term_, lifecycle_),
      zone_failover_(term_),
      placer_(term_, lifecycle_, zone_failover_),
      scaler_(term_, zone_failover_) {
    ClusterState& cluster = term_.cluster;
    cluster.set_kinds(core.kinds);
    if (core.policy.place_order == "aim") {
        cluster.start_budget = [&core](const JobSpec& s) {
            double budget = s.deadline_s >= 0 ? std::max(0.0, s.deadline_s - s.estimate_s) : 600.0;
            if (s.service()) {
                budget = kServiceStart;
            }
            for (const WaitAim& aim : core.platform.wait_aims) {
                if (core.names.lanes.find(aim.lane) == s.lane) {
                    budget = std::min(budget, aim.within_s);
                }
            }
            return to_ms(budget);
        };
    }
    // Machines first: placements name them.
    cloud_.load(now);
    for (const auto& [id, view] : core.view.jobs()) {
        cluster.load_job(view, core.view.chunks(id), now);
    }
    for (Id j = 0; j < cluster.jobs.size(); ++j) {
        if (cluster.jobs[j].cancelled) {
            lifecycle_.halt_job(j, 0, now, true);
        }
    }
    for (const auto& [id, list] : core.view.all_chunks()) {
        if (core.view.job(id)) {
            continue;
        }
        std::vector<std::uint32_t> left;
        for (const auto& [index, chunk] : list) {
            left.push_back(index);
        }
        drop_chunks(id, std::move(left));
    }
    std::size_t placed = 0;
    for (const Machine& m : cluster.machines) {
        placed += m.tasks.size();
    }
    spdlog::info("term {} begins: {} jobs, {} machines, {} tasks placed", token,
                 core.view.jobs().size(), cluster.machines.size(), placed);
}

Leader::~Leader() { term_.core.cloud.clear(); }

void Leader::set_rights(bool act, Ms answer_until, Ms proven_until) {
    term_.act = act;
    term_.proven_until = proven_until;
    term_.answer_until = answer_until;
}

void Leader::heartbeat(Ms now, const HeartbeatRequest& heartbeat) {
    workers_.heartbeat(now, heartbeat);
}

void Leader::job_changed(Ms now, const std::string& id) {
    ClusterState& cluster = term_.cluster;
    const JobView* view = term_.core.view.job(id);
    Id job = cluster.find_job(id);
    if (!view) {
        // Only a leader's own transaction takes a job away, once all its tasks are gone or done.
        if (job != kNone && cluster.jobs[job].placed == 0) {
            cluster.remove_job(job);
        }
        return;
    }
    if (job == kNone) {
        cluster.load_job(*view, term_.core.view.chunks(id), now);
        term_.place_now = true;
        return;
    }
    Job& j = cluster.jobs[job];
    j.stamp = view->stamp;
    if (view->record.cancelled && !j.cancelled) {
        j.cancelled = true;
        lifecycle_.halt_job(job, 0, now, true);
        spdlog::debug("{} cancelled, {} tasks to stop", id, j.placed);
    }
}

void Leader::tick(Ms now) {
    workers_.tick(now);
    cloud_.tick(now);
    if (now >= settle_at_) {
        settle_at_ = now + 100;
        settle_jobs(now);
    }
    zone_failover_.tick(now, workers_, cloud_);
    if (term_.act) {
        placer_.round(now, workers_);
        scaler_.tick(now, workers_, cloud_);
        write_chunks(now);
    }
    workers_.answer_held(now, placer_.rounds());
}

bool Leader::write_due(Ms now, Id job, std::uint32_t index) {
    ClusterState& cluster = term_.cluster;
    const Job& j = cluster.jobs[job];
    if (!j.alive || j.ending) {
        return false;
    }
    // The final record makes this one needless.
    if (j.done == j.spec.tasks || (j.cancelled && j.placed == 0)) {
        return false;
    }
    const Chunk& c = cluster.chunk(job, index);
    return !c.in_flight && now >= c.retry_at;
}

std::vector<Leader::ChunkRef> Leader::chunks_due(Ms now) {
    const auto& dirty = term_.cluster.dirty;
    std::vector<ChunkRef> due;
    auto full = [&] { return writes_open_ + due.size() >= kMostWritesOpen; };
    auto take = [&](const ChunkRef& chunk) {
        if (write_due(now, chunk.first, chunk.second)) {
            due.push_back(chunk);
        }
    };
    if (!zone_failover_.evacuating()) {
        for (auto it = dirty.begin(); it != dirty.end() && !full(); ++it) {
            take(*it);
        }
        return due;
    }
    // The state service's write rate is the narrowest part: displaced work goes in its order.
    std::vector<ChunkRef> ordered(dirty.begin(), dirty.end());
    std::stable_sort(ordered.begin(), ordered.end(), [this](const auto& a, const auto& b) {
        return zone_failover_.rank(a.first) < zone_failover_.rank(b.first);
    });
    for (auto it = ordered.begin(); it != ordered.end() && !full(); ++it) {
        take(*it);
    }
    return due;
}

void Leader::write_chunks(Ms now) {
    ClusterState& cluster = term_.cluster;
    std::vector<ChunkRef> due = chunks_due(now);
    // A placement tried and taken back leaves nothing to write.
    std::erase_if(due, [&](const auto& d) {
        if (!cluster.durable(d.first, d.second)) {
            return false;
        }
        cluster.dirty.erase(d);
        return true;
    });
    for (auto [job, index] : due) {
        write_chunk(now, job, index);
    }
}

void Leader::write_chunk(Ms, Id job, std::uint32_t index) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[job];
    Chunk& c = cluster.chunk(job, index);
    std::vector<TaskRecord> records = cluster.snapshot(job, index);
    bool placement = false;
    for (const Task& t : c.tasks) {
        if (t.machine != kNone && !t.durable_here()) {
            placement = true;
        }
    }
    Txn txn;
    std::string key = keys::chunk(j.spec.id, index);
    txn.conditions = {
        {keys::kLeader, term_.token}, {keys::job(j.spec.id), j.stamp}, {key, c.stamp}};
    txn.writes = {{key, encode_chunk(records), 0}};
    c.in_flight = true;
    cluster.doubt(job, index, records);
    ++writes_open_;
    cluster.dirty.erase({job, index});
    term_.core.state.txn(
        placement ? Urgency::placement : Urgency::progress, std::move(txn),
        [this, alive = std::weak_ptr<bool>(term_.alive), job, index, id = j.spec.id,
         records = std::move(records), key](Ms at, const StateReply& r) {
            if (alive.expired()) {
                return;
            }
            --writes_open_;
            ClusterState& b = term_.cluster;
            if (b.find_job(id) != job) {
                return;  // ended meanwhile
            }
            Chunk& chunk = b.chunk(job, index);
            chunk.in_flight = false;
            if (r.status == 200) {
                b.commit(job, index, records, r.revision);
                if (b.snapshot(job, index) != records) {
                    b.dirty.insert({job, index});
                }
                return;
            }
            b.dirty.insert({job, index});
            chunk.retry_at = at + kRetry;
            if (r.status == 400) {
                spdlog::error("the state service refuses the record {} as too large", key);
                chunk.retry_at = at + kRetryRefused;
            }
            if (r.status == 409) {
                spdlog::debug("write of {} found {} changed", key, fmt::join(r.failed, " "));
            }
            if (r.status != 409) {
                return;  // the same conditions again: at most one copy takes effect
            }
            if (term_.deposed_by(at, r)) {
                return;
            }
            for (const std::string& failed : r.failed) {
                if (failed == keys::job(id)) {
                    term_.refresh(at);
                }
                if (failed != key) {
                    continue;
                }
                // An earlier copy of one of our writes got there: what stands there counts.
                chunk.in_flight = true;
                term_.core.state.get(
                    key,
                    [this, alive, job, index, id](Ms, const StateReply& got) {
                        if (alive.expired()) {
                            return;
                        }
                        ClusterState& bk = term_.cluster;
                        if (bk.find_job(id) != job) {
                            return;
                        }
                        Chunk& ck = bk.chunk(job, index);
                        ck.in_flight = false;
                        if (got.status == 200 && got.rows.size() == 1 && got.rows[0].value) {
                            std::vector<TaskRecord> stored(ck.tasks.size());
                            if (decode_chunk(*got.rows[0].value, stored)) {
                                bk.commit(job, index, stored, got.rows[0].stamp);
                            }
                        } else if (got.status == 404) {
                            ck.stamp = 0;
                        }
                    },
                    term_.core.out);
            }
        });
}

void Leader::settle_jobs(Ms now) {
    if (!term_.act) {
        return;
    }
    ClusterState& cluster = term_.cluster;
    for (Id id = 0; id < cluster.jobs.size(); ++id) {
        Job& j = cluster.jobs[id];
        if (!j.alive || j.ending || now < j.retry_at) {
            continue;
        }
        if (j.cancelled) {
            if (j.placed == 0) {
                end_job(now, id, true);
            }
        } else if (!j.spec.service() && j.done == j.spec.tasks) {
            end_job(now, id, false);
        }
    }
}

void Leader::end_job(Ms, Id job, bool cancelled) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[job];
    j.ending = true;
    Txn txn;
    txn.conditions = {{keys::kLeader, term_.token}, {keys::job(j.spec.id), j.stamp}};
    txn.writes = {{keys::ended(j.spec.id), encode_ended({cancelled, j.spec.tasks}), 0},
                  {keys::job(j.spec.id), std::nullopt, 0}};
    std::vector<std::uint32_t> left;
    for (std::uint32_t c = 0; c < j.chunks.size(); ++c) {
        if (!j.chunks[c] || (j.chunks[c]->stamp == 0 && !j.chunks[c]->in_flight)) {
            continue;
        }
        if (txn.writes.size() < term_.core.state.limits().txn_ops()) {
            txn.writes.push_back({keys::chunk(j.spec.id, c), std::nullopt, 0});
        } else {
            left.push_back(c);
        }
    }
    term_.core.state.txn(
        Urgency::done, std::move(txn),
        [this, alive = std::weak_ptr<bool>(term_.alive), job, id = j.spec.id, cancelled,
         left = std::move(left)](Ms at, const StateReply& r) {
            if (alive.expired()) {
                return;
            }
            ClusterState& b = term_.cluster;
            bool ours = b.find_job(id) == job;
            if (r.status == 200) {
                spdlog::info("{} {}", id, cancelled ? "cancelled, all tasks gone" : "done");
                term_.core.view.remember_ended(id, {cancelled, ours ? b.jobs[job].spec.tasks : 0});
                if (ours) {
                    b.remove_job(job);
                }
                drop_chunks(id, left);
                return;
            }
            if (!ours) {
                return;
            }
            b.jobs[job].ending = false;
            b.jobs[job].retry_at = at + kRetry;
            if (r.status != 409) {
                return;
            }
            if (term_.deposed_by(at, r)) {
                return;
            }
            term_.refresh(at);  // cancelled meanwhile, or an earlier copy of this write took effect
        });
}

void Leader::drop_chunks(const std::string& id, std::vector<std::uint32_t> left) {
    if (left.empty()) {
        return;
    }
    Txn txn;
    txn.conditions = {{keys::kLeader, term_.token}, {keys::job(id), 0}};
    while (!left.empty() && txn.writes.size() < term_.core.state.limits().txn_ops()) {
        txn.writes.push_back({keys::chunk(id, left.back()), std::nullopt, 0});
        left.pop_back();
    }
    term_.core.state.txn(Urgency::progress, std::move(txn),
                         [this, alive = std::weak_ptr<bool>(term_.alive), id,
                          left = std::move(left)](Ms, const StateReply& r) {
                             if (alive.expired() || r.status != 200) {
                                 return;  // the next term tidies
                             }
                             drop_chunks(id, left);
                         });
}

}  // namespace walkford
