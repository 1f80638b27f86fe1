#include "coordination/worker_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader.hpp"

namespace walkford {

namespace {
constexpr Ms kLeaseMargin = 1200;
constexpr Ms kHeldEvery = 20;
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
