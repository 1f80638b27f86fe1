// What workers' reports say of machines and tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"
#include "coordination/workers/worker_manager.hpp"

namespace walkford {

namespace {
constexpr Ms kReplicaRanWell = 10000;
constexpr Ms kFirstReplicaWait = 1000;      // doubled up to five times
constexpr Ms kServiceKnownGoodFor = 30000;  // a replica that ran well so lately speaks for its job
}  // namespace

// A machine has one report open at a time, so a later one shows what became of the answer before:
// a token it should have seen and does not show, a session that ended although we answered, a task
// it was told to run and does not have (see take). One lost packet is no more than that; several in
// a row mean that our answers don't arrive.
void WorkerManager::check_acknowledgement(Ms now, Machine& m, const WorkerStatus& r) {
    if (m.acknowledgement.answered_sequence == 0) {
        return;
    }
    bool missed =
        (r.fencing_token < context_.fencing_token && r.sequence > m.acknowledgement.token_announced_sequence) ||
        (r.incarnation > m.acknowledgement.answered_incarnation &&
         now < m.worker.lease_renewed_at + to_ms(context_.controller.platform_settings.lease_s));
    if (missed) {
        answer_unacknowledged(now, m);
    } else if (r.fencing_token == context_.fencing_token && !m.worker.fencing_token_seen) {
        answer_acknowledged(m);
    }
}

void WorkerManager::answer_unacknowledged(Ms now, Machine& m) {
    ++m.acknowledgement.missed_answers;
    if (m.acknowledgement.missed_since < 0) {
        m.acknowledgement.missed_since = now;
    }
    if (m.acknowledgement.missed_answers == kMaxUnacknowledgedAnswers) {
        spdlog::info("machine {} reports and does not take in what it is told", m.name);
    }
}

void WorkerManager::answer_acknowledged(Machine& m) {
    m.acknowledgement.missed_answers = 0;
    m.acknowledgement.missed_since = -1;
}

bool WorkerManager::apply_status(Ms now, Id id, const WorkerStatus& r, bool is_heartbeat) {
    ClusterState& cluster = context_.cluster;
    Machine& m = cluster.machines[id];
    auto at = std::pair{r.incarnation, r.sequence};
    if (m.worker.reported && at <= std::pair{m.worker.incarnation, m.worker.sequence}) {
        return false;
    }
    // From before it was given up: its lease is over, so is all it tells of.
    if (r.incarnation < m.worker.min_incarnation) {
        return false;
    }
    bool new_incarnation = m.worker.reported && r.incarnation > m.worker.incarnation;
    bool under_us = r.fencing_token == context_.fencing_token;
    if (is_heartbeat) {
        check_acknowledgement(now, m, r);
    }
    if (!m.worker.reported) {
        spdlog::debug("machine {} reports", m.name);
        context_.place_now = true;
    }
    m.worker.incarnation = r.incarnation;
    m.worker.sequence = r.sequence;
    m.worker.reported = true;
    if (m.worker.lease_expired) {
        m.worker.lease_expired = false;
        context_.place_now = true;
        spdlog::info("machine {} is back", m.name);
    }
    if (under_us && !m.worker.fencing_token_seen) {
        m.worker.fencing_token_seen = true;
        m.worker.fencing_token_seen_at = now;
    }
    if (new_incarnation) {
        m.images.clear();  // a new session may mean a new disk: count on nothing
    }
    if (r.notice_s) {
        Ms until = now + to_ms(*r.notice_s);
        if (m.worker.reclaim_at < 0) {
            spdlog::info("machine {} is taken in {:.1f} s", m.name, *r.notice_s);
        }
        m.worker.reclaim_at = m.worker.reclaim_at < 0 ? until : std::min(m.worker.reclaim_at, until);
    } else {
        // The newest report counts: an old copy's notice, heard first by a new leader, is not for
        // ever.
        m.worker.reclaim_at = -1;
    }

    std::set<TaskRef> mentioned;
    for (const ReportedTask& t : r.tasks) {
        Id job = cluster.find_job(t.job);
        if (job == kNone || t.task >= cluster.jobs[job].spec.tasks) {
            continue;
        }
        TaskRef ref{job, t.task};
        Task& task = cluster.task(ref);
        if (task.machine != id || task.attempt != t.attempt) {
            continue;
        }
        mentioned.insert(ref);
        if (task.phase == TaskPhase::dispatched && under_us && !task.rerun) {
            answer_acknowledged(m);
        }
        // An earlier leader may have run this attempt again since: only a report made under our
        // token shows that it has not, and until then it is where that leader put it.
        if (t.state == TaskState::exited && t.cause == "alone" && !under_us) {
            continue;
        }
        task.inherited = false;
        if (t.state == TaskState::exited) {
            if (task.rerun && t.cause == "alone") {
                continue;  // not cleared yet
            }
            task_exited(now, ref, t);
            continue;
        }
        if (task.phase != TaskPhase::acknowledged) {
            task.phase = TaskPhase::acknowledged;
            task.since = now;
        }
        if (t.state == TaskState::running && task.state != TaskState::running) {
            task.running_since = now;
        }
        task.state = t.state;
        if (task.running_since >= 0 && now - task.running_since >= kReplicaRanWell) {
            cluster.jobs[job].ran_well_until = now;
        }
    }

    if (!under_us) {
        return true;  // an older leader may still be obeyed: absence proves nothing
    }
    bool told = false;  // one answer lost is counted once, however many orders it held
    std::vector<TaskRef> here(m.tasks.begin(), m.tasks.end());
    for (TaskRef ref : here) {
        if (mentioned.count(ref)) {
            continue;
        }
        if (!cluster.jobs[ref.job].alive) {
            continue;
        }
        Task& task = cluster.task(ref);
        if (task.machine != id) {
            continue;
        }
        bool group = cluster.jobs[ref.job].spec.starts_together();
        switch (task.phase) {
            case TaskPhase::acknowledged:
                lifecycle_.task_lost(ref, now, "not on its machine any more");
                break;
            case TaskPhase::dispatched:
                // Only a later heartbeat shows that the answer with `run` was taken in or dropped:
                // an answer of /orders has a higher number too, and proves nothing about it.
                if (new_incarnation || (is_heartbeat && r.sequence > task.dispatch_sequence) ||
                    task.dispatch_incarnation < r.incarnation) {
                    if (is_heartbeat && !new_incarnation && !told) {
                        told = true;
                        answer_unacknowledged(now, m);
                    }
                    if (task.stopping) {
                        lifecycle_.task_lost(ref, now, "stopped before it started");
                    } else {
                        task.phase = TaskPhase::assigned;
                    }
                }
                break;
            case TaskPhase::assigned:
                if (!task.inherited) {
                    break;
                }
                if (!is_heartbeat) {
                    break;
                }
                // Under our token and not there: never started, or gone with an older session.
                if (group || task.stopping) {
                    lifecycle_.task_lost(ref, now, "not found after a change of leader");
                } else {
                    task.inherited = false;
                }
                break;
            default:
                break;
        }
    }
    return true;
}

// Who is to blame, the job or the machine? A job with a mistake fails everywhere: it is blamed once
// two machines that it failed on have completed work of others since. Until then the machine is,
// and two jobs that fail there, with nothing completed between, are enough. (A job was once excused
// of blaming anyone when it had failed on two machines; with one machine in six sick, every gang
// had, and the sick ones were never found.)
void WorkerManager::attribute_failure(Ms now, TaskRef ref, Id machine) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[ref.job];
    Machine& m = cluster.machines[machine];
    j.failed_on.insert(machine);
    ++j.failures;
    bool good = known_good(now, j);
    if (j.exonerated_machines.size() >= 2 && !good) {
        for (Id other : j.failed_on) {
            cluster.machines[other].health.failing_jobs.erase(ref.job);
        }
        double wait = std::min(60.0, 2.0 * static_cast<double>(1U << std::min(j.failures, 5U)));
        j.not_before = now + to_ms(wait);
    } else {
        m.health.failing_jobs.insert(ref.job);
        m.health.last_failure = now;
        m.health.backoff_until = std::max(m.health.backoff_until, now + 3000);
        // (The other replicas of a service show that it is the machine: elsewhere at once.)
        bool at_once = good && j.spec.service();
        Ms wait = at_once ? 0 : 500 * static_cast<Ms>(std::min(j.failures, 4U));
        j.not_before = std::max(j.not_before, now + wait);
    }
    if (m.health.failures() >= 2 && !m.health.quarantined) {
        m.health.quarantined = true;
        spdlog::info("machine {} fails tasks of {} jobs: given up", m.name, m.health.failures());
        std::vector<TaskRef> here(m.tasks.begin(), m.tasks.end());
        for (TaskRef other : here) {
            if (other != ref) {
                lifecycle_.stop(other,
                                context_.cluster.jobs[other.job].spec.checkpoint_duration_s + 1,
                                now, true);
            }
        }
    }
}

bool WorkerManager::known_good(Ms now, const Job& job) {
    return job.done > 0 || (job.spec.service() && job.ran_well_until + kServiceKnownGoodFor >= now);
}

// A service has no end of its own: a replica that ends runs again. One that ends again and again
// soon after it began waits longer each time.
void WorkerManager::replica_ended(Ms now, TaskRef ref, const ReportedTask& r) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[ref.job];
    const Task& t = cluster.task(ref);
    bool ran_well = t.running_since >= 0 && now - t.running_since >= kReplicaRanWell;
    j.failures = ran_well ? 0 : j.failures + 1;
    if (!j.cancelled && j.failures > 1) {
        Ms wait = kFirstReplicaWait << std::min(j.failures - 2, 5U);
        j.not_before = std::max(j.not_before, now + wait);
    }
    spdlog::info("{}/{} ended by itself on {}", j.spec.id, ref.task,
                 cluster.machines[t.machine].name);
    lifecycle_.task_lost(ref, now, r.cause.c_str());
}

void WorkerManager::done(TaskRef ref, const ReportedTask& r) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[ref.job];
    Id machine = cluster.task(ref).machine;
    Machine& m = cluster.machines[machine];
    for (Id failed : m.health.failing_jobs) {
        if (failed != ref.job) {
            cluster.jobs[failed].exonerated_machines.insert(machine);
        }
    }
    m.health.failing_jobs.clear();
    m.health.failed_jobs_done_elsewhere = 0;
    if (!j.spec.gang()) {
        cluster.mark_done(ref);
        return;
    }
    // A gang completes together: one task that is done shows that all are.
    for (std::uint32_t i = 0; i < j.spec.tasks; ++i) {
        if (cluster.task({ref.job, i}).attempt == r.attempt) {
            cluster.mark_done({ref.job, i});
        }
    }
}

void WorkerManager::task_exited(Ms now, TaskRef ref, const ReportedTask& r) {
    ClusterState& cluster = context_.cluster;
    Job& j = cluster.jobs[ref.job];
    Task& t = cluster.task(ref);
    Id machine = t.machine;
    Machine& m = cluster.machines[machine];
    context_.place_now = true;
    if (r.cause == "done") {
        if (j.spec.service()) {
            replica_ended(now, ref, r);
        } else {
            done(ref, r);
        }
        return;
    }
    spdlog::debug("{}/{} attempt {} ended on {}: {}{}", j.spec.id, ref.task, r.attempt, m.name,
                  r.cause, r.progress_saved ? ", saved" : "");
    if (r.cause == "alone" && !j.cancelled && lifecycle_.unbegun(ref.job)) {
        // Its mates still fetch their image (a large one takes longer than a gang waits): it waits
        // for them once more, with its own in place.
        t.rerun = true;
        t.phase = TaskPhase::assigned;
        t.state = TaskState::unknown;
        t.inherited = false;
        t.since = now;
        return;
    }
    bool failure_not_counted = t.failure_not_counted || t.stopping || j.cancelled;
    if (r.cause == "error" && !failure_not_counted) {
        spdlog::info("{}/{} failed on {}", j.spec.id, ref.task, m.name);
        attribute_failure(now, ref, machine);
    } else if (r.cause == "no_room") {
        // Our cluster state and the machine differ; let it report what it has before it gets more.
        m.health.backoff_until = std::max(m.health.backoff_until, now + 2000);
    } else if (r.cause == "busy") {
        j.not_before = std::max(j.not_before, now + 1000);
    } else if (r.cause == "unknown") {
        j.not_before = std::max(j.not_before, now + 3000);
    }
    bool began = r.cause == "mates_gone" || r.cause == "error" || r.cause == "stopped";
    lifecycle_.task_lost(ref, now, r.cause.c_str(), began);
}

}  // namespace walkford
