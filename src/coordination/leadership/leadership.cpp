#include "coordination/leadership/leadership.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
// Upper bounds of random delays that keep controllers from campaigning simultaneously.
constexpr Ms kMaxCampaignDelay = 120;
constexpr Ms kMaxCampaignRetryDelay = 300;
constexpr Ms kCampaignRetryDelay = 200;
constexpr Ms kRenewalRetryDelay = 200;
constexpr Ms kRenewalsPerTtl = 4;
}  // namespace

Leadership::Leadership(ControllerContext& context, StoreWatcher& watcher)
    : context_(context), watcher_(watcher) {}

void Leadership::tick(Ms now) {
    if (leading()) {
        if (!renewing_ && now >= renew_at_) {
            renew(now);
        }
        return;
    }
    if (campaigning_ || !watcher_.ready() || context_.cluster_needs_newer_version()) {
        return;
    }
    if (context_.replica.leader_version != 0) {
        campaign_at_ = -1;
        return;
    }
    if (campaign_at_ < 0) {
        campaign_at_ = now + context_.jitter(kMaxCampaignDelay);
    }
    if (now >= campaign_at_ && now >= campaign_postponed_until_) {
        start_campaign(now);
    }
}

void Leadership::start_campaign(Ms now) {
    campaigning_ = true;
    Campaign campaign;
    campaign.started_at = now;
    campaign.ttl = ttl();
    context_.store.lease_grant(
        campaign.ttl,
        [this, campaign](Ms at, const StoreResponse& response) {
            on_lease_granted(at, campaign, response);
        },
        context_.out);
}

void Leadership::on_lease_granted(Ms now, Campaign campaign, const StoreResponse& response) {
    if (response.status != StoreStatus::ok || response.lease == 0) {
        campaigning_ = false;
        campaign_at_ = now + kCampaignRetryDelay + context_.jitter(kMaxCampaignRetryDelay);
        return;
    }
    campaign.lease = response.lease;
    write_leader_key(campaign);
}

void Leadership::write_leader_key(const Campaign& campaign) {
    LeaderRecord record{context_.platform_settings.controller_name,
                        context_.platform_settings.incarnation};
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, 0}};
    transaction.writes = {{keys::kLeader, encode_leader(record), campaign.lease}};
    context_.store.transaction(RequestPriority::leadership, std::move(transaction),
                               [this, campaign](Ms at, const StoreResponse& response) {
                                   on_leader_key_written(at, campaign, response);
                               });
}

void Leadership::on_leader_key_written(Ms now, const Campaign& campaign,
                                       const StoreResponse& response) {
    campaigning_ = false;
    if (response.status != StoreStatus::ok) {
        // Another controller won, or the outcome is unknown. Once the lease is revoked, a copy of
        // this write that arrives late fails as well.
        context_.store.lease_revoke(campaign.lease, context_.out);
        campaign_at_ = now + kCampaignRetryDelay + context_.jitter(kMaxCampaignRetryDelay);
        return;
    }
    if (response.revision <= known_fencing_token_) {
        context_.store.lease_revoke(campaign.lease, context_.out);
        campaign_at_ = now + kCampaignRetryDelay;
        return;
    }
    begin_term(now, campaign, response.revision);
}

void Leadership::begin_term(Ms now, const Campaign& campaign, std::uint64_t fencing_token) {
    fencing_token_ = fencing_token;
    known_fencing_token_ = fencing_token;
    known_leader_ = context_.platform_settings.controller_name;
    lease_ = campaign.lease;
    valid_until_ = lease_valid_until(campaign.started_at, campaign.ttl);
    renew_at_ = now + campaign.ttl / kRenewalsPerTtl;
    renewing_ = false;
    context_.store.set_leading(true);
    spdlog::info("elected as leader with fencing token {}", fencing_token_);
    if (on_elected) {
        on_elected(now);
    }
}

void Leadership::renew(Ms now) {
    renewing_ = true;
    Renewal renewal{now, ttl(), fencing_token_};
    context_.store.lease_renew(
        lease_,
        [this, renewal](Ms at, const StoreResponse& response) {
            on_renewed(at, renewal, response);
        },
        context_.out);
}

void Leadership::on_renewed(Ms now, const Renewal& renewal, const StoreResponse& response) {
    if (renewal.fencing_token != fencing_token_) {
        return;
    }
    renewing_ = false;
    if (response.status == StoreStatus::ok) {
        valid_until_ = std::max(valid_until_, lease_valid_until(renewal.sent_at, renewal.ttl));
        renew_at_ = renewal.sent_at + renewal.ttl / kRenewalsPerTtl;
    } else if (response.status == StoreStatus::not_found) {
        depose(now, "leader lease expired");
    } else {
        renew_at_ = now + kRenewalRetryDelay;
    }
}

void Leadership::replica_changed(Ms now) {
    std::uint64_t version = context_.replica.leader_version;
    if (version > known_fencing_token_ && context_.replica.leader) {
        observe_fencing_token(now, version, context_.replica.leader->controller);
    }
    if (leading() && context_.replica.revision() >= fencing_token_ && version != fencing_token_) {
        depose(now, "leader key deleted");
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
            depose(now, "another controller holds a higher fencing token");
        }
    } else if (known_leader_.empty()) {
        known_leader_ = leader;
    }
}

void Leadership::depose(Ms now, const char* reason) {
    if (!leading()) {
        return;
    }
    spdlog::info("deposed as leader with fencing token {}: {}", fencing_token_, reason);
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
