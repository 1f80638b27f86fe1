#include "coordination/leadership/lease_relay.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
constexpr Ms kLeaseTtl = 4000;
constexpr Ms kRetry = 1000;
constexpr Ms kRetryRenewal = 200;
constexpr Ms kConfirmInterval = 1000;
constexpr Ms kConfirmationValidFor = 5000;  // no answer on a proof of the view older than this
constexpr Ms kAskedLately = 10000;
}  // namespace

bool LeaseRelay::wanted(Ms now, bool leader_silent) const {
    return leader_silent && context_.may_write(kFeatureServices) &&
           !context_.platform_settings.zone.empty() && context_.replica.leader_version != 0 &&
           asked_at_ >= 0 && now < asked_at_ + kAskedLately;
}

void LeaseRelay::tick(Ms now, bool leader_silent) {
    if (fencing_token_ != 0) {
        if (!wanted(now, leader_silent) || context_.replica.leader_version != fencing_token_ ||
            now >= valid_until_) {
            end();
            return;
        }
        if (!renewing_ && now >= renew_at_) {
            renew(now);
        }
        if (now >= confirm_at_) {
            confirm_at_ = now + kConfirmInterval;
            watcher_.barrier(now, [](Ms, bool) {});
        }
        return;
    }
    if (!beginning_ && now >= retry_at_ && wanted(now, leader_silent)) {
        begin(now);
    }
}

void LeaseRelay::begin(Ms now) {
    beginning_ = true;
    context_.store.lease_grant(
        kLeaseTtl,
        [this, sent = now, fencing_token = context_.replica.leader_version](
            Ms at, const StoreResponse& reply) {
            if (reply.status == StoreStatus::ok && reply.lease != 0) {
                announce(sent, reply.lease, fencing_token);
                return;
            }
            beginning_ = false;
            retry_at_ = at + kRetry;
        },
        context_.out);
}

void LeaseRelay::announce(Ms sent, std::uint64_t lease, std::uint64_t fencing_token) {
    const std::string key = keys::relay(context_.platform_settings.controller_name);
    auto known = context_.replica.relays.find(context_.platform_settings.controller_name);
    std::uint64_t version = known == context_.replica.relays.end() ? 0 : known->second.version;
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, fencing_token}, {key, version}};
    transaction.writes = {
        {key, encode_relay({fencing_token, context_.platform_settings.zone}), lease}};
    context_.store.transaction(
        RequestPriority::leadership, std::move(transaction),
        [this, sent, lease, fencing_token](Ms at, const StoreResponse& reply) {
            beginning_ = false;
            if (reply.status != StoreStatus::ok) {
                // Without its lease a late copy of the write fails too.
                context_.store.lease_revoke(lease, context_.out);
                retry_at_ = at + kRetry;
                return;
            }
            fencing_token_ = fencing_token;
            lease_ = lease;
            valid_until_ = lease_valid_until(sent, kLeaseTtl);
            renew_at_ = sent + kLeaseTtl / 4;
            renewing_ = false;
            confirm_at_ = at;
            spdlog::info("answering the workers of {} for the leader with token {}",
                         context_.platform_settings.zone, fencing_token);
        });
}

void LeaseRelay::renew(Ms now) {
    renewing_ = true;
    context_.store.lease_renew(
        lease_,
        [this, sent = now, lease = lease_](Ms at, const StoreResponse& reply) {
            if (lease != lease_ || fencing_token_ == 0) {
                return;
            }
            renewing_ = false;
            if (reply.status == StoreStatus::ok) {
                valid_until_ = std::max(valid_until_, lease_valid_until(sent, kLeaseTtl));
                renew_at_ = sent + kLeaseTtl / 4;
            } else if (reply.status == StoreStatus::not_found) {
                end();
            } else {
                renew_at_ = at + kRetryRenewal;
            }
        },
        context_.out);
}

void LeaseRelay::end() {
    spdlog::info("no longer answering workers for the leader with token {}", fencing_token_);
    fencing_token_ = 0;
    context_.store.lease_revoke(lease_, context_.out);
}

bool LeaseRelay::answer(Ms now, const HeartbeatRequest& heartbeat) {
    const WorkerStatus& worker_status = heartbeat.worker_status;
    if (context_.platform_settings.zone.empty() ||
        worker_status.zone != context_.platform_settings.zone) {
        return false;
    }
    asked_at_ = now;
    Ms confirmation_valid_for = std::min(kConfirmationValidFor, context_.cancel_span());
    if (!active(now) || worker_status.fencing_token > fencing_token_ ||
        watcher_.confirmed_at() < 0 || now >= watcher_.confirmed_at() + confirmation_valid_for) {
        return false;
    }
    HeartbeatResponse a;
    a.request = heartbeat.request;
    a.code = 200;
    a.fencing_token = fencing_token_;
    a.commands = stops(worker_status);
    context_.out.emplace_back(std::move(a));
    return true;
}

// What is cancelled or ended has to be gone in time, whether or not the leader can tell.
std::vector<WorkerCommand> LeaseRelay::stops(const WorkerStatus& worker_status) const {
    std::vector<WorkerCommand> commands;
    for (const ReportedTask& task : worker_status.tasks) {
        const StoredJob* job = context_.replica.job(task.job);
        bool live = job && !job->record.cancelled;
        if (!live && task.state != TaskState::exited) {
            commands.push_back({WorkerCommandType::stop, task.job, task.task, task.attempt, 0});
        }
    }
    return commands;
}

}  // namespace walkford
