#include "coordination/store/store_client.hpp"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
// The allowance of writes is shared by all controllers without asking one another: the leader
// writes most, the followers have a part each of the rest.
constexpr double kLeaderShare = 0.65;
constexpr double kFollowersShare = 0.3;
constexpr double kMinLeaderWritesPerS = 1.0;
constexpr double kMinFollowerWritesPerS = 0.5;
// Size of the token bucket: this much of the rate, but room for so many writes at least.
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

void StoreClient::send(StoreRequest request, Pending pending, Outputs& out) {
    request.call = next_call_++;
    pending_.emplace(request.call, std::move(pending));
    out.emplace_back(std::move(request));
}

void StoreClient::get(const std::string& key, ResponseCallback then, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::get;
    request.key = key;
    send(std::move(request), {std::move(then)}, out);
}

void StoreClient::list(const std::string& prefix, const std::string& after, ResponseCallback then,
                       Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::list;
    request.key = prefix;
    request.after_key = after;
    send(std::move(request), {std::move(then)}, out);
}

void StoreClient::changes(std::uint64_t after, Ms wait, ResponseCallback then, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::changes;
    request.key = keys::kRoot;
    request.after = after;
    request.wait_ms = wait;
    send(std::move(request), {std::move(then)}, out);
}

void StoreClient::lease_grant(Ms ttl, ResponseCallback then, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::lease_grant;
    request.ttl_ms = ttl;
    send(std::move(request), {std::move(then)}, out);
}

void StoreClient::lease_renew(std::uint64_t lease, ResponseCallback then, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::lease_renew;
    request.lease = lease;
    send(std::move(request), {std::move(then)}, out);
}

void StoreClient::lease_revoke(std::uint64_t lease, Outputs& out) {
    StoreRequest request;
    request.operation = StoreOperation::lease_revoke;
    request.lease = lease;
    send(std::move(request), {[](Ms, const StoreResponse&) {}}, out);
}

void StoreClient::transaction(RequestPriority priority, Transaction transaction,
                              ResponseCallback then) {
    queues_[static_cast<std::size_t>(priority)].push_back(
        {std::move(transaction), std::move(then)});
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
    Pending pending = std::move(entry->second);
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
        spdlog::debug("transaction conflict: {} changed", fmt::join(response.failed, " "));
    }
    pending.then(now, response);
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
    last_reached_ = now;
    seen_revision_ = std::max(seen_revision_, response.revision);
    // The response to a read of one key names no revision but that of the key's last change.
    for (const StoreEntry& row : response.rows) {
        seen_revision_ = std::max(seen_revision_, row.version);
    }
    consecutive_failures_ = 0;
}

// The transaction was not executed: it goes back to the head of its queue.
void StoreClient::requeue(Ms now, Pending pending) {
    if (limits_.record_rate_limit(now)) {
        spdlog::info("the state service admits fewer changes: {:.1f} a second",
                     limits_.writes_per_s());
    }
    SentTransaction& sent = *pending.transaction;
    queues_[static_cast<std::size_t>(sent.priority)].push_front(
        {std::move(sent.transaction), std::move(pending.then)});
}

void StoreClient::send_queued(Ms now, Outputs& out) {
    double rate = write_rate();
    double burst = std::max(kMinBurst, rate * kBurstSeconds);
    tokens_ = std::min(burst, tokens_ + rate * static_cast<double>(now - refilled_at_) / 1000.0);
    refilled_at_ = now;
    if (now < paused_until_) {
        return;
    }
    for (std::size_t index = 0; index < kRequestPriorities; ++index) {
        auto priority = static_cast<RequestPriority>(index);
        auto& queue = queues_[index];
        while (!queue.empty()) {
            auto cost = static_cast<double>(queue.front().transaction.writes.size());
            // A transaction larger than the bucket goes once the bucket is full; what leadership
            // depends on goes at once.
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
         {std::move(queued.then), SentTransaction{priority, std::move(queued.transaction)}}, out);
}

}  // namespace walkford
