// Late copies of messages that were carried out and answered before, machines that are back within
// a second, and the record of how `run` commands reach the workers.
#include <algorithm>

#include "standin/entities.hpp"
#include "standin/world.hpp"

namespace walkford::standin {

namespace {
constexpr Ms kLongestImmediateResponse = 200;

bool has_run(const std::vector<WorkerCommand>& commands) {
    return std::any_of(commands.begin(), commands.end(), [](const WorkerCommand& command) {
        return command.type == WorkerCommandType::run;
    });
}
}  // namespace

// A worker has received the response. Within the time in which it accepts responses to that report,
// a copy arrives, possibly after later responses. Like any response it is dropped if its token is
// lower than the highest seen, or if the worker's session has ended.
void World::maybe_copy_response(const SentReport& report, const HeartbeatResponse& response) {
    if (options_.copies.responses <= 0 || !has_run(response.commands) ||
        now_ >= options_.duration * 8 / 10 || !chance(options_.copies.responses)) {
        return;
    }
    Ms latest = report.sent + options_.copies.response_valid_ms;
    Ms when = random_integer(now_, std::max(now_, latest));
    faults_end_at_ = std::max(faults_end_at_, when);
    schedule(when, [this, report, response] {
        auto found = workers_.find(report.machine);
        if (found == workers_.end() || found->second->process != report.process ||
            found->second->session != report.session ||
            response.fencing_token < found->second->fencing_token) {
            return;
        }
        ++responses_copied;
        for (const WorkerCommand& command : response.commands) {
            execute(*found->second, command);
        }
    });
}

// The command was carried out. The same command arrives again later, and is carried out again if
// token and session still match.
void World::maybe_copy_command(const WorkerRequest& request) {
    ++direct_commands;
    if (has_run(request.commands)) {
        report_violation("run_outside_heartbeats", "direct command to " + request.address);
    }
    if (options_.copies.commands <= 0 || now_ >= options_.duration * 8 / 10 ||
        !chance(options_.copies.commands)) {
        return;
    }
    Ms when = now_ + random_integer(100, 16000);
    faults_end_at_ = std::max(faults_end_at_, when);
    schedule(when, [this, request] {
        auto found = workers_.find(request.address);
        if (found == workers_.end() || request.fencing_token < found->second->fencing_token ||
            request.incarnation != found->second->incarnation) {
            return;
        }
        ++commands_copied;
        for (const WorkerCommand& command : request.commands) {
            execute(*found->second, command);
        }
    });
}

void World::record_runs(std::size_t controller, const HeartbeatResponse& response) {
    Host& host = *hosts_[controller];
    auto received = host.heartbeats_received_at.find(response.request);
    bool deferred = received != host.heartbeats_received_at.end() &&
                    now_ - received->second > kLongestImmediateResponse;
    if (received != host.heartbeats_received_at.end()) {
        host.heartbeats_received_at.erase(received);
    }
    std::string process =
        "n" + std::to_string(controller) + "-" + std::to_string(host.process_number);
    std::set<std::tuple<std::string, std::uint32_t, std::uint64_t>> cleared;
    for (const WorkerCommand& command : response.commands) {
        auto attempt = std::tuple{command.job, command.task, command.attempt};
        if (command.type == WorkerCommandType::clear) {
            cleared.insert(attempt);
        }
        if (command.type != WorkerCommandType::run) {
            continue;
        }
        if (!host.controller->leading()) {
            report_violation("run_outside_heartbeats", "relay by n" + std::to_string(controller));
        }
        auto [earlier, first] = run_commanded_by_.try_emplace(attempt, process);
        ++runs_sent;
        runs_deferred += deferred;
        runs_after_clear += cleared.contains(attempt);
        runs_repeated += !first && earlier->second == process && !cleared.contains(attempt);
        runs_by_next_leader += !first && earlier->second != process;
        earlier->second = process;
    }
}

void World::plan_machine_restarts() {
    Ms interval = options_.copies.machine_restart_interval;
    for (Ms when = interval; when < options_.duration * 8 / 10;
         when += random_integer(interval / 2, interval * 3 / 2)) {
        schedule(when, [this] {
            if (workers_.empty()) {
                return;
            }
            auto worker = workers_.begin();
            std::advance(worker, random_integer(0, static_cast<int>(workers_.size()) - 1));
            restart_with_new_counters(worker->first);
        });
        faults_end_at_ = std::max(faults_end_at_, when);
    }
}

// The machine is back within a second. It has lost its tasks, and its worker knows neither its
// incarnation and sequence nor the fencing token.
void World::restart_with_new_counters(const std::string& machine) {
    reboot(machine);
    Worker& worker = *workers_.at(machine);
    ++machines_restarted;
    ++worker.process;
    worker.incarnation = 1;
    worker.sequence = 0;
    worker.fencing_token = 0;
    worker.in_flight = false;
    worker.reclaim_at = -1;
    worker.next_heartbeat = now_ + random_integer(50, 900);
    worker.lease_from = worker.next_heartbeat;
    schedule(worker.next_heartbeat, [this, machine] { heartbeat(machine); });
}

}  // namespace walkford::standin
