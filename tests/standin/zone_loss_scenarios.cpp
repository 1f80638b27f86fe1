#include "standin/zone_loss_scenarios.hpp"

#include <algorithm>

namespace walkford::standin {

ZoneFailoverSettings failover_enabled() {
    ZoneFailoverSettings settings;
    settings.enabled = true;
    settings.evacuation_order = {"closing", "scoring"};
    settings.min_machines = 1;  // the fleets here are small
    return settings;
}

Options evacuation(std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.jobs = 0;
    o.faults = false;
    o.duration = 260000;
    o.recovery_period = 120000;
    o.cloud_machines_per_option = 4;
    o.zone_failover = failover_enabled();
    o.zone_losses = {{kLossAt, kLossDuration, "a"}};
    Ms at = 2000;
    for (const char* job_class : {"other", "scoring", "closing"}) {
        o.work.push_back({at, job_class, 5, 1, 4, 45000});
        at += 3000;
    }
    // The rest of zone b is taken by work that ends little by little.
    o.work.push_back({14000, "filling", 10, 1, 4, 40000});
    return o;
}

std::map<std::string, std::vector<Ms>> restart_times_by_class(const World& world, Ms lost_at,
                                                              const std::string& zone) {
    std::map<std::string, std::string> ran_there;  // job -> class
    for (const TaskEvent& e : world.history) {
        if (e.at >= lost_at || e.zone != zone) {
            continue;
        }
        if (e.what == TaskEvent::EventType::began) {
            ran_there[e.job] = e.job_class;
        }
        if (e.what == TaskEvent::EventType::ended) {
            ran_there.erase(e.job);
        }
    }
    std::map<std::string, std::vector<Ms>> times;
    for (const TaskEvent& e : world.history) {
        if (e.at < lost_at || e.what != TaskEvent::EventType::ordered) {
            continue;
        }
        if (auto it = ran_there.find(e.job); it != ran_there.end()) {
            times[it->second].push_back(e.at);
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
    Options o = evacuation(seed);
    o.zone_losses.front().cold = true;
    o.cloud_machines_per_option = 10;
    o.duration = 400000;
    o.zone_failover.max_fetches_per_machine = 1;
    o.zone_failover.max_fetches_per_zone = 2;
    o.zone_failover.ramp_first_share = 1;
    o.zone_failover.probe_machines = 10;
    o.zone_failover.ramp_s = 150;
    for (std::uint32_t tasks = 1; tasks <= 4; ++tasks) {
        o.work.push_back({kLossAt + 20000, "scoring", 8, tasks, 4, 60000});
    }
    return o;
}

std::pair<int, int> max_concurrent_fetches(const World& w) {
    std::pair<int, int> most{0, 0};
    for (const FetchEvent& e : w.fetches) {
        if (e.zone == "a" && e.at > kLossAt + kLossDuration &&
            e.at < kLossAt + kLossDuration + 90000) {
            most = {std::max(most.first, e.in_zone), std::max(most.second, e.on_machine)};
        }
    }
    return most;
}

}  // namespace walkford::standin
