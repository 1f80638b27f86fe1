#include "coordination/worker_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader.hpp"

namespace walkford {

namespace {
constexpr Ms kLeaseMargin = 1200;
constexpr Ms kHeldEvery = 20;
constexpr Ms kReplicaRanWell = 10000;
constexpr Ms kFirstReplicaWait = 1000;   // doubled up to five times
constexpr Ms kServiceProof = 30000;      // a replica that ran well so lately speaks for its job
constexpr std::uint32_t kDeafAfter = 2;  // answers not taken in, in a row: it gets nothing more
}  // namespace

bool WorkerManager::heard_lately(const Machine& m, Ms now) const {
    Ms fresh = to_ms(term_.core.platform.report_s * 2.0) + 1500;
    return m.reported && now - m.last_heartbeat <= fresh;
}

bool WorkerManager::usable(const Machine& m, Ms now) const {
    return m.held && !m.returning && !m.gone && !m.sick && !m.lost && heard_lately(m, now) &&
           m.notice_until < 0 && m.avoid_until <= now && m.unheard < kDeafAfter &&
           (m.token_seen || m.rented_now);
}

void WorkerManager::heartbeat(Ms now, const HeartbeatRequest& q) {
    ClusterState& cluster = term_.cluster;
    const WorkerReport& r = q.report;
    HeartbeatAnswer a;
    a.request = q.request;
    if (now >= term_.answer_until) {
        // Too long without proof that nothing was cancelled meanwhile: the tasks' lease runs out.
        a.code = 503;
        term_.core.out.emplace_back(std::move(a));
        return;
    }
    Id id = cluster.find_machine(r.machine);
    if (id == kNone) {
        id = cluster.add_machine(r.machine, cluster.names.kinds.intern(r.kind),
                                 cluster.names.zones.intern(r.zone), r.spot, now);
        spdlog::debug("machine {} reports and is not in the registry", r.machine);
    }
    Machine& m = cluster.machines[id];
    if (!r.address.empty()) {
        m.address = r.address;
    }
    if (!take(now, id, r, true)) {
        // Also a copy that came late is answered: whoever asked may get it, and its lease counts
        // from it.
        a.code = 200;
        a.token = term_.token;
        m.last_ok = now;
        term_.core.out.emplace_back(std::move(a));
        return;
    }
    m.last_heartbeat = now;
    if (auto it = held_.find(id); it != held_.end()) {
        // Its worker has given up on the one before, or that was a copy: no orders for it.
        a.request = it->second.request;
        a.code = 200;
        a.token = term_.token;
        m.last_ok = now;
        held_.erase(it);
        term_.core.out.emplace_back(std::move(a));
    }
    bool idle = false;
    if (Ms span = hold_for(m, r, idle); span > 0) {
        held_[id] = {q.request, r, now + span, idle, rounds_};
        return;
    }
    answer(now, id, q.request, r);
}

WorkerManager::~WorkerManager() {
    for (const auto& [id, held] : held_) {
        HeartbeatAnswer a;
        a.request = held.request;
        a.code = 503;
        term_.core.out.emplace_back(std::move(a));
    }
}

void WorkerManager::answer(Ms now, Id id, RequestId request, const WorkerReport& r) {
    HeartbeatAnswer a;
    a.request = request;
    Machine& m = term_.cluster.machines[id];
    if (now >= term_.answer_until || m.gone) {
        a.code = 503;
    } else {
        a.code = 200;
        a.token = term_.token;
        a.orders = orders(now, id, r);
        if (m.answered_tick == 0) {
            m.told_token_tick = r.tick;
        }
        m.answered_session = r.session;
        m.answered_tick = r.tick;
        m.last_ok = now;
    }
    term_.core.out.emplace_back(std::move(a));
}

bool WorkerManager::unsettled(Id id, const WorkerReport& r) const {
    ClusterState& cluster = term_.cluster;
    return std::any_of(r.tasks.begin(), r.tasks.end(), [&](const ReportedTask& t) {
        if (t.state != TaskState::exited) {
            return false;
        }
        Id job = cluster.find_job(t.job);
        if (job == kNone || t.task >= cluster.jobs[job].spec.tasks) {
            return false;
        }
        const Task& task = cluster.task({job, t.task});
        return task.c_machine == id && task.c_attempt == t.attempt && !task.c_done &&
               !(task.machine == id && task.attempt == t.attempt);
    });
}

Ms WorkerManager::hold_for(const Machine& m, const WorkerReport& r, bool& idle) const {
    const Policy& policy = term_.core.policy;
    bool may_run = term_.act && m.held && m.confirmed && !m.returning && !m.sick &&
                   m.notice_until < 0 && m.unheard == 0 && r.token == term_.token;
    // Each takes a socket, of which most are for reports that are not held.
    if (!may_run || held_.size() >= term_.core.platform.fd_limit / 4) {
        return 0;
    }
    // One with nothing to do waits for work; one with tasks would have to keep their news to
    // itself meanwhile.
    idle = r.tasks.empty() && m.tasks.empty();
    if (idle) {
        return to_ms(policy.idle_hold_s);
    }
    // Room has just become free, or something was placed there just now.
    bool news = unsettled(term_.cluster.find_machine(m.name), r) ||
                std::any_of(m.tasks.begin(), m.tasks.end(), [&](TaskRef ref) {
                    const Task& t = term_.cluster.task(ref);
                    return t.phase == Phase::placed && !t.inherited && !t.durable_here();
                });
    return news ? to_ms(policy.settle_s) : 0;
}

bool WorkerManager::ready(Id id, const HeldReport& held, std::uint64_t rounds) const {
    const Machine& m = term_.cluster.machines[id];
    bool placed = false;
    for (TaskRef ref : m.tasks) {
        const Task& t = term_.cluster.task(ref);
        if (t.phase != Phase::placed || t.inherited) {
            continue;
        }
        if (!t.durable_here()) {
            return false;
        }
        placed = true;
    }
    if (m.gone || m.returning) {
        return true;
    }
    if (held.idle) {
        return placed;
    }
    return rounds > held.rounds && !unsettled(id, held.report);
}

void WorkerManager::answer_held(Ms now, std::uint64_t rounds) {
    rounds_ = rounds;
    if (now < held_at_) {
        return;
    }
    held_at_ = now + kHeldEvery;
    for (auto it = held_.begin(); it != held_.end();) {
        if (now >= it->second.until || now >= term_.answer_until || !term_.act ||
            ready(it->first, it->second, rounds)) {
            answer(now, it->first, it->second.request, it->second.report);
            it = held_.erase(it);
        } else {
            ++it;
        }
    }
}

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

std::vector<Order> WorkerManager::orders(Ms now, Id id, const WorkerReport& r) {
    ClusterState& cluster = term_.cluster;
    Machine& m = cluster.machines[id];
    std::vector<Order> list;
    for (const ReportedTask& t : r.tasks) {
        Order o{OrderVerb::clear, t.job, t.task, t.attempt, 0};
        Id job = cluster.find_job(t.job);
        bool known = job != kNone && t.task < cluster.jobs[job].spec.tasks;
        if (known) {
            Task& task = cluster.task({job, t.task});
            if (task.machine == id && task.attempt == t.attempt) {
                continue;  // handled below
            }
            // Its end must be durable before the worker forgets it.
            if (task.c_machine == id && task.c_attempt == t.attempt && !task.c_done) {
                continue;
            }
        }
        if (t.state != TaskState::exited) {
            // Not ours to run (any more): an ended or cancelled job, or an older attempt.
            o.verb = OrderVerb::halt;
        }
        list.push_back(std::move(o));
    }
    for (TaskRef ref : m.tasks) {
        Job& j = cluster.jobs[ref.job];
        Task& t = cluster.task(ref);
        if (t.halting && t.phase != Phase::placed) {
            list.push_back({OrderVerb::halt, j.spec.id, ref.task, t.attempt, t.halt_grace});
            t.halt_told = now;
        } else if (t.phase == Phase::placed && !t.halting && !t.inherited && term_.act &&
                   !j.cancelled && t.durable_here() && m.confirmed && !m.returning &&
                   r.token == term_.token && m.unheard < kDeafAfter) {
            // Only to one that shows our token: a late copy of a report from before our election
            // gets no order whose delivery would then be counted on. The worker takes a task and
            // attempt once, unless it was cleared.
            if (t.rerun) {
                list.push_back({OrderVerb::clear, j.spec.id, ref.task, t.attempt, 0});
            }
            t.rerun = false;
            list.push_back({OrderVerb::run, j.spec.id, ref.task, t.attempt, 0});
            t.phase = Phase::sent;
            t.sent_tick = r.tick;
            t.sent_session = r.session;
            t.since = now;
        }
        if (list.size() >= 200) {
            break;  // an answer holds 64 KiB; the rest follows with the next
        }
    }
    return list;
}

void WorkerManager::send_direct(Ms now, Id id, std::vector<Order> list) {
    Machine& m = term_.cluster.machines[id];
    if (m.address.empty() || m.probing) {
        return;
    }
    m.probing = true;
    m.probe_at = now + 2500;
    WorkerCall c;
    c.address = m.address;
    c.token = term_.token;
    c.session = m.session;
    c.orders = std::move(list);
    c.call = term_.core.workers.open(
        [this, alive = std::weak_ptr<bool>(term_.alive), id](Ms at, const WorkerReply& r) {
            if (alive.expired()) {
                return;
            }
            Machine& machine = term_.cluster.machines[id];
            machine.probing = false;
            if (machine.gone || !r.report || r.report->machine != machine.name) {
                return;
            }
            if (r.report->token > term_.token) {
                term_.depose(at, "a worker has seen a higher token");
                return;
            }
            if (r.status == 409 && r.report->session != machine.session) {
                machine.probe_at = at;  // once more, with the session it told
            }
            take(at, id, *r.report, false);
        });
    term_.core.out.emplace_back(std::move(c));
}

// A record that has come and gone counts as well: its controller may have answered up to its end.
void WorkerManager::watch_relays(Ms now) {
    const Core& core = term_.core;
    relays_.resize(core.names.zones.size(), RelayWatch{0, term_.elected_at});
    for (Id zone = 0; zone < relays_.size(); ++zone) {
        std::uint64_t changes = core.view.relay_changes(core.names.zones.name(zone));
        if (changes != relays_[zone].changes) {
            relays_[zone] = {changes, now};
        }
    }
}

// A worker that nobody has answered for longer than its lease, and that obeys no older leader, has
// killed all its tasks. (One whose report is open here is alive.) That nobody has, a reading of the
// state shows that was begun once the lease was over: a controller that answers for us says so
// before its first answer, and by then there was nothing left to renew.
bool WorkerManager::lease_over(Ms now, Id id) const {
    const Machine& m = term_.cluster.machines[id];
    if (held_.count(id) || m.zone >= relays_.size() || term_.relayed(m)) {
        return false;
    }
    Ms lease = with_drift(to_ms(term_.core.platform.lease_s)) + kLeaseMargin;
    Ms over = std::max({m.last_ok, m.token_seen_at, relays_[m.zone].changed_at}) + lease;
    return now > over && term_.proven_until >= over;
}

void WorkerManager::tick(Ms now) {
    if (now < check_at_) {
        return;
    }
    check_at_ = now + 200;
    ClusterState& cluster = term_.cluster;
    const Platform& p = term_.core.platform;
    const Policy& policy = term_.core.policy;
    Ms report = to_ms(p.report_s);
    watch_relays(now);
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        Machine& m = cluster.machines[id];
        if (m.gone) {
            continue;
        }
        if (m.token_seen && !m.lost && lease_over(now, id)) {
            m.lost = true;
            m.min_session = m.session + 1;
            m.notice_until = -1;
            spdlog::info("machine {} not heard for {:.1f} s: lease over, {} tasks lost", m.name,
                         static_cast<double>(now - m.last_heartbeat) / 1000.0, m.tasks.size());
            lifecycle_.machine_emptied(id, now, "machine silent");
        }
        // Not heard under our token: an older leader may still answer it, so it is shown ours.
        // (A report under an older token may be a late copy: it does not stand for the machine.)
        bool unseen =
            !m.token_seen &&
            now > std::max(term_.elected_at, m.last_heartbeat) + to_ms(policy.takeover_probe_s) &&
            (!m.tasks.empty() || m.cloud == CloudStatus::running);
        if (unseen && !m.probing && now >= m.probe_at) {
            send_direct(now, id, {});
        }

        if (m.notice_until >= 0) {
            // Taken soon: save as late as is safe, with two reports' time to be told.
            for (TaskRef ref : std::vector<TaskRef>(m.tasks.begin(), m.tasks.end())) {
                const JobSpec& spec = cluster.jobs[ref.job].spec;
                Task& t = cluster.task(ref);
                if (t.halting) {
                    continue;
                }
                Ms needed = to_ms(spec.save_s) + report + 1500;
                if (now + needed >= m.notice_until) {
                    lifecycle_.halt(ref, spec.save_s + 0.5, now, true);
                }
            }
        }

        std::vector<Order> urgent;
        for (TaskRef ref : m.tasks) {
            Task& t = cluster.task(ref);
            if (!t.halting || t.phase == Phase::placed ||
                (t.halt_told >= 0 && now < t.halt_told + 2500)) {
                continue;
            }
            urgent.push_back({OrderVerb::halt, cluster.jobs[ref.job].spec.id, ref.task, t.attempt,
                              t.halt_grace});
        }
        if (!urgent.empty() && m.reported && !m.probing && now >= m.probe_at - 2400) {
            for (const Order& o : urgent) {
                cluster.task({cluster.find_job(o.job), o.task}).halt_told = now;
            }
            send_direct(now, id, std::move(urgent));
        }
    }
}

}  // namespace walkford
