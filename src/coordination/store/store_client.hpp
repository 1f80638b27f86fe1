// The client of the store, the consensus-backed key-value store. Matches responses to requests,
// keeps this controller's writes within its share of the write rate limit, and sends the writes
// that safety depends on first.
#pragma once

#include <array>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

#include "coordination/messages/inputs.hpp"
#include "coordination/messages/outputs.hpp"
#include "coordination/store/effective_store_limits.hpp"

namespace walkford {

// Returns the time until which a granted or renewed lease is certain to be held. The TTL is counted
// from the time of the request and reduced by the possible clock drift and a safety margin.
inline Ms lease_valid_until(Ms requested_at, Ms ttl) {
    constexpr Ms kMargin = 200;
    constexpr Ms kDriftDivisor = 1000;
    return requested_at + ttl - ttl / kDriftDivisor - kMargin;
}

// Priorities of writes when the write rate limit is reached, highest first.
enum class RequestPriority : std::uint8_t { leadership, cancel, accept, placement, done, progress };
inline constexpr std::size_t kRequestPriorityCount = 6;

// Owned by the ControllerContext; there is one per process. The callback of a request runs once,
// when its response arrives. StoreStatus::no_response means that the request may have been executed
// or may still be executed later.
class StoreClient {
  public:
    // Called with the time of the response, and the response.
    using ResponseCallback = std::function<void(Ms, const StoreResponse&)>;

    // `next`: the limits that replace `current` at an unknown time. `controllers`: the number of
    // controllers that share the write rate limit, including this one.
    StoreClient(const StoreLimits& current, const std::optional<StoreLimits>& next,
                std::uint32_t controllers);

    // Reads one key. All requests except transactions are appended to `out` immediately.
    void get(const std::string& key, ResponseCallback callback, Outputs& out);
    // Reads one page of the keys that have the prefix and sort after `after`.
    void list(const std::string& prefix, const std::string& after, ResponseCallback callback,
              Outputs& out);
    // Reads the changes after revision `after`. If there are none, the store waits up to `wait` for
    // one.
    void changes(std::uint64_t after, Ms wait, ResponseCallback callback, Outputs& out);
    // Requests a lease that expires `ttl` after its last renewal.
    void lease_grant(Ms ttl, ResponseCallback callback, Outputs& out);
    // Renews a lease. The response is not_found if the lease has expired.
    void lease_renew(std::uint64_t lease, ResponseCallback callback, Outputs& out);
    // Revokes a lease, which deletes all keys attached to it. The response is ignored.
    void lease_revoke(std::uint64_t lease, Outputs& out);
    // Queues a compare-and-swap transaction; send_queued() sends it when the rate limit allows. If
    // the store rejects it because of the rate limit, it is sent again without calling the
    // callback.
    void transaction(RequestPriority priority, Transaction transaction, ResponseCallback callback);

    // Handles a response. A response to an unknown call is ignored.
    void reply(Ms now, const StoreResponse& response);
    // Appends as many of the queued transactions to `out` as the rate limit allows.
    void send_queued(Ms now, Outputs& out);
    // Sets whether this controller leads; the leader has a larger share of the write rate limit.
    void set_leading(bool leading) { leading_ = leading; }

    // The time of the last response that shows the store to be available, which excludes
    // unavailable and rate_limited; -1 if there was none.
    Ms last_served_at() const { return last_served_at_; }
    // The highest revision in any response so far. No information that this process has given to a
    // user is newer.
    std::uint64_t seen_revision() const { return seen_revision_; }
    // The number of consecutive requests that got no response or found the store unavailable.
    int consecutive_failures() const { return consecutive_failures_; }
    // The number of transactions that wait for the rate limit.
    std::size_t queued() const;
    // The limits that transactions and values must respect.
    const EffectiveStoreLimits& limits() const { return limits_; }

  private:
    // A transaction in flight, kept so that it can be sent again if it is rate-limited.
    struct SentTransaction {
        RequestPriority priority = RequestPriority::leadership;
        Transaction transaction;
    };
    // A request whose response has not arrived yet.
    struct PendingRequest {
        ResponseCallback callback = {};
        std::optional<SentTransaction> transaction = std::nullopt;
    };
    struct QueuedTransaction {
        Transaction transaction;
        ResponseCallback callback;
    };
    void send(StoreRequest request, PendingRequest pending, Outputs& out);
    void send_transaction(RequestPriority priority, Outputs& out);
    void record_contact(Ms now, const StoreResponse& response);
    void requeue(Ms now, PendingRequest pending);
    // This controller's share of the write rate limit, in writes per second.
    double write_rate() const;

    CallId next_call_ = 1;
    std::unordered_map<CallId, PendingRequest> pending_;
    std::array<std::deque<QueuedTransaction>, kRequestPriorityCount> queues_;
    EffectiveStoreLimits limits_;
    std::uint32_t controllers_;
    double tokens_ = 4;  // of the token bucket that limits writes
    Ms refilled_at_ = 0;
    Ms paused_until_ = 0;
    bool leading_ = false;
    Ms last_served_at_ = -1;
    std::uint64_t seen_revision_ = 0;
    int consecutive_failures_ = 0;
};

}  // namespace walkford
