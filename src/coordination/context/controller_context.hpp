// What the modules of one controller share: settings, the replica of the store, clients, outputs.
#pragma once

#include <functional>
#include <random>

#include "coordination/context/cloud_client.hpp"
#include "coordination/context/pending_calls.hpp"
#include "coordination/settings/operator_settings.hpp"
#include "coordination/settings/platform_settings.hpp"
#include "coordination/store/store_client.hpp"
#include "coordination/store/store_replica.hpp"

namespace walkford {

// Owned by the Controller; every module below it holds a reference. Lives as long as the process.
struct ControllerContext {
    ControllerContext(PlatformSettings p, OperatorSettings q, std::uint64_t seed)
        : platform_settings(std::move(p)),
          operator_settings(std::move(q)),
          replica(names),
          store(platform_settings.store_limits, platform_settings.next_store_limits,
                static_cast<std::uint32_t>(platform_settings.peers.size() + 1)),
          cloud(platform_settings.cloud_rps),
          rng(seed) {
        for (const Team& t : platform_settings.teams) {
            names.teams.intern(t.name);
        }
        for (const std::string& z : platform_settings.zones) {
            names.zones.intern(z);
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
    Outputs out;

    // Reads microseconds spent; injected, so that tests stay the same every time.
    std::function<std::int64_t()> stopwatch = [] { return 0; };

    bool may_write(std::uint32_t feature) const {
        return cluster_level >= feature && platform_settings.feature_level >= feature;
    }
    // All controllers once ran a later version than this one.
    bool newer_than_supported() const { return cluster_level > platform_settings.feature_level; }

    // How long after a proof of the view a report may be answered: by cancel_s after it, all leases
    // that such an answer renews are over. (A lease, drift, and what report and answer take on
    // their way.)
    Ms cancel_span() const {
        constexpr Ms kOnTheWay = 2500;
        Ms span = to_ms(platform_settings.cancel_s) - with_drift(to_ms(platform_settings.lease_s)) -
                  kOnTheWay;
        return std::max<Ms>(0, span);
    }

    Ms jitter(Ms most) { return std::uniform_int_distribution<Ms>(0, most)(rng); }
};

}  // namespace walkford
