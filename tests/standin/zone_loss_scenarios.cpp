#include "standin/zone_loss_scenarios.hpp"

#include <algorithm>

namespace walkford::standin {

ZoneFailoverSettings failover_enabled() {
    ZoneFailoverSettings settings;
    settings.enabled = true;
    settings.evacuation_order = {"closing", "scoring"};
    settings.min_machines = 1;  // these scenarios have few machines
    return settings;
}

Options evacuation(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.jobs = 0;
    options.faults = false;
    options.duration = 260000;
    options.recovery_period = 120000;
    options.cloud_machines_per_option = 4;
    options.zone_failover = failover_enabled();
    options.zone_losses = {{kLossAt, kLossDuration, "a"}};
    Ms at = 2000;
    for (const char* job_class : {"other", "scoring", "closing"}) {
        options.work.push_back({at, job_class, 5, 1, 4, 45000});
        at += 3000;
    }
    // The remaining capacity of zone b is used by jobs that finish gradually.
    options.work.push_back({14000, "filling", 10, 1, 4, 40000});
    return options;
}

std::map<std::string, std::vector<Ms>> restart_times_by_class(const World& world, Ms lost_at,
                                                              const std::string& zone) {
    std::map<std::string, std::string> ran_there;  // job to class
    for (const TaskEvent& event : world.history) {
        if (event.at >= lost_at || event.zone != zone) {
            continue;
        }
        if (event.what == TaskEvent::EventType::began) {
            ran_there[event.job] = event.job_class;
        }
        if (event.what == TaskEvent::EventType::ended) {
            ran_there.erase(event.job);
        }
    }
    std::map<std::string, std::vector<Ms>> times;
    for (const TaskEvent& event : world.history) {
        if (event.at < lost_at || event.what != TaskEvent::EventType::ordered) {
            continue;
        }
        if (auto it = ran_there.find(event.job); it != ran_there.end()) {
            times[it->second].push_back(event.at);
            ran_there.erase(it);
        }
    }
    return times;
}

std::vector<ZoneState> zone_states(const World& world, const std::string& zone) {
    std::vector<ZoneState> states;
    for (const auto& [at, value] : world.state().history(keys::zone_record(zone))) {
        auto record = decode_zone(value);
        if (record && (states.empty() || states.back() != record->state)) {
            states.push_back(record->state);
        }
    }
    return states;
}

Ms first_time_in_state(const World& world, const std::string& zone, ZoneState state, Ms from) {
    for (const auto& [at, value] : world.state().history(keys::zone_record(zone))) {
        auto record = decode_zone(value);
        if (at >= from && record && record->state == state) {
            return at;
        }
    }
    return kNever;
}

Options cold_return(std::uint64_t seed) {
    Options options = evacuation(seed);
    options.zone_losses.front().cold = true;
    options.cloud_machines_per_option = 10;
    options.duration = 400000;
    options.zone_failover.max_fetches_per_machine = 1;
    options.zone_failover.max_fetches_per_zone = 2;
    options.zone_failover.ramp_first_share = 1;
    options.zone_failover.probe_machines = 10;
    options.zone_failover.ramp_s = 150;
    for (std::uint32_t tasks = 1; tasks <= 4; ++tasks) {
        options.work.push_back({kLossAt + 20000, "scoring", 8, tasks, 4, 60000});
    }
    return options;
}

std::pair<int, int> max_concurrent_fetches(const World& world) {
    std::pair<int, int> most{0, 0};
    for (const FetchEvent& event : world.fetches) {
        if (event.zone == "a" && event.at > kLossAt + kLossDuration &&
            event.at < kLossAt + kLossDuration + 90000) {
            most = {std::max(most.first, event.in_zone), std::max(most.second, event.on_machine)};
        }
    }
    return most;
}

}  // namespace walkford::standin
