// Calls to the state service: pairs replies with what waits for them, and keeps this node's writes
// within its share of the allowance, the ones that safety hangs on first.
#pragma once

#include <array>
#include <deque>
#include <functional>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"
#include "coordination/store/effective_store_limits.hpp"

namespace walkford {

// Until when a lease of the state service that was granted or renewed is surely held: counted from
// when that was asked for, less drift and a margin.
inline Ms lease_valid_until(Ms asked_at, Ms ttl) {
    constexpr Ms kMargin = 200;
    return asked_at + ttl - ttl / 1000 - kMargin;
}

// Order of service when the allowance is short.
enum class RequestPriority : std::uint8_t { leadership, cancel, accept, placement, done, progress };
inline constexpr std::size_t kRequestPriorities = 6;

class StoreClient {
  public:
    using Then = std::function<void(Ms, const StoreResponse&)>;

    StoreClient(const StoreLimits& current, const std::optional<StoreLimits>& next,
                std::uint32_t controllers);

    void get(const std::string& key, Then then, Outputs& out);
    void list(const std::string& prefix, const std::string& after, Then then, Outputs& out);
    void changes(std::uint64_t after, Ms wait, Then then, Outputs& out);
    void lease_grant(Ms ttl, Then then, Outputs& out);
    void lease_renew(std::uint64_t lease, Then then, Outputs& out);
    void lease_revoke(std::uint64_t lease, Outputs& out);
    void transaction(RequestPriority priority, Transaction transaction, Then then);

    void reply(Ms now, const StoreResponse& reply);
    void pump(Ms now, Outputs& out);
    void set_leading(bool leading) { leading_ = leading; }

    // When the service last answered anything but a refusal.
    Ms last_reached() const { return last_reached_; }
    // The highest revision in any answer: nothing that this node told a user is newer.
    std::uint64_t seen_revision() const { return seen_revision_; }
    // How many requests in a row were refused or left unanswered.
    int consecutive_failures() const { return consecutive_failures_; }
    std::size_t queued() const;
    const EffectiveStoreLimits& limits() const { return limits_; }

  private:
    struct Pending {
        Then then = {};
        Ms sent = 0;
        std::optional<std::pair<RequestPriority, Transaction>> transaction = std::nullopt;
    };
    struct Queued {
        Transaction transaction;
        Then then;
    };
    CallId open(Pending pending);
    // This node's share of the writes that the state service admits.
    double rate() const;

    CallId next_ = 1;
    Ms clock_ = 0;
    std::unordered_map<CallId, Pending> pending_;
    std::array<std::deque<Queued>, kRequestPriorities> queues_;
    EffectiveStoreLimits limits_;
    std::uint32_t controllers_;
    double tokens_ = 4;
    Ms refilled_ = 0;
    Ms paused_until_ = 0;
    bool leading_ = false;
    Ms last_reached_ = -1;
    std::uint64_t seen_revision_ = 0;
    int consecutive_failures_ = 0;
};

}  // namespace walkford
