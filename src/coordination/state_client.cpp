#include "coordination/state_client.hpp"

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

StateClient::StateClient(const StateLimits& current, const std::optional<StateLimits>& next,
                         std::uint32_t nodes)
    : limits_(current, next), nodes_(nodes) {}

double StateClient::rate() const {
    double allowed = limits_.writes_per_s();
    if (leading_) {
        return std::max(1.0, allowed * kLeaderShare);
    }
    double others = nodes_ > 1 ? kFollowersShare / (nodes_ - 1) : kFollowersShare;
    return std::max(0.5, allowed * others);
}

CallId StateClient::open(Pending pending) {
    CallId id = next_++;
    pending.sent = clock_;
    pending_.emplace(id, std::move(pending));
    return id;
}

void StateClient::get(const std::string& key, Then then, Outputs& out) {
    StateCall c;
    c.verb = StateVerb::get;
    c.key = key;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StateClient::list(const std::string& prefix, const std::string& after, Then then,
                       Outputs& out) {
    StateCall c;
    c.verb = StateVerb::list;
    c.key = prefix;
    c.after_key = after;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StateClient::changes(std::uint64_t after, Ms wait, Then then, Outputs& out) {
    StateCall c;
    c.verb = StateVerb::changes;
    c.key = keys::kRoot;
    c.after = after;
    c.wait_ms = wait;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StateClient::lease_grant(Ms ttl, Then then, Outputs& out) {
    StateCall c;
    c.verb = StateVerb::lease_grant;
    c.ttl_ms = ttl;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StateClient::lease_touch(std::uint64_t lease, Then then, Outputs& out) {
    StateCall c;
    c.verb = StateVerb::lease_touch;
    c.lease = lease;
    c.call = open({std::move(then)});
    out.emplace_back(std::move(c));
}

void StateClient::lease_drop(std::uint64_t lease, Outputs& out) {
    StateCall c;
    c.verb = StateVerb::lease_drop;
    c.lease = lease;
    c.call = open({[](Ms, const StateReply&) {}});
    out.emplace_back(std::move(c));
}

void StateClient::txn(Urgency urgency, Txn txn, Then then) {
    queues_[static_cast<std::size_t>(urgency)].push_back({std::move(txn), std::move(then)});
}

std::size_t StateClient::queued() const {
    std::size_t n = 0;
    for (const auto& q : queues_) {
        n += q.size();
    }
    return n;
}

void StateClient::reply(Ms now, const StateReply& reply) {
    clock_ = now;
    auto it = pending_.find(reply.call);
    if (it == pending_.end()) {
        return;
    }
    Pending p = std::move(it->second);
    pending_.erase(it);
    if (reply.status != 0 && reply.status != 503 && reply.status != 429) {
        last_reached_ = now;
        seen_revision_ = std::max(seen_revision_, reply.revision);
        // (The answer about one key names no revision but that of its last change.)
        for (const StateRow& row : reply.rows) {
            seen_revision_ = std::max(seen_revision_, row.stamp);
        }
        refused_ = 0;
    } else if (reply.status != 429) {
        ++refused_;
    }
    if (reply.status == 429) {
        held_until_ = std::max(held_until_, now + kPauseAfterRefusal);
        if (p.txn) {
            if (limits_.refused(now)) {
                spdlog::info("the state service admits fewer changes: {:.1f} a second",
                             limits_.writes_per_s());
            }
            // Not executed: it goes back to the head of its queue.
            queues_[static_cast<std::size_t>(p.txn->first)].push_front(
                {std::move(p.txn->second), std::move(p.then)});
            return;
        }
    }
    if (reply.status == 409) {
        spdlog::debug("state: {} changed", fmt::join(reply.failed, " "));
    }
    p.then(now, reply);
}

void StateClient::pump(Ms now, Outputs& out) {
    clock_ = now;
    double allowed = rate();
    double burst = std::max(2.0, allowed * 0.8);
    tokens_ = std::min(burst, tokens_ + allowed * static_cast<double>(now - refilled_) / 1000.0);
    refilled_ = now;
    if (now < held_until_) {
        return;
    }
    for (std::size_t u = 0; u < kUrgencies; ++u) {
        auto& queue = queues_[u];
        while (!queue.empty()) {
            double cost = static_cast<double>(queue.front().txn.writes.size());
            // A transaction larger than the bucket goes once the bucket is full.
            if (u != 0 && tokens_ < std::min(cost, burst)) {
                return;
            }
            tokens_ -= cost;
            Queued q = std::move(queue.front());
            queue.pop_front();
            StateCall c;
            c.verb = StateVerb::txn;
            c.txn = q.txn;
            c.call =
                open({std::move(q.then), 0, std::pair{static_cast<Urgency>(u), std::move(q.txn)}});
            out.emplace_back(std::move(c));
        }
    }
}

}  // namespace walkford
