// Machines of the simulated world: workers that report, run tasks and obey orders.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::add_machine(const std::string& name, Id machine_type, const std::string& zone,
                        bool spot, Ms up_at) {
    auto w = std::make_unique<Worker>();
    w->name = name;
    w->machine_type = machine_type;
    w->zone = zone;
    w->spot = spot;
    w->lease_from = up_at;
    w->controller = static_cast<std::size_t>(pick(0, static_cast<int>(o_.controllers) - 1));
    workers_[name] = std::move(w);
    if (Ms dark_until = zone_dark_until(zone); dark_until >= 0) {
        cut(name, "*", dark_until - now_, false);
    }
    heartbeat(name);
}

void World::kill_machine(const std::string& name) {
    for (auto& m : cloud_->machines) {
        if (m.name == name && m.terminated < 0) {
            m.terminated = now_;
        }
    }
    auto it = workers_.find(name);
    if (it == workers_.end()) {
        return;
    }
    auto tasks = std::move(it->second->tasks);
    workers_.erase(it);
    for (auto& [key, r] : tasks) {
        if (r.on) {
            gang_lost(r.job, r.attempt);
        }
    }
}

WorkerStatus World::worker_status(Worker& w) {
    WorkerStatus r;
    r.machine = w.name;
    r.address = w.name;
    r.machine_type = machine_type_names_[w.machine_type];
    r.zone = w.zone;
    r.spot = w.spot;
    r.incarnation = w.incarnation;
    r.sequence = ++w.sequence;
    r.fencing_token = w.fencing_token;
    if (w.reclaim_at >= 0) {
        r.notice_s = static_cast<double>(std::max<Ms>(0, w.reclaim_at - now_)) / 1000.0;
    }
    for (auto& [key, t] : w.tasks) {
        r.tasks.push_back({t.job, t.task, t.attempt, t.state, t.cause, t.progress_saved});
    }
    return r;
}

void World::changed(Worker& w) {
    Ms soon = std::max(now_, w.last_sent + 500);
    w.next_heartbeat = std::min(w.next_heartbeat, soon);
    at(soon, [this, name = w.name] { heartbeat(name); });
}

void World::deliver_heartbeat(std::size_t to, const WorkerStatus& status,
                              std::function<void(HeartbeatResponse)> respond) {
    Host& host = *hosts_[to];
    if (!host.controller) {
        HeartbeatResponse refused;
        refused.code = 0;
        respond(refused);
        return;
    }
    RequestId id = next_request_++;
    host.heartbeats[id] = std::move(respond);
    feed(to, HeartbeatRequest{id, status});
}

// Copies arrive from seconds to well over a lease late, at any controller: perhaps at one that
// never saw the heartbeat itself.
void World::copy_heartbeat_sometimes(std::size_t controller, const WorkerStatus& status) {
    if (o_.faults && now_ < o_.duration * 8 / 10 &&
        chance(now_ < active_.late_reports ? 0.4 : 0.04)) {
        std::size_t copy_to =
            chance(0.5) ? controller
                        : static_cast<std::size_t>(pick(0, static_cast<int>(o_.controllers) - 1));
        Ms late = pick(1000, 45000);
        ++copies;
        well_since_ = std::max(well_since_, now_ + late);
        at(now_ + late, [this, status, copy_to] {
            deliver_heartbeat(copy_to, status, [](const HeartbeatResponse&) {});
        });
    }
    if (now_ < active_.reports_for_next_leader && chance(0.3)) {
        replayed_reports_.push_back(status);
    }
}

void World::heartbeat(const std::string& name) {
    auto it = workers_.find(name);
    if (it == workers_.end()) {
        return;
    }
    Worker& w = *it->second;
    if (w.in_flight || now_ < w.next_heartbeat) {
        return;
    }
    w.in_flight = true;
    w.last_sent = now_;
    w.next_heartbeat = now_ + static_cast<Ms>(kReport * static_cast<double>(pick(750, 1250)));
    WorkerStatus status = worker_status(w);
    std::size_t controller = w.controller;
    HeartbeatResponse none;
    none.code = 0;
    copy_heartbeat_sometimes(controller, status);
    call<HeartbeatResponse>(
        name, "n" + std::to_string(controller), 4000, none,
        [this, status, controller,
         mute = now_ < w.mute_until](std::function<void(HeartbeatResponse)> respond) {
            muted += mute;
            if (!mute) {
                deliver_heartbeat(controller, status, std::move(respond));
            }
        },
        [this, name, sent = now_, incarnation = status.incarnation,
         controller](const HeartbeatResponse& response) {
            take_response(name, sent, incarnation, controller, response);
        });
}

void World::take_response(const std::string& name, Ms sent, std::uint64_t incarnation,
                          std::size_t controller, const HeartbeatResponse& response) {
    auto found = workers_.find(name);
    if (found == workers_.end()) {
        return;
    }
    Worker& worker = *found->second;
    worker.in_flight = false;
    if (response.code == 200) {
        bool old = response.fencing_token < worker.fencing_token;
        if (incarnation == worker.incarnation && !old) {
            if (response.fencing_token > worker.fencing_token) {
                worker.fencing_token = response.fencing_token;
                worker.next_heartbeat = now_ + 500;
            }
            worker.lease_from = std::max(worker.lease_from, sent);
            for (const WorkerCommand& command : response.commands) {
                execute(worker, command);
            }
        }
    } else if (response.code == 421 && !response.leader.empty() &&
               response.leader != "n" + std::to_string(controller)) {
        worker.controller = static_cast<std::size_t>(response.leader[1] - '0');
        worker.next_heartbeat = now_ + pick(0, 500);
    } else {
        worker.controller = (worker.controller + 1) % o_.controllers;
        worker.next_heartbeat = now_ + 1000;
    }
    at(std::max(now_, worker.next_heartbeat), [this, name] { heartbeat(name); });
}

// A leader begins: the copies that were kept reach every controller, older than all it will hear.
void World::deliver_replayed_reports() {
    for (const WorkerStatus& status : replayed_reports_) {
        for (std::size_t i = 0; i < o_.controllers; ++i) {
            at(now_ + pick(0, 400), [this, i, status] {
                if (!hosts_[i]->controller) {
                    return;
                }
                ++reports_for_next;
                feed(i, HeartbeatRequest{next_request_++, status});
            });
        }
    }
    replayed_reports_.clear();
}

bool World::runs_zone_bound_task(const std::string& machine) const {
    const Worker& worker = *workers_.at(machine);
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [this](const auto& entry) {
        const Job& job = *jobs_.at(entry.second.job);
        return entry.second.on && (job.spec.one_zone || !job.zone.empty());
    });
}

void World::execute(Worker& w, const WorkerCommand& o) {
    switch (o.type) {
        case WorkerCommandType::clear: {
            auto it = w.tasks.find(std::tuple{o.job, o.task, o.attempt});
            if (it != w.tasks.end() && it->second.state == TaskState::exited) {
                w.tasks.erase(it);
            }
            return;
        }
        case WorkerCommandType::run:
            execute_run(w, o);
            return;
        case WorkerCommandType::stop:
            execute_stop(w, o);
            return;
    }
}

void World::execute_run(Worker& w, const WorkerCommand& o) {
    auto key = std::tuple{o.job, o.task, o.attempt};
    auto it = w.tasks.find(key);
    if (it != w.tasks.end()) {
        return;
    }
    Running& r = w.tasks[key];
    r.job = o.job;
    r.task = o.task;
    r.attempt = o.attempt;
    auto refuse = [&](const char* cause) {
        r.state = TaskState::exited;
        r.cause = cause;
        changed(w);
    };
    auto j = jobs_.find(o.job);
    if (j == jobs_.end() || !j->second->submitted || o.task >= j->second->spec.tasks) {
        refuse("unknown");
        return;
    }
    Resources used;
    for (auto& [k, t] : w.tasks) {
        if (t.state == TaskState::exited || k == key) {
            continue;
        }
        used += jobs_.at(t.job)->spec.task_resources;
        if (t.job == o.job && t.task == o.task) {
            refuse("busy");
            return;
        }
    }
    if (!j->second->spec.task_resources.fits_in(machine_types_[w.machine_type].size - used)) {
        refuse("no_room");
        return;
    }
    r.state = TaskState::pulling;
    note(w, r, TaskEvent::What::ordered);
    begin_fetch(w, j->second->image());
    changed(w);
    at(now_ + pick(200, 4000), [this, name = w.name, o, incarnation = w.incarnation] {
        auto found = workers_.find(name);
        if (found == workers_.end() || found->second->incarnation != incarnation) {
            return;
        }
        image_ready(name, o.job, o.task, o.attempt);
    });
}

void World::execute_stop(Worker& w, const WorkerCommand& o) {
    auto key = std::tuple{o.job, o.task, o.attempt};
    auto it = w.tasks.find(key);
    if (it == w.tasks.end() || it->second.state == TaskState::exited) {
        return;
    }
    Running& r = it->second;
    const Job& j = *jobs_.at(r.job);
    bool saves = r.state == TaskState::running && j.spec.checkpoint_interval_s > 0 &&
                 o.grace_s >= j.spec.checkpoint_duration_s && !j.spec.gang();
    if (r.state == TaskState::saving && o.grace_s > 0) {
        return;
    }
    if (!saves) {
        end(w, r, "stopped", false);
        return;
    }
    r.state = TaskState::saving;
    jobs_.at(r.job)->progress[r.task] += now_ - r.began;
    std::uint64_t version = ++r.version;
    changed(w);
    at(now_ + to_ms(j.spec.checkpoint_duration_s),
       [this, name = w.name, key, version, incarnation = w.incarnation] {
           auto found = workers_.find(name);
           if (found == workers_.end() || found->second->incarnation != incarnation) {
               return;
           }
           auto t = found->second->tasks.find(key);
           if (t == found->second->tasks.end() || t->second.version != version) {
               return;
           }
           end(*found->second, t->second, "stopped", true);
       });
}

void World::image_ready(const std::string& machine, const std::string& job, std::uint32_t task,
                        std::uint32_t attempt) {
    Worker& w = *workers_.at(machine);
    auto it = w.tasks.find({job, task, attempt});
    if (it == w.tasks.end() || it->second.state != TaskState::pulling) {
        return;
    }
    Running& r = it->second;
    Job& j = *jobs_.at(job);
    end_fetch(w, j.image());
    check_start(w, r);
    r.on = true;
    ++started;
    if (j.done[task]) {
        end(w, r, "done", false);
        return;
    }
    if (!j.spec.gang()) {
        begin(w, r);
        return;
    }
    r.state = TaskState::waiting;
    changed(w);
    std::vector<std::pair<Worker*, Running*>> gang_members;
    for (auto& [name, other] : workers_) {
        for (auto& [key, t] : other->tasks) {
            if (t.job == job && t.attempt == attempt && t.state == TaskState::waiting && t.on) {
                gang_members.emplace_back(other.get(), &t);
            }
        }
    }
    if (gang_members.size() == j.spec.tasks) {
        for (auto& [worker, t] : gang_members) {
            begin(*worker, *t);
        }
        return;
    }
    std::uint64_t version = r.version;
    at(now_ + to_ms(kGangWait),
       [this, machine, job, task, attempt, version, incarnation = w.incarnation] {
           auto found = workers_.find(machine);
           if (found == workers_.end() || found->second->incarnation != incarnation) {
               return;
           }
           auto t = found->second->tasks.find({job, task, attempt});
           if (t == found->second->tasks.end() || t->second.version != version ||
               t->second.state != TaskState::waiting) {
               return;
           }
           end(*found->second, t->second, "alone", false);
       });
}

void World::begin(Worker& w, Running& r) {
    r.state = TaskState::running;
    r.began = now_;
    note(w, r, TaskEvent::What::began);
    std::uint64_t version = ++r.version;
    Job& j = *jobs_.at(r.job);
    Ms left = std::max<Ms>(300, j.run_ms - (j.spec.gang() ? 0 : j.progress[r.task]));
    changed(w);
    if (j.spec.service()) {
        replicas_again += r.attempt > 1;
        end_replica_sometimes(w, r);
        return;
    }
    auto key = std::tuple{r.job, r.task, r.attempt};
    if (now_ + left < active_.cancellation_at_end && chance(0.3)) {
        ++cancelled_at_end;
        at(now_ + std::max<Ms>(0, left + pick(-300, 700)), [this, id = r.job] { cancel(id); });
    }
    at(now_ + left, [this, name = w.name, key, version, incarnation = w.incarnation] {
        auto found = workers_.find(name);
        if (found == workers_.end() || found->second->incarnation != incarnation) {
            return;
        }
        auto t = found->second->tasks.find(key);
        if (t == found->second->tasks.end() || t->second.version != version) {
            return;
        }
        Job& job = *jobs_.at(std::get<0>(key));
        if (!job.spec.gang()) {
            job.done[std::get<1>(key)] = true;
            end(*found->second, t->second, "done", false);
            return;
        }
        // A gang completes together, or not at all when a mate is already gone.
        std::uint32_t running = 0;
        for (auto& [n, other] : workers_) {
            for (auto& [k, mate] : other->tasks) {
                running += mate.job == std::get<0>(key) && mate.attempt == std::get<2>(key) &&
                           mate.state == TaskState::running;
            }
        }
        if (running < job.spec.tasks) {
            return;
        }
        for (auto& [n, other] : workers_) {
            for (auto& [k, mate] : other->tasks) {
                if (mate.job == std::get<0>(key) && mate.attempt == std::get<2>(key) &&
                    mate.state == TaskState::running) {
                    job.done[mate.task] = true;
                    end(*other, mate, "done", false);
                }
            }
        }
    });
}

// A replica has no end of its own, but some end all the same, with or without an error.
void World::end_replica_sometimes(Worker& w, const Running& r) {
    if (!o_.faults || now_ >= o_.duration * 8 / 10 || !chance(0.2)) {
        return;
    }
    auto key = std::tuple{r.job, r.task, r.attempt};
    const char* cause = chance(0.5) ? "done" : "error";
    Ms when = now_ + pick(500, 30000);
    well_since_ = std::max(well_since_, when);
    at(when, [this, name = w.name, key, cause, version = r.version] {
        auto worker = workers_.find(name);
        if (worker == workers_.end()) {
            return;
        }
        auto task = worker->second->tasks.find(key);
        if (task != worker->second->tasks.end() && task->second.version == version) {
            end(*worker->second, task->second, cause, false);
        }
    });
}

void World::end(Worker& w, Running& r, const std::string& cause, bool progress_saved) {
    bool was_running = r.state == TaskState::running || r.state == TaskState::saving;
    note(w, r, TaskEvent::What::ended);
    if (r.state == TaskState::pulling) {
        w.fetching.erase(jobs_.at(r.job)->image());  // given up
    }
    r.state = TaskState::exited;
    r.cause = cause;
    r.progress_saved = progress_saved;
    r.on = false;
    ++r.version;
    changed(w);
    if (was_running && cause != "done") {
        gang_lost(r.job, r.attempt);
    }
}

void World::gang_lost(const std::string& job, std::uint32_t attempt) {
    auto found = jobs_.find(job);
    if (found == jobs_.end() || !found->second->spec.gang()) {
        return;
    }
    at(now_ + pick(100, to_ms(kGangPeer)), [this, job, attempt] {
        for (auto& [name, w] : workers_) {
            for (auto& [key, t] : w->tasks) {
                if (t.job == job && t.attempt == attempt && t.state == TaskState::running) {
                    end(*w, t, "mates_gone", false);
                }
            }
        }
    });
}

std::vector<std::string> World::on_machines(const std::string& job) const {
    std::vector<std::string> names;
    for (const auto& [name, w] : workers_) {
        if (std::any_of(w->tasks.begin(), w->tasks.end(),
                        [&](const auto& t) { return t.second.job == job && t.second.on; })) {
            names.push_back(name);
        }
    }
    return names;
}

}  // namespace walkford::standin
