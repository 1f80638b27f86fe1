// State shared by the modules of one controller: settings, the replica of the store, clients, and
// the outputs of the current step.
#pragma once

#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "coordination/context/cloud_client.hpp"
#include "coordination/context/pending_calls.hpp"
#include "coordination/settings/operator_settings.hpp"
#include "coordination/settings/platform_settings.hpp"
#include "coordination/store/store_client.hpp"
#include "coordination/store/store_replica.hpp"

namespace walkford {

// Owned by the Controller. Every module of the controller holds a reference to it. Lives as long as
// the process.
struct ControllerContext {
    // `seed`: seeds the generator of random delays. Interns the names of teams and zones in the
    // order of the settings, so that their ids are also indices into the settings.
    ControllerContext(PlatformSettings platform, OperatorSettings operators, std::uint64_t seed)
        : platform_settings(std::move(platform)),
          operator_settings(std::move(operators)),
          replica(names),
          store(platform_settings.store_limits, platform_settings.next_store_limits,
                static_cast<std::uint32_t>(platform_settings.peers.size() + 1)),
          cloud(platform_settings.cloud_requests_per_s),
          rng(seed) {
        for (const Team& team : platform_settings.teams) {
            names.teams.intern(team.name);
        }
        for (const std::string& zone : platform_settings.zones) {
            names.zones.intern(zone);
        }
    }
    PlatformSettings platform_settings;
    OperatorSettings operator_settings;
    Names names;
    StoreReplica replica;
    StoreClient store;
    CloudClient cloud;
    PendingCalls<WorkerResponse> workers;
    std::uint32_t cluster_feature_level =
        kFeatureNone;                        // lowest of all controllers; see FeatureLevel
    std::vector<MachineType> machine_types;  // empty until loaded
    // False while the cloud offers a type that can't be read. A job that fits none of the others
    // may fit that one.
    bool machine_types_complete = true;
    std::mt19937_64 rng;
    Outputs out;  // of the current step

    // Returns a monotonic time in microseconds. It is injected so that tests are reproducible; the
    // default always returns 0.
    std::function<std::int64_t()> stopwatch = [] { return 0; };

    // Whether records in the format of this feature level may be written. They may be only once all
    // controllers can read that format.
    bool may_write(std::uint32_t feature) const {
        return cluster_feature_level >= feature && platform_settings.feature_level >= feature;
    }
    // Whether all controllers have at some time run a later version than this one, so that stored
    // records may have a format that this version can't read.
    bool cluster_needs_newer_version() const {
        return cluster_feature_level > platform_settings.feature_level;
    }

    // How long after the replica was last confirmed to be current a worker's heartbeat may be
    // answered. Such an answer renews the worker's lease, and that lease must expire no later than
    // cancel_s after the confirmation. The span is therefore cancel_s less one lease, the possible
    // clock drift during that lease, and the transit time of the heartbeat and its answer.
    Ms heartbeat_answer_window() const {
        constexpr Ms kHeartbeatTransit = 2500;
        Ms span = to_ms(platform_settings.cancel_s) - with_drift(to_ms(platform_settings.lease_s)) -
                  kHeartbeatTransit;
        return std::max<Ms>(0, span);
    }

    // Draws a random delay between 0 and `most`, inclusive.
    Ms jitter(Ms most) { return std::uniform_int_distribution<Ms>(0, most)(rng); }
};

}  // namespace walkford
