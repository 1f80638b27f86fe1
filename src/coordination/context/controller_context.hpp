// What the modules of one controller share: settings, the replica of the state service, clients,
// and the outputs of the current step.
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

// Owned by the Controller; every module below it holds a reference. Lives as long as the process.
struct ControllerContext {
    // `seed`: of the random delays. Interns the names of teams and zones in the order of the
    // settings, so that their ids are indices there.
    ControllerContext(PlatformSettings platform, OperatorSettings operators, std::uint64_t seed)
        : platform_settings(std::move(platform)),
          operator_settings(std::move(operators)),
          replica(names),
          store(platform_settings.store_limits, platform_settings.next_store_limits,
                static_cast<std::uint32_t>(platform_settings.peers.size() + 1)),
          cloud(platform_settings.cloud_rps),
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
    std::uint32_t cluster_level = kFeatureNone;  // the lowest of all controllers, see FeatureLevel
    std::vector<MachineType> machine_types;      // empty: not known yet
    std::mt19937_64 rng;
    Outputs out;  // of the current step

    // Reads microseconds spent; injected, so that tests are reproducible.
    std::function<std::int64_t()> stopwatch = [] { return 0; };

    // May stored forms of that feature level be written? Only once all controllers read them.
    bool may_write(std::uint32_t feature) const {
        return cluster_level >= feature && platform_settings.feature_level >= feature;
    }
    // All controllers once ran a later version than this one.
    bool newer_than_supported() const { return cluster_level > platform_settings.feature_level; }

    // How long after the replica was confirmed a heartbeat may be answered: all leases that such an
    // answer renews are over by cancel_s after the confirmation. (A lease, clock drift, and what
    // heartbeat and answer take on their way.)
    Ms cancel_span() const {
        constexpr Ms kTransit = 2500;
        Ms span = to_ms(platform_settings.cancel_s) - with_drift(to_ms(platform_settings.lease_s)) -
                  kTransit;
        return std::max<Ms>(0, span);
    }

    // Draws a random delay from 0 to `most`.
    Ms jitter(Ms most) { return std::uniform_int_distribution<Ms>(0, most)(rng); }
};

}  // namespace walkford
