// What workers' reports say of machines and tasks.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader.hpp"
#include "coordination/worker_manager.hpp"

namespace walkford {

namespace {
constexpr Ms kReplicaRanWell = 10000;
constexpr Ms kFirstReplicaWait = 1000;  // doubled up to five times
constexpr Ms kServiceProof = 30000;     // a replica that ran well so lately speaks for its job
}  // namespace

// A machine has one report open at a time, so a later one shows what became of the answer before:
// a token it should have seen and does not show, a session that ended although we answered, a task
// it was told to run and does not have (see take). One lost packet is no more than that; several in
// a row mean that our answers don't arrive.
void WorkerManager::listen(Ms now, Machine& m, const WorkerReport& r) {
    if (m.answered_tick == 0) {
        return;
    }
    bool missed =
        (r.token < term_.token && r.tick > m.told_token_tick) ||
        (r.session > m.answered_session && now < m.last_ok + to_ms(term_.core.platform.lease_s));
    if (missed) {
        unheard(now, m);
    } else if (r.token == term_.token && !m.token_seen) {
        heard(m);
    }
}

void WorkerManager::unheard(Ms now, Machine& m) {
    ++m.unheard;
    if (m.deaf_since < 0) {
        m.deaf_since = now;
    }
    if (m.unheard == kDeafAfter) {
        spdlog::info("machine {} reports and does not take in what it is told", m.name);
    }
}

void WorkerManager::heard(Machine& m) {
    m.unheard = 0;
    m.deaf_since = -1;
}

bool WorkerManager::take(Ms now, Id id, const WorkerReport& r, bool is_heartbeat) {
    ClusterState& cluster = term_.cluster;
    Machine& m = cluster.machines[id];
    auto at = std::pair{r.session, r.tick};
    if (m.reported && at <= std::pair{m.session, m.tick}) {
        return false;
    }
    // From before it was given up: its lease is over, so is all it tells of.
    if (r.session < m.min_session) {
        return false;
    }
    bool new_session = m.reported && r.session > m.session;
    bool under_us = r.token == term_.token;
    if (is_heartbeat) {
        listen(now, m, r);
    }
    if (!m.reported) {
        spdlog::debug("machine {} reports", m.name);
        term_.place_now = true;
    }
    m.session = r.session;
    m.tick = r.tick;
    m.reported = true;
    if (m.lost) {
        m.lost = false;
        term_.place_now = true;
        spdlog::info("machine {} is back", m.name);
    }
    if (under_us && !m.token_seen) {
        m.token_seen = true;
        m.token_seen_at = now;
    }
    if (new_session) {
        m.images.clear();  // a new session may mean a new disk: count on nothing
    }
    if (r.notice_s) {
        Ms until = now + to_ms(*r.notice_s);
        if (m.notice_until < 0) {
            spdlog::info("machine {} is taken in {:.1f} s", m.name, *r.notice_s);
        }
        m.notice_until = m.notice_until < 0 ? until : std::min(m.notice_until, until);
    } else {
        // The newest report counts: an old copy's notice, heard first by a new leader, is not for
        // ever.
        m.notice_until = -1;
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
        if (task.phase == Phase::sent && under_us && !task.rerun) {
            heard(m);
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
        if (task.phase != Phase::seen) {
            task.phase = Phase::seen;
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
            case Phase::seen:
                lifecycle_.lost(ref, now, "not on its machine any more");
                break;
            case Phase::sent:
                // Only a later heartbeat shows that the answer with `run` was taken in or dropped:
                // an answer of /orders has a higher number too, and proves nothing about it.
                if (new_session || (is_heartbeat && r.tick > task.sent_tick) ||
                    task.sent_session < r.session) {
                    if (is_heartbeat && !new_session && !told) {
                        told = true;
                        unheard(now, m);
                    }
                    if (task.halting) {
                        lifecycle_.lost(ref, now, "stopped before it started");
                    } else {
                        task.phase = Phase::placed;
                    }
                }
                break;
            case Phase::placed:
                if (!task.inherited) {
                    break;
                }
                if (!is_heartbeat) {
                    break;
                }
                // Under our token and not there: never started, or gone with an older session.
                if (group || task.halting) {
                    lifecycle_.lost(ref, now, "not found after a change of leader");
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
void WorkerManager::blame(Ms now, TaskRef ref, Id machine) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[ref.job];
    Machine& m = cluster.machines[machine];
    j.failed_on.insert(machine);
    ++j.failures;
    bool good = proven_good(now, j);
    if (j.refuted.size() >= 2 && !good) {
        for (Id other : j.failed_on) {
            cluster.machines[other].error_jobs.erase(ref.job);
        }
        double wait = std::min(60.0, 2.0 * static_cast<double>(1U << std::min(j.failures, 5U)));
        j.not_before = now + to_ms(wait);
    } else {
        m.error_jobs.insert(ref.job);
        m.last_error = now;
        m.avoid_until = std::max(m.avoid_until, now + 3000);
        // (The other replicas of a service show that it is the machine: elsewhere at once.)
        bool at_once = good && j.spec.service();
        Ms wait = at_once ? 0 : 500 * static_cast<Ms>(std::min(j.failures, 4U));
        j.not_before = std::max(j.not_before, now + wait);
    }
    if (m.errors() >= 2 && !m.sick) {
        m.sick = true;
        spdlog::info("machine {} fails tasks of {} jobs: given up", m.name, m.errors());
        std::vector<TaskRef> here(m.tasks.begin(), m.tasks.end());
        for (TaskRef other : here) {
            if (other != ref) {
                lifecycle_.halt(other, term_.cluster.jobs[other.job].spec.save_s + 1, now, true);
            }
        }
    }
}

bool WorkerManager::proven_good(Ms now, const Job& job) {
    return job.done > 0 || (job.spec.service() && job.ran_well_until + kServiceProof >= now);
}

// A service has no end of its own: a replica that ends runs again. One that ends again and again
// soon after it began waits longer each time.
void WorkerManager::replica_ended(Ms now, TaskRef ref, const ReportedTask& r) {
    ClusterState& cluster = term_.cluster;
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
    lifecycle_.lost(ref, now, r.cause.c_str());
}

void WorkerManager::done(TaskRef ref, const ReportedTask& r) {
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[ref.job];
    Id machine = cluster.task(ref).machine;
    Machine& m = cluster.machines[machine];
    for (Id failed : m.error_jobs) {
        if (failed != ref.job) {
            cluster.jobs[failed].refuted.insert(machine);
        }
    }
    m.error_jobs.clear();
    m.error_done = 0;
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
    ClusterState& cluster = term_.cluster;
    Job& j = cluster.jobs[ref.job];
    Task& t = cluster.task(ref);
    Id machine = t.machine;
    Machine& m = cluster.machines[machine];
    term_.place_now = true;
    if (r.cause == "done") {
        if (j.spec.service()) {
            replica_ended(now, ref, r);
        } else {
            done(ref, r);
        }
        return;
    }
    spdlog::debug("{}/{} attempt {} ended on {}: {}{}", j.spec.id, ref.task, r.attempt, m.name,
                  r.cause, r.kept ? ", saved" : "");
    if (r.cause == "alone" && !j.cancelled && lifecycle_.unbegun(ref.job)) {
        // Its mates still fetch their image (a large one takes longer than a gang waits): it waits
        // for them once more, with its own in place.
        t.rerun = true;
        t.phase = Phase::placed;
        t.state = TaskState::unknown;
        t.inherited = false;
        t.since = now;
        return;
    }
    bool excused = t.excused || t.halting || j.cancelled;
    if (r.cause == "error" && !excused) {
        spdlog::info("{}/{} failed on {}", j.spec.id, ref.task, m.name);
        blame(now, ref, machine);
    } else if (r.cause == "no_room") {
        // Our cluster state and the machine differ; let it report what it has before it gets more.
        m.avoid_until = std::max(m.avoid_until, now + 2000);
    } else if (r.cause == "busy") {
        j.not_before = std::max(j.not_before, now + 1000);
    } else if (r.cause == "unknown") {
        j.not_before = std::max(j.not_before, now + 3000);
    }
    bool began = r.cause == "mates_gone" || r.cause == "error" || r.cause == "stopped";
    lifecycle_.lost(ref, now, r.cause.c_str(), began);
}

}  // namespace walkford
