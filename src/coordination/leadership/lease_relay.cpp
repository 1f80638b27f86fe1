#include "coordination/leadership/lease_relay.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/messages/http_status.hpp"

namespace walkford {

namespace {
constexpr Ms kLeaseTtl = 4000;
constexpr Ms kRetryDelay = 1000;
constexpr Ms kRenewalRetryDelay = 200;
constexpr Ms kRenewInterval = kLeaseTtl / 4;
constexpr Ms kConfirmInterval = 1000;
// No heartbeat is answered if the replica was last confirmed longer ago than this.
constexpr Ms kConfirmationValidFor = 5000;
// The relay stops once no worker of the zone has sent a heartbeat for this long.
constexpr Ms kIdleTimeout = 10000;
}  // namespace

LeaseRelay::LeaseRelay(ControllerContext& context, StoreWatcher& watcher)
    : context_(context), watcher_(watcher) {}

bool LeaseRelay::should_relay(Ms now, bool leader_silent) const {
    return leader_silent && context_.may_write(kFeatureServices) &&
           !context_.platform_settings.zone.empty() && context_.replica.leader_version != 0 &&
           worker_heartbeat_at_ >= 0 && now < worker_heartbeat_at_ + kIdleTimeout;
}

void LeaseRelay::tick(Ms now, bool leader_silent) {
    if (fencing_token_ == 0) {
        if (!starting_ && now >= retry_at_ && should_relay(now, leader_silent)) {
            start(now);
        }
        return;
    }
    if (!should_relay(now, leader_silent) || context_.replica.leader_version != fencing_token_ ||
        now >= valid_until_) {
        stop();
        return;
    }
    maintain(now);
}

void LeaseRelay::maintain(Ms now) {
    if (!renewing_ && now >= renew_at_) {
        renew(now);
    }
    if (now >= confirm_at_) {
        confirm_at_ = now + kConfirmInterval;
        watcher_.barrier(now, [](Ms, bool) {});
    }
}

void LeaseRelay::start(Ms now) {
    starting_ = true;
    Attempt attempt;
    attempt.sent_at = now;
    attempt.fencing_token = context_.replica.leader_version;
    context_.store.lease_grant(
        kLeaseTtl,
        [this, attempt](Ms at, const StoreResponse& response) {
            on_lease_granted(at, attempt, response);
        },
        context_.out);
}

void LeaseRelay::on_lease_granted(Ms now, Attempt attempt, const StoreResponse& response) {
    if (response.status != StoreStatus::ok || response.lease == 0) {
        starting_ = false;
        retry_at_ = now + kRetryDelay;
        return;
    }
    attempt.lease = response.lease;
    write_relay_record(attempt);
}

void LeaseRelay::write_relay_record(const Attempt& attempt) {
    const std::string& controller = context_.platform_settings.controller_name;
    const std::string key = keys::relay(controller);
    auto stored = context_.replica.relays.find(controller);
    std::uint64_t version = stored == context_.replica.relays.end() ? 0 : stored->second.version;
    RelayRecord record{attempt.fencing_token, context_.platform_settings.zone};
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, attempt.fencing_token}, {key, version}};
    transaction.writes = {{key, encode_relay(record), attempt.lease}};
    context_.store.transaction(RequestPriority::leadership, std::move(transaction),
                               [this, attempt](Ms at, const StoreResponse& response) {
                                   on_relay_record_written(at, attempt, response);
                               });
}

void LeaseRelay::on_relay_record_written(Ms now, const Attempt& attempt,
                                         const StoreResponse& response) {
    starting_ = false;
    if (response.status != StoreStatus::ok) {
        // Once the lease is revoked, a copy of this write that arrives late fails as well.
        context_.store.lease_revoke(attempt.lease, context_.out);
        retry_at_ = now + kRetryDelay;
        return;
    }
    fencing_token_ = attempt.fencing_token;
    lease_ = attempt.lease;
    valid_until_ = lease_valid_until(attempt.sent_at, kLeaseTtl);
    renew_at_ = attempt.sent_at + kRenewInterval;
    renewing_ = false;
    confirm_at_ = now;
    spdlog::info(
        "lease relay started: answering heartbeats of workers in zone {} on behalf of the leader "
        "with fencing token {}",
        context_.platform_settings.zone, fencing_token_);
}

void LeaseRelay::renew(Ms now) {
    renewing_ = true;
    context_.store.lease_renew(
        lease_,
        [this, sent_at = now, lease = lease_](Ms at, const StoreResponse& response) {
            on_renewed(at, sent_at, lease, response);
        },
        context_.out);
}

void LeaseRelay::on_renewed(Ms now, Ms sent_at, std::uint64_t lease,
                            const StoreResponse& response) {
    if (lease != lease_ || fencing_token_ == 0) {
        return;
    }
    renewing_ = false;
    if (response.status == StoreStatus::ok) {
        valid_until_ = std::max(valid_until_, lease_valid_until(sent_at, kLeaseTtl));
        renew_at_ = sent_at + kRenewInterval;
    } else if (response.status == StoreStatus::not_found) {
        stop();
    } else {
        renew_at_ = now + kRenewalRetryDelay;
    }
}

void LeaseRelay::stop() {
    spdlog::info(
        "lease relay stopped: no longer answering heartbeats on behalf of the leader with fencing "
        "token {}",
        fencing_token_);
    fencing_token_ = 0;
    context_.store.lease_revoke(lease_, context_.out);
}

bool LeaseRelay::answer(Ms now, const HeartbeatRequest& heartbeat) {
    const WorkerStatus& worker_status = heartbeat.worker_status;
    if (context_.platform_settings.zone.empty() ||
        worker_status.zone != context_.platform_settings.zone) {
        return false;
    }
    worker_heartbeat_at_ = now;
    Ms confirmation_valid_for = std::min(kConfirmationValidFor, context_.heartbeat_answer_window());
    if (!active(now) || worker_status.fencing_token > fencing_token_ ||
        watcher_.confirmed_at() < 0 || now >= watcher_.confirmed_at() + confirmation_valid_for) {
        return false;
    }
    HeartbeatResponse response;
    response.request = heartbeat.request;
    response.code = http_status::kOk;
    response.fencing_token = fencing_token_;
    response.commands = stop_commands(worker_status);
    context_.out.emplace_back(std::move(response));
    return true;
}

// Tasks of cancelled and ended jobs must be stopped in time even if the leader can't reach their
// workers.
std::vector<WorkerCommand> LeaseRelay::stop_commands(const WorkerStatus& worker_status) const {
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
