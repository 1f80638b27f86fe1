// The client of the state service, the consensus-backed key-value store: matches responses to
// requests, and keeps this controller's writes within its share of the allowance, those that safety
// depends on first.
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

// Until when a lease of the state service that was granted or renewed is certainly held: counted
// from when that was requested, less clock drift and a margin.
inline Ms lease_valid_until(Ms requested_at, Ms ttl) {
    constexpr Ms kMargin = 200;
    constexpr Ms kDriftDivisor = 1000;
    return requested_at + ttl - ttl / kDriftDivisor - kMargin;
}

// Order of service when the allowance of writes is short, the first one first.
enum class RequestPriority : std::uint8_t { leadership, cancel, accept, placement, done, progress };
inline constexpr std::size_t kRequestPriorities = 6;

// Owned by the ControllerContext, one for each process. The callback of a request runs once, when
// its response comes in; with StoreStatus::no_response the request may have been executed, or may
// be later.
class StoreClient {
  public:
    // Called with the time of the response, and the response.
    using ResponseCallback = std::function<void(Ms, const StoreResponse&)>;

    // `next`: the limits that will replace `current` at an unannounced moment. `controllers`: how
    // many share the allowance, this one included.
    StoreClient(const StoreLimits& current, const std::optional<StoreLimits>& next,
                std::uint32_t controllers);

    // Reads one key. Like all requests but transactions, it is appended to `out` at once.
    void get(const std::string& key, ResponseCallback then, Outputs& out);
    // Reads a page of the keys with that prefix that sort behind `after`.
    void list(const std::string& prefix, const std::string& after, ResponseCallback then,
              Outputs& out);
    // Reads the changes behind revision `after`; waits for one up to `wait` if there is none.
    void changes(std::uint64_t after, Ms wait, ResponseCallback then, Outputs& out);
    // Requests a lease that expires `ttl` after it was last renewed.
    void lease_grant(Ms ttl, ResponseCallback then, Outputs& out);
    // Renews a lease; not_found once it has expired.
    void lease_renew(std::uint64_t lease, ResponseCallback then, Outputs& out);
    // Ends a lease, and with it all keys written on it. Nobody waits for the response.
    void lease_revoke(std::uint64_t lease, Outputs& out);
    // Queues a compare-and-swap; send_queued() sends it when the allowance admits it. One that is
    // refused for the rate is sent again, without the callback seeing it.
    void transaction(RequestPriority priority, Transaction transaction, ResponseCallback then);

    // Takes in a response; one to an unknown call is ignored.
    void reply(Ms now, const StoreResponse& response);
    // Appends to `out` as many of the queued transactions as the allowance admits.
    void send_queued(Ms now, Outputs& out);
    // The leader has a larger share of the allowance.
    void set_leading(bool leading) { leading_ = leading; }

    // When the service last served us, by whatever response but a refusal; -1: never.
    Ms last_reached() const { return last_reached_; }
    // The highest revision in any response: nothing that this process told a user is newer.
    std::uint64_t seen_revision() const { return seen_revision_; }
    // How many requests in a row were refused or left unanswered.
    int consecutive_failures() const { return consecutive_failures_; }
    // How many transactions wait for the allowance.
    std::size_t queued() const;
    // The limits in force, for whoever builds transactions and values.
    const EffectiveStoreLimits& limits() const { return limits_; }

  private:
    // A transaction that was sent, kept to be sent again if it is refused for the rate.
    struct SentTransaction {
        RequestPriority priority = RequestPriority::leadership;
        Transaction transaction;
    };
    // A request without response yet.
    struct Pending {
        ResponseCallback then = {};
        std::optional<SentTransaction> transaction = std::nullopt;
    };
    struct QueuedTransaction {
        Transaction transaction;
        ResponseCallback then;
    };
    void send(StoreRequest request, Pending pending, Outputs& out);
    void send_transaction(RequestPriority priority, Outputs& out);
    void record_contact(Ms now, const StoreResponse& response);
    void requeue(Ms now, Pending pending);
    // This controller's share of the writes that the state service admits, a second.
    double write_rate() const;

    CallId next_call_ = 1;
    std::unordered_map<CallId, Pending> pending_;
    std::array<std::deque<QueuedTransaction>, kRequestPriorities> queues_;
    EffectiveStoreLimits limits_;
    std::uint32_t controllers_;
    double tokens_ = 4;  // of the bucket that limits writes
    Ms refilled_at_ = 0;
    Ms paused_until_ = 0;
    bool leading_ = false;
    Ms last_reached_ = -1;
    std::uint64_t seen_revision_ = 0;
    int consecutive_failures_ = 0;
};

}  // namespace walkford
