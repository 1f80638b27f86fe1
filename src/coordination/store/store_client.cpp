#include "coordination/store/store_client.hpp"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
// All controllers share the store's write rate limit without coordinating: the leader, which writes
// most, gets a fixed share, and the followers divide a smaller share equally.
constexpr double kLeaderShare = 0.65;
constexpr double kFollowersShare = 0.3;
constexpr double kMinLeaderWritesPerS = 1.0;
constexpr double kMinFollowerWritesPerS = 0.5;
// The token bucket holds this many seconds' worth of writes, but at least kMinBurst writes.
constexpr double kBurstSeconds = 0.8;
constexpr double kMinBurst = 2.0;
constexpr Ms kPauseAfterRateLimit = 120;
}  // namespace

StoreClient::StoreClient(const StoreLimits& current, const std::optional<StoreLimits>& next,
                         std::uint32_t controllers)
    : limits_(current, next), controllers_(controllers) {}

double StoreClient::write_rate() const {
    double allowed = limits_.writes_per_s();
    if (leading_) {
        return std::max(kMinLeaderWritesPerS, allowed * kLeaderShare);
    }
    double share = controllers_ > 1 ? kFollowersShare / (controllers_ - 1) : kFollowersShare;
    return std::max(kMinFollowerWritesPerS, allowed * share);
}

void StoreClient::send(StoreRequest request, PendingRequest pending, Outputs& out) {
    request.call = next_call_++;
    pending_.emplace(request.call, std::move(pending));
    out.emplace_back(std::move(request));
}

void StoreClient::get(const std::string& key, ResponseCallback callback, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::get;
    request.key = key;
    send(std::move(request), {std::move(callback)}, out);
}

void StoreClient::list(const std::string& prefix, const std::string& after,
                       ResponseCallback callback, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::list;
    request.key = prefix;
    request.after_key = after;
    send(std::move(request), {std::move(callback)}, out);
}

void StoreClient::changes(std::uint64_t after, Ms wait, ResponseCallback callback, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::changes;
    request.key = keys::kRoot;
    request.after = after;
    request.wait_ms = wait;
    send(std::move(request), {std::move(callback)}, out);
}

void StoreClient::lease_grant(Ms ttl, ResponseCallback callback, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::lease_grant;
    request.ttl_ms = ttl;
    send(std::move(request), {std::move(callback)}, out);
}

void StoreClient::lease_renew(std::uint64_t lease, ResponseCallback callback, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::lease_renew;
    request.lease = lease;
    send(std::move(request), {std::move(callback)}, out);
}

void StoreClient::lease_revoke(std::uint64_t lease, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::lease_revoke;
    request.lease = lease;
    send(std::move(request), {[](Ms, const StoreResponse&) {}}, out);
}

void StoreClient::transaction(RequestPriority priority, Transaction transaction,
                              ResponseCallback callback) {
    queues_[static_cast<std::size_t>(priority)].push_back(
        {std::move(transaction), std::move(callback)});
}

std::size_t StoreClient::queued() const {
    std::size_t count = 0;
    for (const auto& queue : queues_) {
        count += queue.size();
    }
    return count;
}

void StoreClient::reply(Ms now, const StoreResponse& response) {
    auto entry = pending_.find(response.call);
    if (entry == pending_.end()) {
        return;
    }
    PendingRequest pending = std::move(entry->second);
    pending_.erase(entry);
    record_contact(now, response);
    if (response.status == StoreStatus::rate_limited) {
        paused_until_ = std::max(paused_until_, now + kPauseAfterRateLimit);
        if (pending.transaction) {
            requeue(now, std::move(pending));
            return;
        }
    }
    if (response.status == StoreStatus::conflict) {
        spdlog::debug("transaction rejected: versions of keys {} have changed",
                      fmt::join(response.failed, " "));
    }
    pending.callback(now, response);
}

void StoreClient::record_contact(Ms now, const StoreResponse& response) {
    switch (response.status) {
        case StoreStatus::rate_limited:
            return;
        case StoreStatus::no_response:
        case StoreStatus::unavailable:
            ++consecutive_failures_;
            return;
        default:
            break;
    }
    last_served_at_ = now;
    seen_revision_ = std::max(seen_revision_, response.revision);
    // The response to a read of a single key carries no store revision, only the revision of the
    // key's last change.
    for (const StoreEntry& row : response.rows) {
        seen_revision_ = std::max(seen_revision_, row.version);
    }
    consecutive_failures_ = 0;
}

// A rate-limited transaction was not executed, so it is put back at the head of its queue.
void StoreClient::requeue(Ms now, PendingRequest pending) {
    if (limits_.record_rate_limit(now)) {
        spdlog::info("store write rate limit lowered to {:.1f} writes/s after repeated rejections",
                     limits_.writes_per_s());
    }
    SentTransaction& sent = *pending.transaction;
    queues_[static_cast<std::size_t>(sent.priority)].push_front(
        {std::move(sent.transaction), std::move(pending.callback)});
}

void StoreClient::send_queued(Ms now, Outputs& out) {
    double rate = write_rate();
    double burst = std::max(kMinBurst, rate * kBurstSeconds);
    tokens_ = std::min(burst, tokens_ + rate * static_cast<double>(now - refilled_at_) / 1000.0);
    refilled_at_ = now;
    if (now < paused_until_) {
        return;
    }
    for (std::size_t index = 0; index < kRequestPriorityCount; ++index) {
        auto priority = static_cast<RequestPriority>(index);
        auto& queue = queues_[index];
        while (!queue.empty()) {
            auto cost = static_cast<double>(queue.front().transaction.writes.size());
            // A transaction larger than the bucket is sent once the bucket is full. Transactions
            // that leadership depends on are sent immediately.
            if (priority != RequestPriority::leadership && tokens_ < std::min(cost, burst)) {
                return;
            }
            tokens_ -= cost;
            send_transaction(priority, out);
        }
    }
}

void StoreClient::send_transaction(RequestPriority priority, Outputs& out) {
    auto& queue = queues_[static_cast<std::size_t>(priority)];
    QueuedTransaction queued = std::move(queue.front());
    queue.pop_front();
    StoreRequest request;
    request.operation = StoreOperation::transaction;
    request.transaction = queued.transaction;
    send(std::move(request),
         {std::move(queued.callback), SentTransaction{priority, std::move(queued.transaction)}},
         out);
}

}  // namespace walkford
