// Prints one hash a scenario of the simulated world over everything that the controllers put out
// and when: calls, commands, answers. A change of the sources that is not meant to change a
// decision leaves every hash as it was. Log text is not part of it.
//
//     decision_digest [SEEDS]      seeds of each scenario; 20 without it
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <cstring>
#include <iostream>
#include <type_traits>

#include "standin/zone_days.hpp"

namespace walkford::standin {
namespace {

constexpr std::uint64_t kDefaultSeeds = 20;

// FNV-1a over 64 bits; lengths are hashed too, so that neighbouring fields can't be mistaken for
// one another.
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
    void add(const WorkerCommand& o) { add_all(o.type, o.job, o.task, o.attempt, o.grace_s); }
    void add(const Comparison& c) { add_all(c.key, c.version); }
    void add(const Write& w) { add_all(w.key, w.value.has_value(), w.value, w.lease); }
    void add(const UserResponse& a) {
        add_all(a.request, a.code, a.id, a.status, a.done, a.running, a.with_counts,
                a.retry_after_s, a.error);
    }
    void add(const HeartbeatResponse& a) {
        add_all(a.request, a.code, a.fencing_token, a.commands, a.leader);
    }
    void add(const StoreRequest& c) {
        add_all(c.call, c.operation, c.key, c.after_key, c.after, c.wait_ms, c.lease, c.ttl_ms,
                c.transaction.comparisons, c.transaction.writes);
    }
    void add(const CloudRequest& c) {
        add_all(c.call, c.operation, c.request_name, c.machine_type, c.zone, c.spot, c.count,
                c.names, c.after);
    }
    void add(const WorkerRequest& c) {
        add_all(c.call, c.address, c.fencing_token, c.incarnation, c.commands);
    }
    void add(const OutgoingPeerHeartbeat& p) {
        const PeerHeartbeat& f = p.peer_heartbeat;
        add_all(p.peer, f.controller, f.incarnation, f.sequence, f.echo, f.echo_incarnation,
                f.fencing_token, f.leader, f.ms_since_store_response, f.revision, f.uptime_ms,
                f.ms_since_worker_heartbeat);
    }
    void add(const WakeAt& w) { add(w.at); }
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

Options all_troubles(std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.duration = 120000;
    o.calm = 120000;
    o.services = 4;
    return o;
}

Options rollout(std::uint64_t seed) {
    Options o = all_troubles(seed);
    o.rollout_at = 30000;
    o.limits_fall_at = 60000;
    return o;
}

Options fleet(std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.controllers = 5;
    o.jobs = 300;
    o.services = 10;
    o.cloud_room = 60;
    o.duration = 150000;
    return o;
}

Options gap(std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.gap_at = 50000;
    o.gap_restarts = seed % 2 == 0;
    return o;
}

Options outage(std::uint64_t seed) {
    Options o;
    o.seed = seed;
    o.outage_at = 50000;
    o.outage_for = 40000;
    return o;
}

Options zone_loss(std::uint64_t seed) { return evacuation(seed); }

Options zone_loss_with_troubles(std::uint64_t seed) {
    Options o = cold_return(seed);
    o.faults = true;
    o.jobs = 12;
    return o;
}

struct Scenario {
    const char* name;
    Options (*options)(std::uint64_t seed);
};
constexpr Scenario kScenarios[] = {
    {"all_troubles", all_troubles},
    {"rollout", rollout},
    {"fleet", fleet},
    {"gap", gap},
    {"outage", outage},
    {"zone_loss", zone_loss},
    {"zone_loss_with_troubles", zone_loss_with_troubles},
};

std::uint64_t digest_of(const Scenario& scenario, std::uint64_t seeds) {
    Digest digest;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        Options options = scenario.options(seed);
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
        std::cout << scenario.name << ' ' << std::hex << digest_of(scenario, seeds) << std::dec
                  << std::endl;
    }
    return EXIT_SUCCESS;
}
