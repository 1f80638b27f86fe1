// Users of the simulated world: they submit, ask, cancel and repeat themselves.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::ask(const Input& input, Ms timeout, std::function<void(UserResponse)> done) {
    auto controller = static_cast<std::size_t>(pick(0, static_cast<int>(o_.controllers) - 1));
    for (std::size_t k = 0; k < o_.controllers && !hosts_[controller]->controller; ++k) {
        controller = (controller + 1) % o_.controllers;
    }
    ask_controller(controller, input, timeout, std::move(done));
}

void World::ask_controller(std::size_t controller, const Input& input, Ms timeout,
                           std::function<void(UserResponse)> done) {
    UserResponse none;
    none.code = 0;
    call<UserResponse>(
        "users", "n" + std::to_string(controller), timeout, none,
        [this, controller, input](std::function<void(UserResponse)> respond) {
            Host& h = *hosts_[controller];
            if (!h.controller) {
                return;
            }
            RequestId id = next_request_++;
            h.users[id] = std::move(respond);
            Input in = input;
            if (auto* s = std::get_if<SubmitRequest>(&in)) {
                s->request = id;
            }
            if (auto* p = std::get_if<PollRequest>(&in)) {
                p->request = id;
            }
            if (auto* c = std::get_if<CancelRequest>(&in)) {
                c->request = id;
            }
            feed(controller, in);
        },
        std::move(done));
}

void World::submit(const std::string& id) {
    Job& j = *jobs_.at(id);
    SubmitRequest q;
    q.spec = j.spec;
    q.spec.team = kNone;
    q.team_name = j.team;
    q.job_class_name =
        j.job_class.empty() ? "l" + std::to_string(j.spec.tasks % 3) : std::string(j.job_class);
    q.image_name = j.image();
    q.zone_named = !j.zone.empty();
    q.zone_name = j.zone;
    q.machine_types_named = !j.any_machine_type;
    q.machine_type_names = j.machine_types;
    j.submitted = true;
    ask(q, 5000, [this, id, asked = now_](const UserResponse& a) {
        Job& job = *jobs_.at(id);
        bool had = job.accepted_told >= 0;
        services_refused += a.code == 503 && job.spec.service();
        services_accepted += a.code == 201 && job.spec.service();
        told(job, a, false, asked);
        if (!had && job.accepted_told >= 0) {
            look_closely(id);
        }
        if (a.code == 200 || a.code == 201) {
            if (!had) {
                at(now_ + pick(200, 3000), [this, id] { poll(id); });
            }
            if (chance(0.3)) {
                at(now_ + pick(500, 40000), [this, id] { submit(id); });
            }
        } else if (job.accepted_told < 0 && now_ < job.give_up) {
            at(now_ + 1000, [this, id] { submit(id); });
        }
    });
}

void World::poll(const std::string& id) {
    ask(PollRequest{0, id}, 2000, [this, id, asked = now_](const UserResponse& a) {
        Job& job = *jobs_.at(id);
        bool was_done = job.done_told >= 0;
        told(job, a, false, asked);
        if (!was_done && job.done_told >= 0) {
            look_closely(id);
        }
        if (a.code == 200) {
            job.last_answer = now_;
        }
        // Once all is well, nobody asks about a job in vain for 75 s.
        if (job.accepted_told >= 0 && now_ > std::max(well_since_, job.last_answer) + 75000 &&
            now_ > job.accepted_told + 75000) {
            broken("forgotten", id + " not answered for 75 s");
            job.last_answer = now_;
        }
        bool over = job.done_told >= 0 || job.cancel_told >= 0;
        at(now_ + (over ? pick(5000, 15000) : 2000), [this, id] { poll(id); });
    });
}

void World::cancel(const std::string& id) {
    Job& j = *jobs_.at(id);
    if (j.accepted_told < 0) {
        return;
    }
    j.cancel_asked = true;
    ask(CancelRequest{0, id}, 5000, [this, id, asked = now_](const UserResponse& a) {
        Job& job = *jobs_.at(id);
        bool was_cancelled = job.cancel_told >= 0;
        told(job, a, true, asked);
        if (!was_cancelled && job.cancel_told >= 0) {
            look_closely(id);
        }
        if (a.code != 200) {
            at(now_ + 1000, [this, id] { cancel(id); });
        }
    });
}

// Right after an answer all controllers are asked within milliseconds, and the submission is
// repeated; some cancel at once. None may answer anything older than what was told.
void World::look_closely(const std::string& id) {
    if (now_ >= active_.close_looks) {
        return;
    }
    for (std::size_t controller = 0; controller < o_.controllers; ++controller) {
        at(now_ + pick(0, 5), [this, id, controller] {
            ++close_looks;
            ask_controller(controller, PollRequest{0, id}, 2000,
                           [this, id, asked = now_](const UserResponse& a) {
                               told(*jobs_.at(id), a, false, asked);
                           });
        });
    }
    at(now_ + pick(0, 20), [this, id] { submit(id); });
    if (chance(0.2)) {
        at(now_ + pick(0, 5), [this, id] { cancel(id); });
    }
}

// One of a flood: a single short task; a quarter of them is cancelled.
void World::submit_small_job() {
    auto job = std::make_unique<Job>();
    JobSpec& s = job->spec;
    s.id = "j-8" + std::to_string(1000000 + small_job_number_++);
    s.tasks = 1;
    s.priority = Priority::normal;
    s.task_resources = {1, 0, 2};
    s.spot = true;
    s.image_gb = 1;
    job->team = "blue";
    job->run_ms = pick(500, 3000);
    s.estimate_s = static_cast<double>(job->run_ms) / 1000.0;
    s.deadline_s = -1;
    job->done.assign(1, false);
    job->progress.assign(1, 0);
    job->give_up = now_ + 60000;
    job->small = true;
    std::string id = s.id;
    jobs_[id] = std::move(job);
    submit(id);
    if (chance(0.25)) {
        at(now_ + pick(100, 6000), [this, id] { cancel(id); });
    }
}

// Those that run, a few at a time, within so long.
void World::cancel_running(std::size_t most, Ms span) {
    for (const auto& [id, j] : jobs_) {
        if (most == 0) {
            return;
        }
        if (j->accepted_told < 0 || j->cancel_asked || on_machines(id).empty()) {
            continue;
        }
        --most;
        at(now_ + pick(0, span), [this, id = id] { cancel(id); });
    }
}

// Jobs that never can run: each in one of the ways there are.
void World::submit_impossible() {
    SubmitRequest q;
    JobSpec& s = q.spec;
    s.id = "j-9" + std::to_string(1000000 + impossible_);
    s.tasks = 2;
    s.task_resources = {1, 0, 1};
    q.team_name = "blue";
    q.job_class_name = "l0";
    switch (impossible_++ % 7) {
        case 0:
            q.team_name = "green";
            break;
        case 1:
            s.task_resources.cpus = 33;
            break;
        case 2:
            q.machine_types_named = true;
            q.machine_type_names = {"small"};
            s.task_resources.gpus = 1;
            break;
        case 3:
            q.zone_named = true;
            q.zone_name = "c";
            break;
        case 4:
            s.shape = JobShape::gang;
            s.task_resources.cpus = 21;
            q.team_name = "red";
            break;
        case 5:
            s.shape = JobShape::gang;
            s.spread = s.one_zone = true;
            break;
        default:
            s.shape = JobShape::gang;
            s.spread = true;
            q.zone_named = true;
            q.zone_name = "a";
            break;
    }
    ask(q, 5000, [this, id = s.id](const UserResponse& a) {
        refused_jobs += a.code == 422;
        if (a.code == 200 || a.code == 201 || a.code == 404) {
            broken("accepted", id + " that never can run: " + std::to_string(a.code));
        }
    });
}

void World::plan_users() {
    for (int n = 0; n < o_.jobs; ++n) {
        auto j = std::make_unique<Job>();
        JobSpec& s = j->spec;
        s.id = "j-" + std::to_string(100000 + pick(0, 899999));
        if (jobs_.count(s.id)) {
            continue;
        }
        s.shape = chance(0.4) ? JobShape::gang : JobShape::array;
        s.tasks = static_cast<std::uint32_t>(s.gang() ? pick(1, 4) : pick(1, 7));
        s.priority = static_cast<Priority>(pick(0, 3));
        bool gpu = chance(0.3);
        s.task_resources = {static_cast<double>(pick(1, 6)), gpu ? 1.0 : 0.0,
                            static_cast<double>(pick(2, 20))};
        j->team = chance(0.6) ? "red" : "blue";
        if (j->team == "red" && s.gang() && s.task_resources.cpus * s.tasks > 40) {
            s.task_resources.cpus = 5;
        }
        if (chance(0.25)) {
            j->any_machine_type = false;
            j->machine_types = {gpu || chance(0.5) ? "big" : "small"};
        }
        if (chance(0.2)) {
            j->zone = chance(0.5) ? "a" : "b";
        }
        s.one_zone = chance(0.3);
        s.spread = !s.one_zone && j->zone.empty() && chance(0.2);
        s.spot = chance(0.6);
        s.image_gb = 1;
        j->run_ms = pick(1500, o_.longest_run);
        s.estimate_s = static_cast<double>(j->run_ms) / 1000.0;
        s.checkpoint_interval_s = chance(0.6) ? 3 : 0;
        s.checkpoint_duration_s = static_cast<double>(pick(2, 20)) / 10.0;
        s.deadline_s = chance(0.3) ? 60 : -1;
        j->done.assign(s.tasks, false);
        j->progress.assign(s.tasks, 0);
        Ms when = pick(500, o_.duration * 6 / 10);
        j->give_up = when + 60000;
        std::string id = s.id;
        jobs_[id] = std::move(j);
        at(when, [this, id] { submit(id); });
        if (chance(0.25)) {
            at(when + pick(200, 30000), [this, id] { cancel(id); });
        }
    }
    // Users also ask about jobs that nobody has submitted.
    for (int n = 0; n < 6; ++n) {
        at(pick(1000, o_.duration), [this, n] {
            ask(PollRequest{0, "j-00000" + std::to_string(n)}, 2000, [this](const UserResponse& a) {
                if (a.code == 200) {
                    broken("invented", "a job nobody submitted");
                }
            });
        });
    }
}

}  // namespace walkford::standin
