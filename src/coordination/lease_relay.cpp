#include "coordination/lease_relay.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kLeaseTtl = 4000;
constexpr Ms kRetry = 1000;
constexpr Ms kRetryRenewal = 200;
constexpr Ms kProveEvery = 1000;
constexpr Ms kProofKept = 5000;  // no answer on a proof of the view older than this
constexpr Ms kAskedLately = 10000;
}  // namespace

bool LeaseRelay::wanted(Ms now, bool leader_silent) const {
    return leader_silent && core_.may_write(kFeatureServices) && !core_.platform.zone.empty() &&
           core_.view.leader_stamp != 0 && asked_at_ >= 0 && now < asked_at_ + kAskedLately;
}

void LeaseRelay::tick(Ms now, bool leader_silent) {
    if (token_ != 0) {
        if (!wanted(now, leader_silent) || core_.view.leader_stamp != token_ ||
            now >= valid_until_) {
            end();
            return;
        }
        if (!renewing_ && now >= renew_at_) {
            renew(now);
        }
        if (now >= prove_at_) {
            prove_at_ = now + kProveEvery;
            keeper_.barrier(now, [](Ms, bool) {});
        }
        return;
    }
    if (!beginning_ && now >= retry_at_ && wanted(now, leader_silent)) {
        begin(now);
    }
}

void LeaseRelay::begin(Ms now) {
    beginning_ = true;
    core_.state.lease_grant(
        kLeaseTtl,
        [this, sent = now, token = core_.view.leader_stamp](Ms at, const StateReply& reply) {
            if (reply.status == 200 && reply.lease != 0) {
                announce(sent, reply.lease, token);
                return;
            }
            beginning_ = false;
            retry_at_ = at + kRetry;
        },
        core_.out);
}

void LeaseRelay::announce(Ms sent, std::uint64_t lease, std::uint64_t token) {
    const std::string key = keys::relay(core_.platform.node_name);
    auto known = core_.view.relays.find(core_.platform.node_name);
    std::uint64_t stamp = known == core_.view.relays.end() ? 0 : known->second.stamp;
    Txn txn;
    txn.conditions = {{keys::kLeader, token}, {key, stamp}};
    txn.writes = {{key, encode_relay({token, core_.platform.zone}), lease}};
    core_.state.txn(Urgency::leadership, std::move(txn),
                    [this, sent, lease, token](Ms at, const StateReply& reply) {
                        beginning_ = false;
                        if (reply.status != 200) {
                            // Without its lease a late copy of the write fails too.
                            core_.state.lease_drop(lease, core_.out);
                            retry_at_ = at + kRetry;
                            return;
                        }
                        token_ = token;
                        lease_ = lease;
                        valid_until_ = lease_held_until(sent, kLeaseTtl);
                        renew_at_ = sent + kLeaseTtl / 4;
                        renewing_ = false;
                        prove_at_ = at;
                        spdlog::info("answering the workers of {} for the leader with token {}",
                                     core_.platform.zone, token);
                    });
}

void LeaseRelay::renew(Ms now) {
    renewing_ = true;
    core_.state.lease_touch(
        lease_,
        [this, sent = now, lease = lease_](Ms at, const StateReply& reply) {
            if (lease != lease_ || token_ == 0) {
                return;
            }
            renewing_ = false;
            if (reply.status == 200) {
                valid_until_ = std::max(valid_until_, lease_held_until(sent, kLeaseTtl));
                renew_at_ = sent + kLeaseTtl / 4;
            } else if (reply.status == 404) {
                end();
            } else {
                renew_at_ = at + kRetryRenewal;
            }
        },
        core_.out);
}

void LeaseRelay::end() {
    spdlog::info("no longer answering workers for the leader with token {}", token_);
    token_ = 0;
    core_.state.lease_drop(lease_, core_.out);
}

bool LeaseRelay::answer(Ms now, const HeartbeatRequest& heartbeat) {
    const WorkerReport& report = heartbeat.report;
    if (core_.platform.zone.empty() || report.zone != core_.platform.zone) {
        return false;
    }
    asked_at_ = now;
    Ms proof_holds = std::min(kProofKept, core_.cancel_span());
    if (!active(now) || report.token > token_ || keeper_.proven_at() < 0 ||
        now >= keeper_.proven_at() + proof_holds) {
        return false;
    }
    HeartbeatAnswer a;
    a.request = heartbeat.request;
    a.code = 200;
    a.token = token_;
    a.orders = stops(report);
    core_.out.emplace_back(std::move(a));
    return true;
}

// What is cancelled or ended has to be gone in time, whether or not the leader can tell.
std::vector<Order> LeaseRelay::stops(const WorkerReport& report) const {
    std::vector<Order> orders;
    for (const ReportedTask& task : report.tasks) {
        const JobView* job = core_.view.job(task.job);
        bool live = job && !job->record.cancelled;
        if (!live && task.state != TaskState::exited) {
            orders.push_back({OrderVerb::halt, task.job, task.task, task.attempt, 0});
        }
    }
    return orders;
}

}  // namespace walkford
