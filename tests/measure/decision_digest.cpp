// Prints one hash per scenario of the simulated world. The hash covers all outputs of the
// controllers (calls, commands and responses) and their times, but no log text. A source change
// that is not meant to change a decision must leave every hash unchanged.
//
//     decision_digest [SEEDS]      number of seeds per scenario, 20 by default
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <cstring>
#include <iostream>
#include <type_traits>

#include "standin/zone_loss_scenarios.hpp"

namespace walkford::standin {
namespace {

constexpr std::uint64_t kDefaultSeeds = 20;

// 64-bit FNV-1a hash. Lengths are hashed too, so that moving bytes from one field to an adjacent
// one changes the hash.
class Digest {
  public:
    std::uint64_t value() const { return value_; }

    template <typename... Fields>
    void add_all(const Fields&... fields) {
        (add(fields), ...);
    }
    void add(const std::string& text) {
        add(text.size());
        add_bytes(text.data(), text.size());
    }
    template <typename T>
    void add(const T& number) requires(std::is_arithmetic_v<T> || std::is_enum_v<T>) {
        add_bytes(&number, sizeof number);
    }
    template <typename T>
    void add(const std::vector<T>& items) {
        add(items.size());
        for (const T& item : items) {
            add(item);
        }
    }
    void add(const std::optional<Json>& value) { add(value ? value->dump() : std::string()); }
    void add(const WorkerCommand& command) {
        add_all(command.type, command.job, command.task, command.attempt, command.grace_s);
    }
    void add(const Comparison& comparison) { add_all(comparison.key, comparison.version); }
    void add(const Write& write) {
        add_all(write.key, write.value.has_value(), write.value, write.lease);
    }
    void add(const UserResponse& response) {
        add_all(response.request, response.code, response.id, response.status, response.done,
                response.running, response.with_counts, response.retry_after_s, response.error);
    }
    void add(const HeartbeatResponse& response) {
        add_all(response.request, response.code, response.fencing_token, response.commands,
                response.leader);
    }
    void add(const StoreRequest& request) {
        add_all(request.call, request.operation, request.key, request.after_key, request.after,
                request.wait_ms, request.lease, request.ttl_ms, request.transaction.comparisons,
                request.transaction.writes);
    }
    void add(const CloudRequest& request) {
        add_all(request.call, request.operation, request.request_name, request.machine_type,
                request.zone, request.spot, request.count, request.names, request.after);
    }
    void add(const WorkerRequest& request) {
        add_all(request.call, request.address, request.fencing_token, request.incarnation,
                request.commands);
    }
    void add(const OutgoingPeerHeartbeat& message) {
        const PeerHeartbeat& heartbeat = message.peer_heartbeat;
        add_all(message.peer, heartbeat.controller, heartbeat.incarnation, heartbeat.sequence,
                heartbeat.echo, heartbeat.echo_incarnation, heartbeat.fencing_token,
                heartbeat.leader, heartbeat.ms_since_store_response, heartbeat.revision,
                heartbeat.uptime_ms, heartbeat.ms_since_worker_heartbeat);
    }
    void add(const WakeAt& wake_at) { add(wake_at.at); }
    void add(const Output& output) {
        add(output.index());
        std::visit([this](const auto& message) { add(message); }, output);
    }

  private:
    void add_bytes(const void* data, std::size_t size) {
        constexpr std::uint64_t kPrime = 1099511628211U;
        const auto* bytes = static_cast<const unsigned char*>(data);
        for (std::size_t i = 0; i < size; ++i) {
            value_ = (value_ ^ bytes[i]) * kPrime;
        }
    }

    std::uint64_t value_ = 14695981039346656037U;
};

Options all_faults(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.duration = 120000;
    options.recovery_period = 120000;
    options.services = 4;
    return options;
}

Options rollout(std::uint64_t seed) {
    Options options = all_faults(seed);
    options.rollout_at = 30000;
    options.limits_lowered_at = 60000;
    return options;
}

Options fleet(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.controllers = 5;
    options.jobs = 300;
    options.services = 10;
    options.cloud_machines_per_option = 60;
    options.duration = 150000;
    return options;
}

Options gap(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.cancellation_gap_at = 50000;
    options.gap_restarts_followers = seed % 2 == 0;
    return options;
}

Options outage(std::uint64_t seed) {
    Options options;
    options.seed = seed;
    options.outage_at = 50000;
    options.outage_duration = 40000;
    return options;
}

Options zone_loss(std::uint64_t seed) { return evacuation(seed); }

Options zone_loss_with_faults(std::uint64_t seed) {
    Options options = cold_return(seed);
    options.faults = true;
    options.jobs = 12;
    return options;
}

struct Scenario {
    const char* name;
    Options (*make_options)(std::uint64_t seed);
};
constexpr Scenario kScenarios[] = {
    {"all_troubles", all_faults},
    {"rollout", rollout},
    {"fleet", fleet},
    {"gap", gap},
    {"outage", outage},
    {"zone_loss", zone_loss},
    {"zone_loss_with_troubles", zone_loss_with_faults},
};

std::uint64_t digest_scenario(const Scenario& scenario, std::uint64_t seeds) {
    Digest digest;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Options options = scenario.make_options(seed);
        options.on_outputs = [&digest](Ms now, std::size_t controller, const Outputs& outputs) {
            digest.add_all(now, controller, outputs);
        };
        World world(std::move(options));
        world.run();
    }
    return digest.value();
}

}  // namespace
}  // namespace walkford::standin

int main(int argc, char** argv) {
    using namespace walkford::standin;
    spdlog::set_level(spdlog::level::off);
    std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : kDefaultSeeds;
    for (const Scenario& scenario : kScenarios) {
        std::cout << scenario.name << ' ' << std::hex << digest_scenario(scenario, seeds)
                  << std::dec << std::endl;
    }
    return EXIT_SUCCESS;
}
