// Simulates days on which a zone is lost, with zone failover and without. Writes the results as
// comma-separated values to moved.csv, fetched.csv and days.csv in the directory named on the
// command line.
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <fstream>
#include <iostream>

#include "standin/zone_loss_scenarios.hpp"

namespace walkford::standin {
namespace {

constexpr int kUsageErrorExitCode = 2;

double seconds(Ms span) { return static_cast<double>(span) / 1000.0; }

// Counts the attempts of all tasks, without each task's first attempt.
std::size_t count_restarts(const World& world) {
    std::map<std::pair<std::string, std::uint32_t>, std::size_t> starts;
    for (const TaskEvent& event : world.history) {
        starts[{event.job, event.task}] += event.what == TaskEvent::EventType::began;
    }
    std::size_t count = 0;
    for (const auto& [task, times] : starts) {
        count += times > 0 ? times - 1 : 0;
    }
    return count;
}

struct Tables {
    std::ofstream moved;    // the times at which displaced jobs were restarted
    std::ofstream fetched;  // image fetches in the lost zone after its return
    std::ofstream days;     // one row per simulated day
};

void measure_day(Tables& tables, const std::string& day, const std::string& variant,
                 Options options) {
    options.zone_failover.enabled = variant == "on";
    std::uint64_t seed = options.seed;
    World world(std::move(options));
    world.run();
    for (const auto& [job_class, times] : restart_times_by_class(world, kLossAt, "a")) {
        for (Ms at : times) {
            tables.moved << day << ',' << variant << ',' << seed << ',' << job_class << ','
                         << seconds(at - kLossAt) << '\n';
        }
    }
    for (const FetchEvent& fetch : world.fetches) {
        if (fetch.zone == "a" && fetch.at > kLossAt + kLossDuration) {
            tables.fetched << day << ',' << variant << ',' << seed << ','
                           << seconds(fetch.at - kLossAt - kLossDuration) << ',' << fetch.in_zone
                           << ',' << fetch.on_machine << '\n';
        }
    }
    auto [in_zone, on_machine] = max_concurrent_fetches(world);
    tables.days << day << ',' << variant << ',' << seed << ',' << world.jobs_done << ','
                << count_restarts(world) << ',' << in_zone << ',' << on_machine << ','
                << world.violations.size() << '\n';
}

}  // namespace
}  // namespace walkford::standin

int main(int argc, char** argv) {
    using namespace walkford::standin;
    if (argc != 3) {
        std::cerr << "usage: zone_failover_measure DIRECTORY SEEDS\n";
        return kUsageErrorExitCode;
    }
    spdlog::set_level(spdlog::level::off);
    std::string directory = argv[1];
    std::uint64_t seeds = std::strtoull(argv[2], nullptr, 10);
    Tables tables{std::ofstream(directory + "/moved.csv"),
                  std::ofstream(directory + "/fetched.csv"),
                  std::ofstream(directory + "/days.csv")};
    if (!tables.moved || !tables.fetched || !tables.days) {
        std::cerr << "can't open the output files in " << directory << "\n";
        return EXIT_FAILURE;
    }
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const char* variant : {"off", "on"}) {
            measure_day(tables, "warm", variant, evacuation(seed));
            measure_day(tables, "cold", variant, cold_return(seed));
        }
    }
    return EXIT_SUCCESS;
}
