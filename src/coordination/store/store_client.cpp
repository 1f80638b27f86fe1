#include "coordination/store/store_client.hpp"

#include <spdlog/fmt/ranges.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
// The allowance is shared by all nodes without asking one another: the leader writes most.
constexpr double kLeaderShare = 0.65;
constexpr double kFollowersShare = 0.3;
constexpr Ms kPauseAfterRefusal = 120;
}  // namespace

StoreClient::StoreClient(const StoreLimits& current, const std::optional<StoreLimits>& next,
                         std::uint32_t controllers)
    : limits_(current, next), controllers_(controllers) {}

double StoreClient::rate() const {
    double allowed = limits_.writes_per_s();
    if (leading_) {
        return std::max(1.0, allowed * kLeaderShare);
    }
    double others = controllers_ > 1 ? kFollowersShare / (controllers_ - 1) : kFollowersShare;
    return std::max(0.5, allowed * others);
}

CallId StoreClient::open(Pending pending) {
    CallId id = next_++;
    pending.sent = clock_;
    pending_.emplace(id, std::move(pending));
    return id;
}

void StoreClient::get(const std::string& key, Then then, Outputs& out) {
    StoreRequest c;
    c.operation = StoreOperation::get;
    c.key = key;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StoreClient::list(const std::string& prefix, const std::string& after, Then then,
                       Outputs& out) {
    StoreRequest c;
    c.operation = StoreOperation::list;
    c.key = prefix;
    c.after_key = after;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StoreClient::changes(std::uint64_t after, Ms wait, Then then, Outputs& out) {
    StoreRequest c;
    c.operation = StoreOperation::changes;
    c.key = keys::kRoot;
    c.after = after;
    c.wait_ms = wait;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StoreClient::lease_grant(Ms ttl, Then then, Outputs& out) {
    StoreRequest c;
    c.operation = StoreOperation::lease_grant;
    c.ttl_ms = ttl;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StoreClient::lease_renew(std::uint64_t lease, Then then, Outputs& out) {
    StoreRequest c;
    c.operation = StoreOperation::lease_renew;
    c.lease = lease;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StoreClient::lease_revoke(std::uint64_t lease, Outputs& out) {
    StoreRequest c;
    c.operation = StoreOperation::lease_revoke;
    c.lease = lease;
    c.call = open({[](Ms, const StoreResponse&) {}});
    out.emplace_back(std::move(c));
}

void StoreClient::transaction(RequestPriority priority, Transaction transaction, Then then) {
    queues_[static_cast<std::size_t>(priority)].push_back(
        {std::move(transaction), std::move(then)});
}

std::size_t StoreClient::queued() const {
    std::size_t n = 0;
    for (const auto& q : queues_) {
        n += q.size();
    }
    return n;
}

void StoreClient::reply(Ms now, const StoreResponse& reply) {
    clock_ = now;
    auto it = pending_.find(reply.call);
    if (it == pending_.end()) {
        return;
    }
    Pending p = std::move(it->second);
    pending_.erase(it);
    if (reply.status != StoreStatus::no_response && reply.status != StoreStatus::unavailable &&
        reply.status != StoreStatus::rate_limited) {
        last_reached_ = now;
        seen_revision_ = std::max(seen_revision_, reply.revision);
        // (The answer about one key names no revision but that of its last change.)
        for (const StoreEntry& row : reply.rows) {
            seen_revision_ = std::max(seen_revision_, row.version);
        }
        consecutive_failures_ = 0;
    } else if (reply.status != StoreStatus::rate_limited) {
        ++consecutive_failures_;
    }
    if (reply.status == StoreStatus::rate_limited) {
        paused_until_ = std::max(paused_until_, now + kPauseAfterRefusal);
        if (p.transaction) {
            if (limits_.refused(now)) {
                spdlog::info("the state service admits fewer changes: {:.1f} a second",
                             limits_.writes_per_s());
            }
            // Not executed: it goes back to the head of its queue.
            queues_[static_cast<std::size_t>(p.transaction->first)].push_front(
                {std::move(p.transaction->second), std::move(p.then)});
            return;
        }
    }
    if (reply.status == StoreStatus::conflict) {
        spdlog::debug("state: {} changed", fmt::join(reply.failed, " "));
    }
    p.then(now, reply);
}

void StoreClient::pump(Ms now, Outputs& out) {
    clock_ = now;
    double allowed = rate();
    double burst = std::max(2.0, allowed * 0.8);
    tokens_ = std::min(burst, tokens_ + allowed * static_cast<double>(now - refilled_) / 1000.0);
    refilled_ = now;
    if (now < paused_until_) {
        return;
    }
    for (std::size_t u = 0; u < kRequestPriorities; ++u) {
        auto& queue = queues_[u];
        while (!queue.empty()) {
            double cost = static_cast<double>(queue.front().transaction.writes.size());
            // A transaction larger than the bucket goes once the bucket is full.
            if (u != 0 && tokens_ < std::min(cost, burst)) {
                return;
            }
            tokens_ -= cost;
            Queued q = std::move(queue.front());
            queue.pop_front();
            StoreRequest c;
            c.operation = StoreOperation::transaction;
            c.transaction = q.transaction;
            c.call = open({std::move(q.then), 0,
                           std::pair{static_cast<RequestPriority>(u), std::move(q.transaction)}});
            out.emplace_back(std::move(c));
        }
    }
}

}  // namespace walkford
