#include "loopback/worker_fleet.hpp"

namespace walkford::transport {

using protocol::HttpRequest;
using protocol::Method;

void WorkerFleet::add_worker(const std::string& name, const std::string& zone) {
    auto worker = std::make_unique<Worker>();
    worker->name = name;
    worker->zone = zone;
    worker->lease_renewed_at = Clock::now();
    worker->next_report = Clock::now();
    workers_.push_back(std::move(worker));
}

void WorkerFleet::step() {
    Clock::time_point now = Clock::now();
    for (auto& worker : workers_) {
        expire_lease(*worker, now);
        run_tasks(*worker, now);
        if (!worker->report_in_flight && now >= worker->next_report) {
            send_heartbeat(*worker, now);
        }
    }
}

void WorkerFleet::expire_lease(Worker& worker, Clock::time_point now) {
    if (now <= worker.lease_renewed_at + kLeaseDuration) {
        return;
    }
    worker.tasks.clear();
    worker.images.clear();
    ++worker.incarnation;
    worker.lease_renewed_at = now;
}

void WorkerFleet::run_tasks(Worker& worker, Clock::time_point now) {
    for (auto& [task_id, task] : worker.tasks) {
        if (now < task.next_transition) {
            continue;
        }
        const JobDescription& job = jobs_.at(job_id_of(task_id));
        if (task.status == "pulling") {
            worker.images.insert(job.image);
            task.status = "running";
            task.next_transition = now + job.run_time;
            task_starts.push_back({now, job_id_of(task_id), worker.zone, task.attempt});
        } else if (task.status == "running") {
            task.status = "exited";
            ++completions[job_id_of(task_id)];
            worker.next_report = now;
        }
    }
}

void WorkerFleet::send_heartbeat(Worker& worker, Clock::time_point now) {
    Json task_reports = Json::array();
    for (const auto& [task_id, task] : worker.tasks) {
        Json task_report{{"piece", task_id}, {"try", task.attempt}, {"status", task.status}};
        if (task.status == "exited") {
            task_report["cause"] = "done";
        }
        task_reports.push_back(std::move(task_report));
    }
    Json heartbeat{{"walker", worker.name},
                   {"endpoint", "127.0.0.1:1"},
                   {"build", "k"},
                   {"yard", worker.zone},
                   {"loaners", false},
                   {"stint", worker.incarnation},
                   {"tick", ++worker.sequence_number},
                   {"baton", worker.fencing_token},
                   {"warningS", nullptr},
                   {"pieces", task_reports}};
    worker.report_in_flight = true;
    worker.next_report = now + kReportInterval;
    auto& client = *clients_.at(worker.zone).at(worker.controller);
    client.send(HttpRequest{Method::post, "/agent/beat", protocol::pack(heartbeat)},
                [this, &worker, now, incarnation = worker.incarnation](int status_code,
                                                                       std::string_view body) {
                    Json response = protocol::unpack(body).value_or(Json::object());
                    handle_heartbeat_response(worker, now, incarnation, status_code, response);
                });
}

void WorkerFleet::handle_heartbeat_response(Worker& worker, Clock::time_point sent,
                                            std::uint64_t incarnation, int status_code,
                                            const Json& response) {
    worker.report_in_flight = false;
    if (status_code == 200) {
        auto fencing_token = response.value("baton", std::uint64_t{0});
        if (fencing_token < worker.fencing_token || incarnation != worker.incarnation) {
            return;
        }
        worker.fencing_token = fencing_token;
        worker.lease_renewed_at = std::max(worker.lease_renewed_at, sent);
        for (const Json& order : response.at("orders")) {
            execute_order(worker, order);
        }
        return;
    }
    std::string leader = response.value("foreman", "");
    worker.controller = status_code == 421 && leader.size() == 2
                            ? static_cast<std::size_t>(leader[1] - '0')
                            : (worker.controller + 1) % clients_.at(worker.zone).size();
}

void WorkerFleet::execute_order(Worker& worker, const Json& order) {
    auto task_id = order.at("piece").get<std::string>();
    auto operation = order.at("verb").get<std::string>();
    auto attempt = order.at("try").get<std::uint64_t>();
    if (operation == "run" && worker.tasks.count(task_id) == 0) {
        bool cached = worker.images.count(jobs_.at(job_id_of(task_id)).image) > 0;
        Clock::time_point ready_at =
            Clock::now() + (cached ? std::chrono::milliseconds(0) : kFetchDuration);
        worker.tasks[task_id] = {"pulling", attempt, ready_at};
        update_max_concurrent_fetches(worker.zone);
    } else if (operation != "run") {
        worker.tasks.erase(task_id);
    }
}

void WorkerFleet::update_max_concurrent_fetches(const std::string& zone) {
    std::size_t count = 0;
    for (const auto& worker : workers_) {
        std::set<std::string> images;
        for (const auto& [task_id, task] : worker->tasks) {
            const std::string& image = jobs_.at(job_id_of(task_id)).image;
            if (worker->zone == zone && task.status == "pulling" &&
                worker->images.count(image) == 0) {
                images.insert(image);
            }
        }
        count += images.size();
    }
    max_concurrent_fetches[zone] = std::max(max_concurrent_fetches[zone], count);
}

}  // namespace walkford::transport
