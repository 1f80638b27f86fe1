#include "standin/key_value_store.hpp"

#include <algorithm>

namespace walkford::standin {

void KeyValueStore::log(Ms now, StoreEntry row) {
    log_.push_back(std::move(row));
    logged_at_.push_back(now);
}

void KeyValueStore::store(const std::map<std::string, Json>& values) {
    for (const auto& [key, value] : values) {
        rows_[key] = {value, ++revision_, 0};
        log(0, {key, value, revision_});
    }
}

std::vector<std::pair<Ms, Json>> KeyValueStore::history(const std::string& key) const {
    std::vector<std::pair<Ms, Json>> values;
    for (std::size_t i = 0; i < log_.size(); ++i) {
        if (log_[i].key == key && log_[i].value) {
            values.emplace_back(logged_at_[i], *log_[i].value);
        }
    }
    return values;
}

bool KeyValueStore::serves(const std::string& controller, Ms now) const {
    auto refused = refused_until_.find(controller);
    return !in_outage(now) && (refused == refused_until_.end() || now >= refused->second);
}

void KeyValueStore::begin_outage(Ms now, Ms span) {
    out_until_ = now + span;
    for (auto& [id, lease] : leases_) {
        lease.until = std::max(lease.until, out_until_ + lease.ttl);
    }
}

void KeyValueStore::drop_lease(Ms now, std::uint64_t lease) {
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

void KeyValueStore::expire(Ms now) {
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

void KeyValueStore::get(const std::string& key, StoreResponse& reply) const {
    auto row = rows_.find(key);
    if (row == rows_.end()) {
        reply.status = StoreStatus::not_found;
        return;
    }
    reply.rows.push_back({key, row->second.value, row->second.version});
}

void KeyValueStore::list(const StoreRequest& call, StoreResponse& reply) const {
    for (const auto& [key, row] : rows_) {
        if (key.rfind(call.key, 0) != 0 || key <= call.after_key) {
            continue;
        }
        if (reply.rows.size() == kPageSize) {
            reply.more = true;
            return;
        }
        reply.rows.push_back({key, row.value, row.version});
    }
}

bool KeyValueStore::within_size(const Transaction& transaction) const {
    constexpr std::size_t kConditionsPerOp = 4;
    constexpr std::size_t kMostBytes = 65536;
    std::size_t all = 0;
    for (const Write& write : transaction.writes) {
        std::size_t bytes = write.value ? write.value->dump().size() : 0;
        if (static_cast<double>(bytes) > limits_.value_kb * 1024.0) {
            return false;
        }
        all += bytes + write.key.size();
    }
    return all <= kMostBytes && transaction.writes.size() <= limits_.transaction_operations &&
           transaction.comparisons.size() <= kConditionsPerOp * limits_.transaction_operations;
}

bool KeyValueStore::within_rate(Ms now, std::size_t changes) {
    double earned = limits_.writes_per_s * static_cast<double>(now - allowance_at_) / 1000.0;
    allowance_ = std::min(limits_.writes_per_s, allowance_ + earned);
    allowance_at_ = now;
    if (allowance_ < static_cast<double>(changes)) {
        return false;
    }
    allowance_ -= static_cast<double>(changes);
    return true;
}

void KeyValueStore::transact(Ms now, const Transaction& transaction, StoreResponse& reply) {
    if (!within_size(transaction)) {
        ++refused_for_size;
        reply.status = StoreStatus::too_large;
        return;
    }
    if (!within_rate(now, transaction.writes.size())) {
        ++refused_for_rate;
        reply.status = StoreStatus::rate_limited;
        return;
    }
    for (const Comparison& condition : transaction.comparisons) {
        auto row = rows_.find(condition.key);
        std::uint64_t version = row == rows_.end() ? 0 : row->second.version;
        if (version != condition.version) {
            reply.failed.push_back(condition.key);
        }
    }
    if (!reply.failed.empty()) {
        reply.status = StoreStatus::conflict;
        return;
    }
    bool lease_over =
        std::any_of(transaction.writes.begin(), transaction.writes.end(),
                    [this](const Write& w) { return w.lease != 0 && leases_.count(w.lease) == 0; });
    if (lease_over) {
        reply.status = StoreStatus::too_large;
        return;
    }
    ++revision_;
    for (const Write& write : transaction.writes) {
        if (write.value) {
            rows_[write.key] = {*write.value, revision_, write.lease};
            log(now, {write.key, *write.value, revision_});
        } else if (rows_.erase(write.key) > 0) {
            log(now, {write.key, std::nullopt, revision_});
        }
    }
    reply.revision = revision_;
}

StoreResponse KeyValueStore::execute(Ms now, const std::string& controller,
                                     const StoreRequest& call) {
    StoreResponse reply;
    reply.call = call.call;
    expire(now);
    if (!serves(controller, now)) {
        reply.status = StoreStatus::unavailable;
        return reply;
    }
    reply.status = StoreStatus::ok;
    reply.revision = revision_;
    switch (call.operation) {
        case StoreOperation::get:
            get(call.key, reply);
            break;
        case StoreOperation::list:
            list(call, reply);
            break;
        case StoreOperation::changes:
            std::copy_if(log_.begin(), log_.end(), std::back_inserter(reply.rows),
                         [&call](const StoreEntry& row) { return row.version > call.after; });
            break;
        case StoreOperation::lease_grant:
            reply.lease = next_lease_++;
            leases_[reply.lease] = {call.ttl_ms, now + call.ttl_ms};
            break;
        case StoreOperation::lease_renew: {
            auto lease = leases_.find(call.lease);
            if (lease == leases_.end()) {
                reply.status = StoreStatus::not_found;
            } else {
                lease->second.until = now + lease->second.ttl;
            }
            break;
        }
        case StoreOperation::lease_revoke:
            drop_lease(now, call.lease);
            break;
        case StoreOperation::transaction:
            transact(now, call.transaction, reply);
            break;
    }
    return reply;
}

}  // namespace walkford::standin
