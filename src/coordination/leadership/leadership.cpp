#include "coordination/leadership/leadership.hpp"

#include <spdlog/spdlog.h>

namespace walkford {

void Leadership::tick(Ms now) {
    if (leading()) {
        if (!renewing_ && now >= renew_at_) {
            renew(now);
        }
        return;
    }
    if (campaigning_ || !watcher_.ready() || context_.newer_than_supported()) {
        return;
    }
    if (context_.replica.leader_version != 0) {
        campaign_at_ = -1;
        return;
    }
    if (campaign_at_ < 0) {
        campaign_at_ = now + context_.jitter(120);
    }
    if (now >= campaign_at_ && now >= stand_back_until_) {
        campaign(now);
    }
}

void Leadership::campaign(Ms now) {
    campaigning_ = true;
    Ms ttl = to_ms(context_.operator_settings.lease_ttl_s);
    context_.store.lease_grant(
        ttl,
        [this, sent = now, ttl](Ms at, const StoreResponse& r) {
            if (r.status != StoreStatus::ok || r.lease == 0) {
                campaigning_ = false;
                campaign_at_ = at + 200 + context_.jitter(300);
                return;
            }
            std::uint64_t lease = r.lease;
            Transaction transaction;
            transaction.comparisons = {{keys::kLeader, 0}};
            transaction.writes = {{keys::kLeader,
                                   encode_leader({context_.platform_settings.controller_name,
                                                  context_.platform_settings.incarnation}),
                                   lease}};
            context_.store.transaction(
                RequestPriority::leadership, std::move(transaction),
                [this, lease, sent, ttl](Ms then, const StoreResponse& t) {
                    campaigning_ = false;
                    if (t.status != StoreStatus::ok) {
                        // Lost, or unknown: without its lease a late copy of the write
                        // fails too.
                        context_.store.lease_revoke(lease, context_.out);
                        campaign_at_ = then + 200 + context_.jitter(300);
                        return;
                    }
                    if (t.revision <= known_fencing_token_) {
                        context_.store.lease_revoke(lease, context_.out);
                        campaign_at_ = then + 200;
                        return;
                    }
                    fencing_token_ = t.revision;
                    known_fencing_token_ = fencing_token_;
                    known_leader_ = context_.platform_settings.controller_name;
                    lease_ = lease;
                    valid_until_ = lease_valid_until(sent, ttl);
                    renew_at_ = then + ttl / 4;
                    renewing_ = false;
                    context_.store.set_leading(true);
                    spdlog::info("elected leader with token {}", fencing_token_);
                    if (on_elected) {
                        on_elected(then);
                    }
                });
        },
        context_.out);
}

void Leadership::renew(Ms now) {
    renewing_ = true;
    Ms ttl = to_ms(context_.operator_settings.lease_ttl_s);
    context_.store.lease_renew(
        lease_,
        [this, sent = now, ttl, fencing_token = fencing_token_](Ms at, const StoreResponse& r) {
            if (fencing_token != fencing_token_) {
                return;
            }
            renewing_ = false;
            if (r.status == StoreStatus::ok) {
                valid_until_ = std::max(valid_until_, lease_valid_until(sent, ttl));
                renew_at_ = sent + ttl / 4;
            } else if (r.status == StoreStatus::not_found) {
                depose(at, "lease ended");
            } else {
                renew_at_ = at + 200;
            }
        },
        context_.out);
}

void Leadership::replica_changed(Ms now) {
    std::uint64_t version = context_.replica.leader_version;
    if (version > known_fencing_token_ && context_.replica.leader) {
        observe_fencing_token(now, version, context_.replica.leader->controller);
    }
    if (leading() && context_.replica.revision() >= fencing_token_ && version != fencing_token_) {
        depose(now, "leader key gone");
    }
}

void Leadership::observe_fencing_token(Ms now, std::uint64_t fencing_token,
                                       const std::string& leader) {
    if (fencing_token < known_fencing_token_) {
        return;
    }
    if (fencing_token > known_fencing_token_) {
        known_fencing_token_ = fencing_token;
        known_leader_ = leader;
        if (leading() && fencing_token > fencing_token_) {
            depose(now, "a higher token is in force");
        }
    } else if (known_leader_.empty()) {
        known_leader_ = leader;
    }
}

void Leadership::depose(Ms now, const char* why) {
    if (!leading()) {
        return;
    }
    spdlog::info("no longer leader with token {}: {}", fencing_token_, why);
    fencing_token_ = 0;
    if (known_leader_ == context_.platform_settings.controller_name) {
        known_leader_.clear();
    }
    context_.store.lease_revoke(lease_, context_.out);
    context_.store.set_leading(false);
    campaign_at_ = -1;
    if (on_deposed) {
        on_deposed(now);
    }
}

}  // namespace walkford
