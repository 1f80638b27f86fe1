#include "loopback/fleet.hpp"

namespace walkford::transport {

using protocol::HttpRequest;
using protocol::Method;

void LoopbackFleet::add(const std::string& name, const std::string& zone) {
    auto worker = std::make_unique<Worker>();
    worker->name = name;
    worker->zone = zone;
    worker->lease_from = Clock::now();
    worker->next_report = Clock::now();
    workers_.push_back(std::move(worker));
}

void LoopbackFleet::step() {
    Clock::time_point now = Clock::now();
    for (auto& worker : workers_) {
        keep_lease(*worker, now);
        run_tasks(*worker, now);
        if (!worker->in_flight && now >= worker->next_report) {
            worker_status(*worker, now);
        }
    }
}

void LoopbackFleet::keep_lease(Worker& worker, Clock::time_point now) {
    if (now <= worker.lease_from + kLease) {
        return;
    }
    worker.tasks.clear();
    worker.images.clear();
    ++worker.incarnation;
    worker.lease_from = now;
}

void LoopbackFleet::run_tasks(Worker& worker, Clock::time_point now) {
    for (auto& [piece, task] : worker.tasks) {
        if (now < task.next) {
            continue;
        }
        const LoopbackJob& job = jobs_.at(job_of(piece));
        if (task.status == "pulling") {
            worker.images.insert(job.image);
            task.status = "running";
            task.next = now + job.runs;
            starts.push_back({now, job_of(piece), worker.zone, task.attempt});
        } else if (task.status == "running") {
            task.status = "exited";
            ++completed[job_of(piece)];
            worker.next_report = now;
        }
    }
}

void LoopbackFleet::worker_status(Worker& worker, Clock::time_point now) {
    Json pieces = Json::array();
    for (const auto& [piece, task] : worker.tasks) {
        Json told{{"piece", piece}, {"try", task.attempt}, {"status", task.status}};
        if (task.status == "exited") {
            told["cause"] = "done";
        }
        pieces.push_back(std::move(told));
    }
    Json body{{"walker", worker.name},
              {"endpoint", "127.0.0.1:1"},
              {"build", "k"},
              {"yard", worker.zone},
              {"loaners", false},
              {"stint", worker.incarnation},
              {"tick", ++worker.sequence},
              {"baton", worker.fencing_token},
              {"warningS", nullptr},
              {"pieces", pieces}};
    worker.in_flight = true;
    worker.next_report = now + kReport;
    auto& client = *clients_.at(worker.zone).at(worker.controller);
    client.send(
        HttpRequest{Method::post, "/agent/beat", protocol::pack(body)},
        [this, &worker, now, incarnation = worker.incarnation](int code, std::string_view answer) {
            Json value = protocol::unpack(answer).value_or(Json::object());
            answered(worker, now, incarnation, code, value);
        });
}

void LoopbackFleet::answered(Worker& worker, Clock::time_point sent, std::uint64_t incarnation,
                             int code, const Json& answer) {
    worker.in_flight = false;
    if (code == 200) {
        auto fencing_token = answer.value("baton", std::uint64_t{0});
        if (fencing_token < worker.fencing_token || incarnation != worker.incarnation) {
            return;
        }
        worker.fencing_token = fencing_token;
        worker.lease_from = std::max(worker.lease_from, sent);
        for (const Json& order : answer.at("orders")) {
            obey(worker, order);
        }
        return;
    }
    std::string leader = answer.value("foreman", "");
    worker.controller = code == 421 && leader.size() == 2
                            ? static_cast<std::size_t>(leader[1] - '0')
                            : (worker.controller + 1) % clients_.at(worker.zone).size();
}

void LoopbackFleet::obey(Worker& worker, const Json& order) {
    auto piece = order.at("piece").get<std::string>();
    auto operation = order.at("verb").get<std::string>();
    auto attempt = order.at("try").get<std::uint64_t>();
    if (operation == "run" && worker.tasks.count(piece) == 0) {
        bool held = worker.images.count(jobs_.at(job_of(piece)).image) > 0;
        Clock::time_point there = Clock::now() + (held ? std::chrono::milliseconds(0) : kFetch);
        worker.tasks[piece] = {"pulling", attempt, there};
        count_fetches(worker.zone);
    } else if (operation != "run") {
        worker.tasks.erase(piece);
    }
}

void LoopbackFleet::count_fetches(const std::string& zone) {
    std::size_t count = 0;
    for (const auto& worker : workers_) {
        std::set<std::string> images;
        for (const auto& [piece, task] : worker->tasks) {
            const std::string& image = jobs_.at(job_of(piece)).image;
            if (worker->zone == zone && task.status == "pulling" &&
                worker->images.count(image) == 0) {
                images.insert(image);
            }
        }
        count += images.size();
    }
    most_fetched[zone] = std::max(most_fetched[zone], count);
}

}  // namespace walkford::transport
