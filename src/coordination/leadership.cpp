#include "coordination/leadership.hpp"

#include <spdlog/spdlog.h>

namespace walkford {

void Leadership::tick(Ms now) {
    if (leading()) {
        if (!touching_ && now >= touch_at_) {
            touch(now);
        }
        return;
    }
    if (campaigning_ || !keeper_.ready() || core_.newer_than_supported()) {
        return;
    }
    if (core_.view.leader_stamp != 0) {
        campaign_at_ = -1;
        return;
    }
    if (campaign_at_ < 0) {
        campaign_at_ = now + core_.jitter(120);
    }
    if (now >= campaign_at_ && now >= stand_back_until_) {
        campaign(now);
    }
}

void Leadership::campaign(Ms now) {
    campaigning_ = true;
    Ms ttl = to_ms(core_.policy.lease_ttl_s);
    core_.state.lease_grant(
        ttl,
        [this, sent = now, ttl](Ms at, const StateReply& r) {
            if (r.status != 200 || r.lease == 0) {
                campaigning_ = false;
                campaign_at_ = at + 200 + core_.jitter(300);
                return;
            }
            std::uint64_t lease = r.lease;
            Txn txn;
            txn.conditions = {{keys::kLeader, 0}};
            txn.writes = {{keys::kLeader,
                           encode_leader({core_.platform.node_name, core_.platform.incarnation}),
                           lease}};
            core_.state.txn(Urgency::leadership, std::move(txn),
                            [this, lease, sent, ttl](Ms then, const StateReply& t) {
                                campaigning_ = false;
                                if (t.status != 200) {
                                    // Lost, or unknown: without its lease a late copy of the write
                                    // fails too.
                                    core_.state.lease_drop(lease, core_.out);
                                    campaign_at_ = then + 200 + core_.jitter(300);
                                    return;
                                }
                                if (t.revision <= known_token_) {
                                    core_.state.lease_drop(lease, core_.out);
                                    campaign_at_ = then + 200;
                                    return;
                                }
                                token_ = t.revision;
                                known_token_ = token_;
                                known_leader_ = core_.platform.node_name;
                                lease_ = lease;
                                valid_until_ = lease_held_until(sent, ttl);
                                touch_at_ = then + ttl / 4;
                                touching_ = false;
                                core_.state.set_leading(true);
                                spdlog::info("elected leader with token {}", token_);
                                if (on_elected) {
                                    on_elected(then);
                                }
                            });
        },
        core_.out);
}

void Leadership::touch(Ms now) {
    touching_ = true;
    Ms ttl = to_ms(core_.policy.lease_ttl_s);
    core_.state.lease_touch(
        lease_,
        [this, sent = now, ttl, token = token_](Ms at, const StateReply& r) {
            if (token != token_) {
                return;
            }
            touching_ = false;
            if (r.status == 200) {
                valid_until_ = std::max(valid_until_, lease_held_until(sent, ttl));
                touch_at_ = sent + ttl / 4;
            } else if (r.status == 404) {
                depose(at, "lease ended");
            } else {
                touch_at_ = at + 200;
            }
        },
        core_.out);
}

void Leadership::view_changed(Ms now) {
    std::uint64_t stamp = core_.view.leader_stamp;
    if (stamp > known_token_ && core_.view.leader) {
        heard_token(now, stamp, core_.view.leader->node);
    }
    if (leading() && core_.view.revision() >= token_ && stamp != token_) {
        depose(now, "leader key gone");
    }
}

void Leadership::heard_token(Ms now, std::uint64_t token, const std::string& leader) {
    if (token < known_token_) {
        return;
    }
    if (token > known_token_) {
        known_token_ = token;
        known_leader_ = leader;
        if (leading() && token > token_) {
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
    spdlog::info("no longer leader with token {}: {}", token_, why);
    token_ = 0;
    if (known_leader_ == core_.platform.node_name) {
        known_leader_.clear();
    }
    core_.state.lease_drop(lease_, core_.out);
    core_.state.set_leading(false);
    campaign_at_ = -1;
    if (on_deposed) {
        on_deposed(now);
    }
}

}  // namespace walkford
