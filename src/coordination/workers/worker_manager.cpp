#include "coordination/workers/worker_manager.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kLeaseMargin = 1200;
constexpr Ms kDeferredCheckInterval = 20;
}  // namespace

bool WorkerManager::reported_recently(const Machine& m, Ms now) const {
    Ms fresh = to_ms(context_.controller.platform_settings.report_s * 2.0) + 1500;
    return m.worker.reported && now - m.worker.last_heartbeat <= fresh;
}

bool WorkerManager::schedulable(const Machine& m, Ms now) const {
    return m.registered && !m.releasing && !m.terminated && !m.health.quarantined && !m.worker.lease_expired &&
           reported_recently(m, now) && m.worker.reclaim_at < 0 && m.health.backoff_until <= now &&
           m.acknowledgement.missed_answers < kMaxUnacknowledgedAnswers &&
           (m.worker.fencing_token_seen || m.requested_by_this_leader);
}

void WorkerManager::heartbeat(Ms now, const HeartbeatRequest& q) {
    ClusterState& cluster = context_.cluster;
    const WorkerStatus& r = q.worker_status;
    HeartbeatResponse a;
    a.request = q.request;
    if (now >= context_.heartbeat_answer_deadline) {
        // Too long without proof that nothing was cancelled meanwhile: the tasks' lease runs out.
        a.code = 503;
        context_.controller.out.emplace_back(std::move(a));
        return;
    }
    Id id = cluster.find_machine(r.machine);
    if (id == kNone) {
        id = cluster.add_machine(r.machine, cluster.names.machine_types.intern(r.machine_type),
                                 cluster.names.zones.intern(r.zone), r.spot, now);
        spdlog::debug("machine {} reports and is not in the registry", r.machine);
    }
    Machine& m = cluster.machines[id];
    if (!r.address.empty()) {
        m.address = r.address;
    }
    if (!apply_status(now, id, r, true)) {
        // Also a copy that came late is answered: whoever asked may get it, and its lease counts
        // from it.
        a.code = 200;
        a.fencing_token = context_.fencing_token;
        m.worker.lease_renewed_at = now;
        context_.controller.out.emplace_back(std::move(a));
        return;
    }
    m.worker.last_heartbeat = now;
    if (auto it = deferred_.find(id); it != deferred_.end()) {
        // Its worker has given up on the one before, or that was a copy: no orders for it.
        a.request = it->second.request;
        a.code = 200;
        a.fencing_token = context_.fencing_token;
        m.worker.lease_renewed_at = now;
        deferred_.erase(it);
        context_.controller.out.emplace_back(std::move(a));
    }
    bool idle = false;
    if (Ms span = response_hold(m, r, idle); span > 0) {
        deferred_[id] = {q.request, r, now + span, idle, rounds_};
        return;
    }
    answer(now, id, q.request, r);
}

WorkerManager::~WorkerManager() {
    for (const auto& [id, deferred] : deferred_) {
        HeartbeatResponse a;
        a.request = deferred.request;
        a.code = 503;
        context_.controller.out.emplace_back(std::move(a));
    }
}

void WorkerManager::answer(Ms now, Id id, RequestId request, const WorkerStatus& r) {
    HeartbeatResponse a;
    a.request = request;
    Machine& m = context_.cluster.machines[id];
    if (now >= context_.heartbeat_answer_deadline || m.terminated) {
        a.code = 503;
    } else {
        a.code = 200;
        a.fencing_token = context_.fencing_token;
        a.commands = commands(now, id, r);
        if (m.acknowledgement.answered_sequence == 0) {
            m.acknowledgement.token_announced_sequence = r.sequence;
        }
        m.acknowledgement.answered_incarnation = r.incarnation;
        m.acknowledgement.answered_sequence = r.sequence;
        m.worker.lease_renewed_at = now;
    }
    context_.controller.out.emplace_back(std::move(a));
}

bool WorkerManager::has_undurable_exit(Id id, const WorkerStatus& r) const {
    ClusterState& cluster = context_.cluster;
    return std::any_of(r.tasks.begin(), r.tasks.end(), [&](const ReportedTask& t) {
        if (t.state != TaskState::exited) {
            return false;
        }
        Id job = cluster.find_job(t.job);
        if (job == kNone || t.task >= cluster.jobs[job].spec.tasks) {
            return false;
        }
        const Task& task = cluster.task({job, t.task});
        return task.durable_machine == id && task.durable_attempt == t.attempt &&
               !task.durable_done && !(task.machine == id && task.attempt == t.attempt);
    });
}

Ms WorkerManager::response_hold(const Machine& m, const WorkerStatus& r, bool& idle) const {
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    bool may_run = context_.holds_lease && m.registered && m.registration_durable && !m.releasing &&
                   !m.health.quarantined && m.worker.reclaim_at < 0 && m.acknowledgement.missed_answers == 0 &&
                   r.fencing_token == context_.fencing_token;
    // Each takes a socket, of which most are for reports that are not held.
    if (!may_run || deferred_.size() >= context_.controller.platform_settings.fd_limit / 4) {
        return 0;
    }
    // One with nothing to do waits for work; one with tasks would have to keep their news to
    // itself meanwhile.
    idle = r.tasks.empty() && m.tasks.empty();
    if (idle) {
        return to_ms(operator_settings.idle_response_hold_s);
    }
    // Room has just become free, or something was placed there just now.
    bool news = has_undurable_exit(context_.cluster.find_machine(m.name), r) ||
                std::any_of(m.tasks.begin(), m.tasks.end(), [&](TaskRef ref) {
                    const Task& t = context_.cluster.task(ref);
                    return t.phase == TaskPhase::assigned && !t.inherited && !t.durable_here();
                });
    return news ? to_ms(operator_settings.response_hold_s) : 0;
}

bool WorkerManager::ready(Id id, const DeferredHeartbeat& deferred, std::uint64_t rounds) const {
    const Machine& m = context_.cluster.machines[id];
    bool placed = false;
    for (TaskRef ref : m.tasks) {
        const Task& t = context_.cluster.task(ref);
        if (t.phase != TaskPhase::assigned || t.inherited) {
            continue;
        }
        if (!t.durable_here()) {
            return false;
        }
        placed = true;
    }
    if (m.terminated || m.releasing) {
        return true;
    }
    if (deferred.idle) {
        return placed;
    }
    return rounds > deferred.rounds && !has_undurable_exit(id, deferred.worker_status);
}

void WorkerManager::respond_deferred(Ms now, std::uint64_t rounds) {
    rounds_ = rounds;
    if (now < deferred_check_at_) {
        return;
    }
    deferred_check_at_ = now + kDeferredCheckInterval;
    for (auto it = deferred_.begin(); it != deferred_.end();) {
        if (now >= it->second.until || now >= context_.heartbeat_answer_deadline ||
            !context_.holds_lease || ready(it->first, it->second, rounds)) {
            answer(now, it->first, it->second.request, it->second.worker_status);
            it = deferred_.erase(it);
        } else {
            ++it;
        }
    }
}

std::vector<WorkerCommand> WorkerManager::commands(Ms now, Id id, const WorkerStatus& r) {
    ClusterState& cluster = context_.cluster;
    Machine& m = cluster.machines[id];
    std::vector<WorkerCommand> list;
    for (const ReportedTask& t : r.tasks) {
        WorkerCommand o{WorkerCommandType::clear, t.job, t.task, t.attempt, 0};
        Id job = cluster.find_job(t.job);
        bool known = job != kNone && t.task < cluster.jobs[job].spec.tasks;
        if (known) {
            Task& task = cluster.task({job, t.task});
            if (task.machine == id && task.attempt == t.attempt) {
                continue;  // handled below
            }
            // Its end must be durable before the worker forgets it.
            if (task.durable_machine == id && task.durable_attempt == t.attempt &&
                !task.durable_done) {
                continue;
            }
        }
        if (t.state != TaskState::exited) {
            // Not ours to run (any more): an ended or cancelled job, or an older attempt.
            o.type = WorkerCommandType::stop;
        }
        list.push_back(std::move(o));
    }
    for (TaskRef ref : m.tasks) {
        Job& j = cluster.jobs[ref.job];
        Task& t = cluster.task(ref);
        if (t.stopping && t.phase != TaskPhase::assigned) {
            list.push_back({WorkerCommandType::stop, j.spec.id, ref.task, t.attempt, t.stop_grace});
            t.stop_sent_at = now;
        } else if (t.phase == TaskPhase::assigned && !t.stopping && !t.inherited &&
                   context_.holds_lease && !j.cancelled && t.durable_here() &&
                   m.registration_durable && !m.releasing &&
                   r.fencing_token == context_.fencing_token &&
                   m.acknowledgement.missed_answers < kMaxUnacknowledgedAnswers) {
            // Only to one that shows our token: a late copy of a report from before our election
            // gets no order whose delivery would then be counted on. The worker takes a task and
            // attempt once, unless it was cleared.
            if (t.rerun) {
                list.push_back({WorkerCommandType::clear, j.spec.id, ref.task, t.attempt, 0});
            }
            t.rerun = false;
            list.push_back({WorkerCommandType::run, j.spec.id, ref.task, t.attempt, 0});
            t.phase = TaskPhase::dispatched;
            t.dispatch_sequence = r.sequence;
            t.dispatch_incarnation = r.incarnation;
            t.since = now;
        }
        if (list.size() >= 200) {
            break;  // an answer holds 64 KiB; the rest follows with the next
        }
    }
    return list;
}

void WorkerManager::send_direct(Ms now, Id id, std::vector<WorkerCommand> list) {
    Machine& m = context_.cluster.machines[id];
    if (m.address.empty() || m.worker.probe_open) {
        return;
    }
    m.worker.probe_open = true;
    m.worker.probe_at = now + 2500;
    WorkerRequest c;
    c.address = m.address;
    c.fencing_token = context_.fencing_token;
    c.incarnation = m.worker.incarnation;
    c.commands = std::move(list);
    c.call = context_.controller.workers.open([this, alive = std::weak_ptr<bool>(context_.alive),
                                               id](Ms at, const WorkerResponse& r) {
        if (alive.expired()) {
            return;
        }
        Machine& machine = context_.cluster.machines[id];
        machine.worker.probe_open = false;
        if (machine.terminated || !r.worker_status || r.worker_status->machine != machine.name) {
            return;
        }
        if (r.worker_status->fencing_token > context_.fencing_token) {
            context_.depose(at, "a worker has seen a higher token");
            return;
        }
        if (r.status == WorkerCallStatus::conflict &&
            r.worker_status->incarnation != machine.worker.incarnation) {
            machine.worker.probe_at = at;  // once more, with the session it told
        }
        apply_status(at, id, *r.worker_status, false);
    });
    context_.controller.out.emplace_back(std::move(c));
}

// A record that has come and gone counts as well: its controller may have answered up to its end.
void WorkerManager::watch_relays(Ms now) {
    const ControllerContext& controller = context_.controller;
    relays_.resize(controller.names.zones.size(), RelayWatch{0, context_.elected_at});
    for (Id zone = 0; zone < relays_.size(); ++zone) {
        std::uint64_t changes = controller.replica.relay_changes(controller.names.zones.name(zone));
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
    const Machine& m = context_.cluster.machines[id];
    if (deferred_.count(id) || m.zone >= relays_.size() || context_.relayed(m)) {
        return false;
    }
    Ms lease = with_drift(to_ms(context_.controller.platform_settings.lease_s)) + kLeaseMargin;
    Ms over =
        std::max({m.worker.lease_renewed_at, m.worker.fencing_token_seen_at, relays_[m.zone].changed_at}) + lease;
    return now > over && context_.view_confirmed_until >= over;
}

void WorkerManager::tick(Ms now) {
    if (now < check_at_) {
        return;
    }
    check_at_ = now + 200;
    ClusterState& cluster = context_.cluster;
    const PlatformSettings& p = context_.controller.platform_settings;
    const OperatorSettings& operator_settings = context_.controller.operator_settings;
    Ms report_interval = to_ms(p.report_s);
    watch_relays(now);
    for (Id id = 0; id < cluster.machines.size(); ++id) {
        Machine& m = cluster.machines[id];
        if (m.terminated) {
            continue;
        }
        if (m.worker.fencing_token_seen && !m.worker.lease_expired && lease_over(now, id)) {
            m.worker.lease_expired = true;
            m.worker.min_incarnation = m.worker.incarnation + 1;
            m.worker.reclaim_at = -1;
            spdlog::info("machine {} not heard for {:.1f} s: lease over, {} tasks lost", m.name,
                         static_cast<double>(now - m.worker.last_heartbeat) / 1000.0, m.tasks.size());
            lifecycle_.machine_emptied(id, now, "machine silent");
        }
        // Not heard under our token: an older leader may still answer it, so it is shown ours.
        // (A report under an older token may be a late copy: it does not stand for the machine.)
        bool unseen = !m.worker.fencing_token_seen &&
                      now > std::max(context_.elected_at, m.worker.last_heartbeat) +
                                to_ms(operator_settings.takeover_probe_s) &&
                      (!m.tasks.empty() || m.listing.state == CloudMachineState::running);
        if (unseen && !m.worker.probe_open && now >= m.worker.probe_at) {
            send_direct(now, id, {});
        }

        if (m.worker.reclaim_at >= 0) {
            // Taken soon: save as late as is safe, with two reports' time to be told.
            for (TaskRef ref : std::vector<TaskRef>(m.tasks.begin(), m.tasks.end())) {
                const JobSpec& spec = cluster.jobs[ref.job].spec;
                Task& t = cluster.task(ref);
                if (t.stopping) {
                    continue;
                }
                Ms needed = to_ms(spec.checkpoint_duration_s) + report_interval + 1500;
                if (now + needed >= m.worker.reclaim_at) {
                    lifecycle_.stop(ref, spec.checkpoint_duration_s + 0.5, now, true);
                }
            }
        }

        std::vector<WorkerCommand> urgent;
        for (TaskRef ref : m.tasks) {
            Task& t = cluster.task(ref);
            if (!t.stopping || t.phase == TaskPhase::assigned ||
                (t.stop_sent_at >= 0 && now < t.stop_sent_at + 2500)) {
                continue;
            }
            urgent.push_back({WorkerCommandType::stop, cluster.jobs[ref.job].spec.id, ref.task,
                              t.attempt, t.stop_grace});
        }
        if (!urgent.empty() && m.worker.reported && !m.worker.probe_open && now >= m.worker.probe_at - 2400) {
            for (const WorkerCommand& o : urgent) {
                cluster.task({cluster.find_job(o.job), o.task}).stop_sent_at = now;
            }
            send_direct(now, id, std::move(urgent));
        }
    }
}

}  // namespace walkford
