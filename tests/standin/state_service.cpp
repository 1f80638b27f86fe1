#include "standin/state_service.hpp"

#include <algorithm>

namespace walkford::standin {

void StateService::log(Ms now, StateRow row) {
    log_.push_back(std::move(row));
    logged_at_.push_back(now);
}

void StateService::store(const std::map<std::string, Json>& values) {
    for (const auto& [key, value] : values) {
        rows_[key] = {value, ++revision_, 0};
        log(0, {key, value, revision_});
    }
}

std::vector<std::pair<Ms, Json>> StateService::history(const std::string& key) const {
    std::vector<std::pair<Ms, Json>> values;
    for (std::size_t i = 0; i < log_.size(); ++i) {
        if (log_[i].key == key && log_[i].value) {
            values.emplace_back(logged_at_[i], *log_[i].value);
        }
    }
    return values;
}

bool StateService::serves(const std::string& node, Ms now) const {
    auto refused = refused_until_.find(node);
    return !in_outage(now) && (refused == refused_until_.end() || now >= refused->second);
}

void StateService::begin_outage(Ms now, Ms span) {
    out_until_ = now + span;
    for (auto& [id, lease] : leases_) {
        lease.until = std::max(lease.until, out_until_ + lease.ttl);
    }
}

void StateService::drop_lease(Ms now, std::uint64_t lease) {
    leases_.erase(lease);
    for (auto row = rows_.begin(); row != rows_.end();) {
        if (row->second.lease != lease) {
            ++row;
            continue;
        }
        log(now, {row->first, std::nullopt, ++revision_});
        row = rows_.erase(row);
    }
}

void StateService::expire(Ms now) {
    if (in_outage(now)) {
        return;
    }
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : leases_) {
        if (now > lease.until) {
            over.push_back(id);
        }
    }
    for (std::uint64_t id : over) {
        drop_lease(now, id);
    }
}

void StateService::get(const std::string& key, StateReply& reply) const {
    auto row = rows_.find(key);
    if (row == rows_.end()) {
        reply.status = 404;
        return;
    }
    reply.rows.push_back({key, row->second.value, row->second.stamp});
}

void StateService::list(const StateCall& call, StateReply& reply) const {
    for (const auto& [key, row] : rows_) {
        if (key.rfind(call.key, 0) != 0 || key <= call.after_key) {
            continue;
        }
        if (reply.rows.size() == kPageSize) {
            reply.more = true;
            return;
        }
        reply.rows.push_back({key, row.value, row.stamp});
    }
}

bool StateService::within_size(const Txn& txn) const {
    constexpr std::size_t kConditionsPerOp = 4;
    constexpr std::size_t kMostBytes = 65536;
    std::size_t all = 0;
    for (const Write& write : txn.writes) {
        std::size_t bytes = write.value ? write.value->dump().size() : 0;
        if (static_cast<double>(bytes) > limits_.value_kb * 1024.0) {
            return false;
        }
        all += bytes + write.key.size();
    }
    return all <= kMostBytes && txn.writes.size() <= limits_.txn_ops &&
           txn.conditions.size() <= kConditionsPerOp * limits_.txn_ops;
}

bool StateService::within_rate(Ms now, std::size_t changes) {
    double earned = limits_.writes_per_s * static_cast<double>(now - allowance_at_) / 1000.0;
    allowance_ = std::min(limits_.writes_per_s, allowance_ + earned);
    allowance_at_ = now;
    if (allowance_ < static_cast<double>(changes)) {
        return false;
    }
    allowance_ -= static_cast<double>(changes);
    return true;
}

void StateService::transact(Ms now, const Txn& txn, StateReply& reply) {
    if (!within_size(txn)) {
        ++refused_for_size;
        reply.status = 400;
        return;
    }
    if (!within_rate(now, txn.writes.size())) {
        ++refused_for_rate;
        reply.status = 429;
        return;
    }
    for (const Condition& condition : txn.conditions) {
        auto row = rows_.find(condition.key);
        std::uint64_t stamp = row == rows_.end() ? 0 : row->second.stamp;
        if (stamp != condition.stamp) {
            reply.failed.push_back(condition.key);
        }
    }
    if (!reply.failed.empty()) {
        reply.status = 409;
        return;
    }
    bool lease_over = std::any_of(txn.writes.begin(), txn.writes.end(), [this](const Write& w) {
        return w.lease != 0 && leases_.count(w.lease) == 0;
    });
    if (lease_over) {
        reply.status = 400;
        return;
    }
    ++revision_;
    for (const Write& write : txn.writes) {
        if (write.value) {
            rows_[write.key] = {*write.value, revision_, write.lease};
            log(now, {write.key, *write.value, revision_});
        } else if (rows_.erase(write.key) > 0) {
            log(now, {write.key, std::nullopt, revision_});
        }
    }
    reply.revision = revision_;
}

StateReply StateService::execute(Ms now, const std::string& node, const StateCall& call) {
    StateReply reply;
    reply.call = call.call;
    expire(now);
    if (!serves(node, now)) {
        reply.status = 503;
        return reply;
    }
    reply.status = 200;
    reply.revision = revision_;
    switch (call.verb) {
        case StateVerb::get:
            get(call.key, reply);
            break;
        case StateVerb::list:
            list(call, reply);
            break;
        case StateVerb::changes:
            std::copy_if(log_.begin(), log_.end(), std::back_inserter(reply.rows),
                         [&call](const StateRow& row) { return row.stamp > call.after; });
            break;
        case StateVerb::lease_grant:
            reply.lease = next_lease_++;
            leases_[reply.lease] = {call.ttl_ms, now + call.ttl_ms};
            break;
        case StateVerb::lease_touch: {
            auto lease = leases_.find(call.lease);
            if (lease == leases_.end()) {
                reply.status = 404;
            } else {
                lease->second.until = now + lease->second.ttl;
            }
            break;
        }
        case StateVerb::lease_drop:
            drop_lease(now, call.lease);
            break;
        case StateVerb::txn:
            transact(now, call.txn, reply);
            break;
    }
    return reply;
}

}  // namespace walkford::standin
