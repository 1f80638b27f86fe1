// Machines of the simulation: workers that send heartbeats, execute commands and run tasks.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::add_machine(const std::string& name, Id machine_type, const std::string& zone,
                        bool spot, Ms up_at) {
    auto worker = std::make_unique<Worker>();
    worker->name = name;
    worker->machine_type = machine_type;
    worker->zone = zone;
    worker->spot = spot;
    worker->lease_from = up_at;
    worker->controller =
        static_cast<std::size_t>(random_integer(0, static_cast<int>(options_.controllers) - 1));
    workers_[name] = std::move(worker);
    if (Ms unreachable_until = zone_unreachable_until(zone); unreachable_until >= 0) {
        cut_link(name, "*", unreachable_until - now_, false);
    }
    heartbeat(name);
}

void World::kill_machine(const std::string& name) {
    for (auto& machine : cloud_->machines) {
        if (machine.name == name && machine.terminated < 0) {
            machine.terminated = now_;
        }
    }
    auto it = workers_.find(name);
    if (it == workers_.end()) {
        return;
    }
    auto tasks = std::move(it->second->tasks);
    workers_.erase(it);
    for (auto& [key, running_task] : tasks) {
        if (running_task.active) {
            end_remaining_gang_members(running_task.job, running_task.attempt);
        }
    }
}

WorkerStatus World::worker_status(Worker& worker) {
    WorkerStatus status;
    status.machine = worker.name;
    status.address = worker.name;
    status.machine_type = machine_type_names_[worker.machine_type];
    status.zone = worker.zone;
    status.spot = worker.spot;
    status.incarnation = worker.incarnation;
    status.sequence = ++worker.sequence;
    status.fencing_token = worker.fencing_token;
    if (worker.reclaim_at >= 0) {
        status.notice_s = static_cast<double>(std::max<Ms>(0, worker.reclaim_at - now_)) / 1000.0;
    }
    for (auto& [key, task] : worker.tasks) {
        status.tasks.push_back(
            {task.job, task.task, task.attempt, task.state, task.cause, task.progress_saved});
    }
    return status;
}

void World::hasten_heartbeat(Worker& worker) {
    Ms soon = std::max(now_, worker.last_sent + 500);
    worker.next_heartbeat = std::min(worker.next_heartbeat, soon);
    schedule(soon, [this, name = worker.name] { heartbeat(name); });
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
    host.heartbeats_received_at[id] = now_;
    enqueue_input(to, HeartbeatRequest{id, status});
}

// Sometimes sends a duplicate of a heartbeat. It arrives from one second to well over a lease late,
// at any controller, possibly one that did not receive the original.
void World::maybe_duplicate_heartbeat(std::size_t controller, const WorkerStatus& status) {
    double share = now_ < active_.late_reports ? 0.4 : std::max(0.04, options_.copies.reports);
    if (options_.faults && now_ < options_.duration * 8 / 10 && chance(share)) {
        std::size_t copy_to = chance(0.5) ? controller
                                          : static_cast<std::size_t>(random_integer(
                                                0, static_cast<int>(options_.controllers) - 1));
        Ms late = random_integer(1000, 45000);
        ++duplicate_heartbeats;
        faults_end_at_ = std::max(faults_end_at_, now_ + late);
        schedule(now_ + late, [this, status, copy_to] {
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
    Worker& worker = *it->second;
    if (worker.in_flight || now_ < worker.next_heartbeat) {
        return;
    }
    worker.in_flight = true;
    worker.last_sent = now_;
    worker.next_heartbeat =
        now_ + static_cast<Ms>(kReportSeconds * static_cast<double>(random_integer(750, 1250)));
    WorkerStatus status = worker_status(worker);
    std::size_t controller = worker.controller;
    HeartbeatResponse none;
    none.code = 0;
    maybe_duplicate_heartbeat(controller, status);
    call<HeartbeatResponse>(
        name, "n" + std::to_string(controller), 4000, none,
        [this, status, controller,
         mute = now_ < worker.mute_until](std::function<void(HeartbeatResponse)> respond) {
            undelivered_heartbeats += mute;
            if (!mute) {
                deliver_heartbeat(controller, status, std::move(respond));
            }
        },
        [this, sent_report = SentReport{name, now_, worker.session, worker.process, controller}](
            const HeartbeatResponse& response) {
            handle_heartbeat_response(sent_report, response);
        });
}

void World::handle_heartbeat_response(const SentReport& report, const HeartbeatResponse& response) {
    auto found = workers_.find(report.machine);
    if (found == workers_.end() || found->second->process != report.process) {
        return;
    }
    Worker& worker = *found->second;
    worker.in_flight = false;
    if (response.code == 200) {
        bool old = response.fencing_token < worker.fencing_token;
        if (report.session == worker.session && !old) {
            if (response.fencing_token > worker.fencing_token) {
                worker.fencing_token = response.fencing_token;
                worker.next_heartbeat = now_ + 500;
            }
            worker.lease_from = std::max(worker.lease_from, report.sent);
            for (const WorkerCommand& command : response.commands) {
                execute(worker, command);
            }
            maybe_copy_response(report, response);
        }
    } else if (response.code == 421 && !response.leader.empty() &&
               response.leader != "n" + std::to_string(report.controller)) {
        worker.controller = static_cast<std::size_t>(response.leader[1] - '0');
        worker.next_heartbeat = now_ + random_integer(0, 500);
    } else {
        worker.controller = (worker.controller + 1) % options_.controllers;
        worker.next_heartbeat = now_ + 1000;
    }
    schedule(std::max(now_, worker.next_heartbeat),
             [this, name = report.machine] { heartbeat(name); });
}

// Called when a leader starts: delivers the recorded heartbeats to every controller. They are older
// than any heartbeat that the new leader will receive.
void World::deliver_replayed_reports() {
    for (const WorkerStatus& status : replayed_reports_) {
        for (std::size_t i = 0; i < options_.controllers; ++i) {
            schedule(now_ + random_integer(0, 400), [this, i, status] {
                if (!hosts_[i]->controller) {
                    return;
                }
                ++heartbeats_replayed_to_leader;
                enqueue_input(i, HeartbeatRequest{next_request_++, status});
            });
        }
    }
    replayed_reports_.clear();
}

bool World::runs_zone_bound_task(const std::string& machine) const {
    const Worker& worker = *workers_.at(machine);
    return std::any_of(worker.tasks.begin(), worker.tasks.end(), [this](const auto& entry) {
        const Job& job = *jobs_.at(entry.second.job);
        return entry.second.active && (job.spec.one_zone || !job.zone.empty());
    });
}

void World::execute(Worker& worker, const WorkerCommand& command) {
    switch (command.type) {
        case WorkerCommandType::clear: {
            auto it = worker.tasks.find(std::tuple{command.job, command.task, command.attempt});
            if (it != worker.tasks.end() && it->second.state == TaskState::exited) {
                worker.tasks.erase(it);
            }
            return;
        }
        case WorkerCommandType::run:
            execute_run(worker, command);
            return;
        case WorkerCommandType::stop:
            execute_stop(worker, command);
            return;
    }
}

void World::execute_run(Worker& worker, const WorkerCommand& command) {
    auto key = std::tuple{command.job, command.task, command.attempt};
    auto it = worker.tasks.find(key);
    if (it != worker.tasks.end()) {
        return;
    }
    Running& running_task = worker.tasks[key];
    running_task.job = command.job;
    running_task.task = command.task;
    running_task.attempt = command.attempt;
    auto refuse = [&](const char* cause) {
        running_task.state = TaskState::exited;
        running_task.cause = cause;
        hasten_heartbeat(worker);
    };
    auto job_entry = jobs_.find(command.job);
    if (job_entry == jobs_.end() || !job_entry->second->submitted ||
        command.task >= job_entry->second->spec.tasks) {
        refuse("unknown");
        return;
    }
    Resources used;
    for (auto& [k, other_task] : worker.tasks) {
        if (other_task.state == TaskState::exited || k == key) {
            continue;
        }
        used += jobs_.at(other_task.job)->spec.task_resources;
        if (other_task.job == command.job && other_task.task == command.task) {
            refuse("busy");
            return;
        }
    }
    if (!job_entry->second->spec.task_resources.fits_in(machine_types_[worker.machine_type].size -
                                                        used)) {
        refuse("no_room");
        return;
    }
    if (options_.copies.refused_starts > 0 && now_ < options_.duration * 8 / 10 &&
        chance(options_.copies.refused_starts)) {
        refuse("no_room");
        return;
    }
    running_task.state = TaskState::pulling;
    record_task_event(worker, running_task, TaskEvent::EventType::ordered);
    begin_fetch(worker, job_entry->second->image());
    hasten_heartbeat(worker);
    schedule(now_ + random_integer(200, 4000),
             [this, name = worker.name, command, session = worker.session] {
                 auto found = workers_.find(name);
                 if (found == workers_.end() || found->second->session != session) {
                     return;
                 }
                 image_ready(name, command.job, command.task, command.attempt);
             });
}

void World::execute_stop(Worker& worker, const WorkerCommand& command) {
    auto key = std::tuple{command.job, command.task, command.attempt};
    auto it = worker.tasks.find(key);
    if (it == worker.tasks.end() || it->second.state == TaskState::exited) {
        return;
    }
    Running& running_task = it->second;
    const Job& job_record = *jobs_.at(running_task.job);
    bool saves =
        running_task.state == TaskState::running && job_record.spec.checkpoint_interval_s > 0 &&
        command.grace_s >= job_record.spec.checkpoint_duration_s && !job_record.spec.gang();
    if (running_task.state == TaskState::saving && command.grace_s > 0) {
        return;
    }
    if (!saves) {
        end(worker, running_task, "stopped", false);
        return;
    }
    running_task.state = TaskState::saving;
    jobs_.at(running_task.job)->progress[running_task.task] += now_ - running_task.began;
    std::uint64_t version = ++running_task.version;
    hasten_heartbeat(worker);
    schedule(now_ + to_ms(job_record.spec.checkpoint_duration_s),
             [this, phase = TaskPhase{worker.name, worker.session, key, version}] {
                 if (Running* task = find_task(phase)) {
                     end(*workers_.at(phase.machine), *task, "stopped", true);
                 }
             });
}

World::Running* World::find_task(const TaskPhase& phase) {
    auto worker = workers_.find(phase.machine);
    if (worker == workers_.end() || worker->second->session != phase.session) {
        return nullptr;
    }
    auto task = worker->second->tasks.find(phase.key);
    bool over = task == worker->second->tasks.end() || task->second.version != phase.version;
    return over ? nullptr : &task->second;
}

void World::image_ready(const std::string& machine, const std::string& job, std::uint32_t task,
                        std::uint32_t attempt) {
    Worker& worker = *workers_.at(machine);
    auto it = worker.tasks.find({job, task, attempt});
    if (it == worker.tasks.end() || it->second.state != TaskState::pulling) {
        return;
    }
    Running& running_task = it->second;
    Job& job_record = *jobs_.at(job);
    end_fetch(worker, job_record.image());
    check_start(worker, running_task);
    running_task.active = true;
    ++started;
    if (job_record.done[task]) {
        end(worker, running_task, "done", false);
        return;
    }
    if (!job_record.spec.gang()) {
        begin(worker, running_task);
        return;
    }
    running_task.state = TaskState::waiting;
    hasten_heartbeat(worker);
    std::vector<std::pair<Worker*, Running*>> gang_members;
    for (auto& [name, other] : workers_) {
        for (auto& [key, other_task] : other->tasks) {
            if (other_task.job == job && other_task.attempt == attempt &&
                other_task.state == TaskState::waiting && other_task.active) {
                gang_members.emplace_back(other.get(), &other_task);
            }
        }
    }
    if (gang_members.size() == job_record.spec.tasks) {
        for (auto& [member_worker, member] : gang_members) {
            begin(*member_worker, *member);
        }
        return;
    }
    std::uint64_t version = running_task.version;
    schedule(now_ + to_ms(kGangWaitSeconds),
             [this, phase = TaskPhase{machine, worker.session, {job, task, attempt}, version}] {
                 Running* waiting = find_task(phase);
                 if (waiting && waiting->state == TaskState::waiting) {
                     end(*workers_.at(phase.machine), *waiting, "alone", false);
                 }
             });
}

void World::begin(Worker& worker, Running& running_task) {
    running_task.state = TaskState::running;
    running_task.began = now_;
    record_task_event(worker, running_task, TaskEvent::EventType::began);
    std::uint64_t version = ++running_task.version;
    Job& job_record = *jobs_.at(running_task.job);
    Ms left = std::max<Ms>(
        300,
        job_record.run_ms - (job_record.spec.gang() ? 0 : job_record.progress[running_task.task]));
    hasten_heartbeat(worker);
    if (job_record.spec.service()) {
        replica_restarts += running_task.attempt > 1;
        maybe_end_replica(worker, running_task);
        return;
    }
    TaskPhase phase{worker.name,
                    worker.session,
                    {running_task.job, running_task.task, running_task.attempt},
                    version};
    if (now_ + left < active_.cancellation_at_end && chance(0.3)) {
        ++cancelled_at_end;
        schedule(now_ + std::max<Ms>(0, left + random_integer(-300, 700)),
                 [this, id = running_task.job] { cancel(id); });
    }
    schedule(now_ + left, [this, phase] {
        const auto& key = phase.key;
        Running* completed = find_task(phase);
        if (!completed) {
            return;
        }
        Job& job = *jobs_.at(std::get<0>(key));
        if (!job.spec.gang()) {
            job.done[std::get<1>(key)] = true;
            end(*workers_.at(phase.machine), *completed, "done", false);
            return;
        }
        // All tasks of a gang complete together, or none if one has already stopped.
        std::uint32_t running = 0;
        for (auto& [n, other] : workers_) {
            for (auto& [k, member] : other->tasks) {
                running += member.job == std::get<0>(key) && member.attempt == std::get<2>(key) &&
                           member.state == TaskState::running;
            }
        }
        if (running < job.spec.tasks) {
            return;
        }
        for (auto& [n, other] : workers_) {
            for (auto& [k, member] : other->tasks) {
                if (member.job == std::get<0>(key) && member.attempt == std::get<2>(key) &&
                    member.state == TaskState::running) {
                    job.done[member.task] = true;
                    end(*other, member, "done", false);
                }
            }
        }
    });
}

// Service replicas run until stopped. Some exit on their own, with or without an error.
void World::maybe_end_replica(Worker& worker, const Running& running_task) {
    if (!options_.faults || now_ >= options_.duration * 8 / 10 || !chance(0.2)) {
        return;
    }
    auto key = std::tuple{running_task.job, running_task.task, running_task.attempt};
    const char* cause = chance(0.5) ? "done" : "error";
    Ms when = now_ + random_integer(500, 30000);
    faults_end_at_ = std::max(faults_end_at_, when);
    schedule(when, [this, name = worker.name, key, cause, version = running_task.version] {
        auto found = workers_.find(name);
        if (found == workers_.end()) {
            return;
        }
        auto task = found->second->tasks.find(key);
        if (task != found->second->tasks.end() && task->second.version == version) {
            end(*found->second, task->second, cause, false);
        }
    });
}

void World::end(Worker& worker, Running& running_task, const std::string& cause,
                bool progress_saved) {
    bool was_running =
        running_task.state == TaskState::running || running_task.state == TaskState::saving;
    record_task_event(worker, running_task, TaskEvent::EventType::ended);
    if (running_task.state == TaskState::pulling) {
        worker.fetching.erase(jobs_.at(running_task.job)->image());  // the fetch is abandoned
    }
    running_task.state = TaskState::exited;
    running_task.cause = cause;
    running_task.progress_saved = progress_saved;
    running_task.active = false;
    ++running_task.version;
    hasten_heartbeat(worker);
    if (was_running && cause != "done") {
        end_remaining_gang_members(running_task.job, running_task.attempt);
    }
}

void World::end_remaining_gang_members(const std::string& job, std::uint32_t attempt) {
    auto found = jobs_.find(job);
    if (found == jobs_.end() || !found->second->spec.gang()) {
        return;
    }
    schedule(now_ + random_integer(100, to_ms(kGangPeerSeconds)), [this, job, attempt] {
        for (auto& [name, worker] : workers_) {
            for (auto& [key, other_task] : worker->tasks) {
                if (other_task.job == job && other_task.attempt == attempt &&
                    other_task.state == TaskState::running) {
                    end(*worker, other_task, "mates_gone", false);
                }
            }
        }
    });
}

std::vector<std::string> World::machines_running_job(const std::string& job) const {
    std::vector<std::string> names;
    for (const auto& [name, worker] : workers_) {
        if (std::any_of(worker->tasks.begin(), worker->tasks.end(), [&](const auto& entry) {
                return entry.second.job == job && entry.second.active;
            })) {
            names.push_back(name);
        }
    }
    return names;
}

}  // namespace walkford::standin
