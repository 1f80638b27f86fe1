// Users of the simulation: they submit, poll and cancel jobs and repeat requests.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

void World::ask(const Input& input, Ms timeout, std::function<void(UserResponse)> done) {
    auto controller =
        static_cast<std::size_t>(random_integer(0, static_cast<int>(options_.controllers) - 1));
    for (std::size_t k = 0; k < options_.controllers && !hosts_[controller]->controller; ++k) {
        controller = (controller + 1) % options_.controllers;
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
            Host& host = *hosts_[controller];
            if (!host.controller) {
                return;
            }
            RequestId id = next_request_++;
            host.users[id] = std::move(respond);
            Input addressed = input;
            if (auto* submission = std::get_if<SubmitRequest>(&addressed)) {
                submission->request = id;
            }
            if (auto* poll_request = std::get_if<PollRequest>(&addressed)) {
                poll_request->request = id;
            }
            if (auto* cancellation = std::get_if<CancelRequest>(&addressed)) {
                cancellation->request = id;
            }
            enqueue_input(controller, addressed);
        },
        std::move(done));
}

void World::submit(const std::string& id) {
    Job& submitted_job = *jobs_.at(id);
    SubmitRequest request;
    request.spec = submitted_job.spec;
    request.spec.team = kNone;
    request.team_name = submitted_job.team;
    request.job_class_name = submitted_job.job_class.empty()
                                 ? "l" + std::to_string(submitted_job.spec.tasks % 3)
                                 : std::string(submitted_job.job_class);
    request.image_name = submitted_job.image();
    request.zone_named = !submitted_job.zone.empty();
    request.zone_name = submitted_job.zone;
    request.machine_types_named = !submitted_job.any_machine_type;
    request.machine_type_names = submitted_job.machine_types;
    submitted_job.submitted = true;
    ask(request, 5000, [this, id, asked = now_](const UserResponse& response) {
        Job& job = *jobs_.at(id);
        bool was_accepted = job.accepted_reported_at >= 0;
        services_refused += response.code == 503 && job.spec.service();
        services_accepted += response.code == 201 && job.spec.service();
        check_response(job, response, false, asked);
        if (!was_accepted && job.accepted_reported_at >= 0) {
            send_immediate_follow_ups(id);
        }
        if (response.code == 200 || response.code == 201) {
            if (!was_accepted) {
                schedule(now_ + random_integer(200, 3000), [this, id] { poll(id); });
            }
            if (chance(0.3)) {
                schedule(now_ + random_integer(500, 40000), [this, id] { submit(id); });
            }
        } else if (job.accepted_reported_at < 0 && now_ < job.give_up) {
            schedule(now_ + 1000, [this, id] { submit(id); });
        }
    });
}

void World::poll(const std::string& id) {
    ask(PollRequest{0, id}, 2000, [this, id, asked = now_](const UserResponse& response) {
        Job& job = *jobs_.at(id);
        bool was_done = job.done_reported_at >= 0;
        check_response(job, response, false, asked);
        if (!was_done && job.done_reported_at >= 0) {
            send_immediate_follow_ups(id);
        }
        if (response.code == 200) {
            job.last_poll_response_at = now_;
        }
        // Once all faults are over, polls for a job must not fail for 75 s.
        if (job.accepted_reported_at >= 0 &&
            now_ > std::max(faults_end_at_, job.last_poll_response_at) + 75000 &&
            now_ > job.accepted_reported_at + 75000) {
            report_violation("forgotten", id + ": no successful poll for 75 s");
            job.last_poll_response_at = now_;
        }
        bool over = job.done_reported_at >= 0 || job.cancel_reported_at >= 0;
        schedule(now_ + (over ? random_integer(5000, 15000) : 2000), [this, id] { poll(id); });
    });
}

void World::cancel(const std::string& id) {
    Job& requested_job = *jobs_.at(id);
    if (requested_job.accepted_reported_at < 0) {
        return;
    }
    requested_job.cancel_requested = true;
    ask(CancelRequest{0, id}, 5000, [this, id, asked = now_](const UserResponse& response) {
        Job& job = *jobs_.at(id);
        bool was_cancelled = job.cancel_reported_at >= 0;
        check_response(job, response, true, asked);
        if (!was_cancelled && job.cancel_reported_at >= 0) {
            send_immediate_follow_ups(id);
        }
        if (response.code != 200) {
            schedule(now_ + 1000, [this, id] { cancel(id); });
        }
    });
}

// Right after a response, polls all controllers within milliseconds and repeats the submission;
// sometimes also cancels at once. No controller may return an older state than already reported.
void World::send_immediate_follow_ups(const std::string& id) {
    if (now_ >= active_.close_looks) {
        return;
    }
    for (std::size_t controller = 0; controller < options_.controllers; ++controller) {
        schedule(now_ + random_integer(0, 5), [this, id, controller] {
            ++close_looks;
            ask_controller(controller, PollRequest{0, id}, 2000,
                           [this, id, asked = now_](const UserResponse& response) {
                               check_response(*jobs_.at(id), response, false, asked);
                           });
        });
    }
    schedule(now_ + random_integer(0, 20), [this, id] { submit(id); });
    if (chance(0.2)) {
        schedule(now_ + random_integer(0, 5), [this, id] { cancel(id); });
    }
}

// Submits one job of a flood: a single short task. A quarter of these jobs are cancelled.
void World::submit_small_job() {
    auto job = std::make_unique<Job>();
    JobSpec& spec = job->spec;
    spec.id = "j-8" + std::to_string(1000000 + small_job_number_++);
    spec.tasks = 1;
    spec.priority = Priority::normal;
    spec.task_resources = {1, 0, 2};
    spec.spot = true;
    spec.image_gb = 1;
    job->team = "blue";
    job->run_ms = random_integer(500, 3000);
    spec.estimate_s = static_cast<double>(job->run_ms) / 1000.0;
    spec.deadline_s = -1;
    job->done.assign(1, false);
    job->progress.assign(1, 0);
    job->give_up = now_ + 60000;
    job->small = true;
    std::string id = spec.id;
    jobs_[id] = std::move(job);
    submit(id);
    if (chance(0.25)) {
        schedule(now_ + random_integer(100, 6000), [this, id] { cancel(id); });
    }
}

// Cancels up to `most` running jobs at random times within `span`.
void World::cancel_running(std::size_t most, Ms span) {
    for (const auto& [id, job] : jobs_) {
        if (most == 0) {
            return;
        }
        if (job->accepted_reported_at < 0 || job->cancel_requested ||
            machines_running_job(id).empty()) {
            continue;
        }
        --most;
        schedule(now_ + random_integer(0, span), [this, id = id] { cancel(id); });
    }
}

// Submits a job that can never run, for each of the possible reasons in turn.
void World::submit_impossible() {
    SubmitRequest request;
    JobSpec& spec = request.spec;
    spec.id = "j-9" + std::to_string(1000000 + impossible_job_number_);
    spec.tasks = 2;
    spec.task_resources = {1, 0, 1};
    request.team_name = "blue";
    request.job_class_name = "l0";
    switch (impossible_job_number_++ % 7) {
        case 0:
            request.team_name = "green";
            break;
        case 1:
            spec.task_resources.cpus = 33;
            break;
        case 2:
            request.machine_types_named = true;
            request.machine_type_names = {"small"};
            spec.task_resources.gpus = 1;
            break;
        case 3:
            request.zone_named = true;
            request.zone_name = "c";
            break;
        case 4:
            spec.shape = JobShape::gang;
            spec.task_resources.cpus = 21;
            request.team_name = "red";
            break;
        case 5:
            spec.shape = JobShape::gang;
            spec.spread = spec.one_zone = true;
            break;
        default:
            spec.shape = JobShape::gang;
            spec.spread = true;
            request.zone_named = true;
            request.zone_name = "a";
            break;
    }
    ask(request, 5000, [this, id = spec.id](const UserResponse& response) {
        refused_jobs += response.code == 422;
        if (response.code == 200 || response.code == 201 || response.code == 404) {
            report_violation("accepted", id + " can never run, but was answered with " +
                                             std::to_string(response.code));
        }
    });
}

void World::plan_users() {
    for (int n = 0; n < options_.jobs; ++n) {
        auto job = std::make_unique<Job>();
        JobSpec& spec = job->spec;
        spec.id = "j-" + std::to_string(100000 + random_integer(0, 899999));
        if (jobs_.count(spec.id)) {
            continue;
        }
        spec.shape = chance(0.4) ? JobShape::gang : JobShape::array;
        spec.tasks =
            static_cast<std::uint32_t>(spec.gang() ? random_integer(1, 4) : random_integer(1, 7));
        spec.priority = static_cast<Priority>(random_integer(0, 3));
        bool gpu = chance(0.3);
        spec.task_resources = {static_cast<double>(random_integer(1, 6)), gpu ? 1.0 : 0.0,
                               static_cast<double>(random_integer(2, 20))};
        job->team = chance(0.6) ? "red" : "blue";
        if (job->team == "red" && spec.gang() && spec.task_resources.cpus * spec.tasks > 40) {
            spec.task_resources.cpus = 5;
        }
        if (chance(0.25)) {
            job->any_machine_type = false;
            job->machine_types = {gpu || chance(0.5) ? "big" : "small"};
        }
        if (chance(0.2)) {
            job->zone = chance(0.5) ? "a" : "b";
        }
        spec.one_zone = chance(0.3);
        spec.spread = !spec.one_zone && job->zone.empty() && chance(0.2);
        spec.spot = chance(0.6);
        spec.image_gb = 1;
        job->run_ms = random_integer(1500, options_.max_run_duration);
        spec.estimate_s = static_cast<double>(job->run_ms) / 1000.0;
        spec.checkpoint_interval_s = chance(0.6) ? 3 : 0;
        spec.checkpoint_duration_s = static_cast<double>(random_integer(2, 20)) / 10.0;
        spec.deadline_s = chance(0.3) ? 60 : -1;
        job->done.assign(spec.tasks, false);
        job->progress.assign(spec.tasks, 0);
        Ms when = random_integer(500, options_.duration * 6 / 10);
        job->give_up = when + 60000;
        std::string id = spec.id;
        jobs_[id] = std::move(job);
        schedule(when, [this, id] { submit(id); });
        if (chance(0.25)) {
            schedule(when + random_integer(200, 30000), [this, id] { cancel(id); });
        }
    }
    // Users also poll jobs that nobody has submitted.
    for (int n = 0; n < 6; ++n) {
        schedule(random_integer(1000, options_.duration), [this, n] {
            ask(PollRequest{0, "j-00000" + std::to_string(n)}, 2000,
                [this](const UserResponse& response) {
                    if (response.code == 200) {
                        report_violation("invented",
                                         "status returned for a job that nobody submitted");
                    }
                });
        });
    }
}

}  // namespace walkford::standin
