// What the parts of one controller's core share.
#pragma once

#include <random>

#include "coordination/io.hpp"
#include "coordination/policy.hpp"
#include "coordination/state_client.hpp"

namespace walkford {

// Pairs replies with what waits for them; a reply to a call that nobody remembers is dropped.
template <typename Reply>
class PendingCalls {
  public:
    using Then = std::function<void(Ms, const Reply&)>;
    CallId open(Then then) {
        CallId id = next_++;
        pending_.emplace(id, std::move(then));
        return id;
    }
    void reply(Ms now, const Reply& reply) {
        auto it = pending_.find(reply.call);
        if (it == pending_.end()) {
            return;
        }
        Then then = std::move(it->second);
        pending_.erase(it);
        then(now, reply);
    }

  private:
    CallId next_ = 1;
    std::unordered_map<CallId, Then> pending_;
};

// Calls to the cloud, paced below its limit; a list of two thousand machines takes several, and
// waits behind what rents and gives back.
class CloudClient {
  public:
    explicit CloudClient(double rps) : rate_(rps * 0.8), tokens_(rate_) {}
    using Then = PendingCalls<CloudResponse>::Then;
    void call(CloudRequest call, Then then) {
        bool reads = call.operation == CloudOperation::list ||
                     call.operation == CloudOperation::list_machine_types;
        (reads ? readings_ : queue_).push_back({std::move(call), std::move(then)});
    }
    void pump(Ms now, Outputs& out) {
        tokens_ = std::min(std::max(1.0, rate_),
                           tokens_ + rate_ * static_cast<double>(now - refilled_) / 1000.0);
        refilled_ = now;
        while (tokens_ >= 1.0) {
            auto& queue = queue_.empty() ? readings_ : queue_;
            if (queue.empty()) {
                break;
            }
            tokens_ -= 1.0;
            auto [call, then] = std::move(queue.front());
            queue.pop_front();
            call.call = pending_.open(std::move(then));
            out.emplace_back(std::move(call));
        }
    }
    void reply(Ms now, const CloudResponse& r) { pending_.reply(now, r); }
    void clear() {
        queue_.clear();
        readings_.clear();
    }

  private:
    double rate_;
    double tokens_;
    Ms refilled_ = 0;
    std::deque<std::pair<CloudRequest, Then>> queue_;
    std::deque<std::pair<CloudRequest, Then>> readings_;
    PendingCalls<CloudResponse> pending_;
};

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
