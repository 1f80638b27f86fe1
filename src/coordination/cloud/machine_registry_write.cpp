// Makes the machine registry durable: writes, conflicts, and callbacks that wait for writes.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/cloud/machine_registry.hpp"

namespace walkford {

namespace {
constexpr Ms kRetryDelay = 250;
// Delay before a write that the store rejected as malformed or too large is repeated.
constexpr Ms kTooLargeRetryDelay = 5000;
constexpr std::size_t kMaxTransactionBytes =
    48000;  // keeps below the store's 64 KiB per transaction
}  // namespace

void MachineRegistry::after_write(std::function<void(Ms)> callback) {
    durable_callbacks_.push_back({last_change_, std::move(callback)});
}

void MachineRegistry::write(Ms now) {
    if (call_open_ || now < next_write_at_) {
        return;
    }
    if (split_due()) {
        split();
    }
    std::vector<std::uint32_t> changed = changed_parts();
    if (changed.empty()) {
        run_durable_callbacks(now);
        return;
    }
    changed.resize(std::min<std::size_t>(
        changed.size(), context_.controller.store.limits().transaction_operations()));
    send_write(changed);
}

// Returns the indices of the changed parts. Part 0 comes last, because writing it removes machines
// and scale-out requests from the stored registry.
std::vector<std::uint32_t> MachineRegistry::changed_parts() const {
    std::vector<std::uint32_t> changed;
    for (const auto& [index, part] : parts_) {
        if (part.first_unsent_change != 0 && index != 0) {
            changed.push_back(index);
        }
    }
    if (parts_.at(0).first_unsent_change != 0) {
        changed.push_back(0);
    }
    return changed;
}

// Sends the parts in their order, as many as fit into one transaction but at least one.
void MachineRegistry::send_write(const std::vector<std::uint32_t>& changed) {
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token}};
    SentWrite sent;
    std::size_t bytes = 0;
    for (std::uint32_t index : changed) {
        Part& part = parts_[index];
        Json value = encode(index);
        part.bytes = value.dump().size();
        part.bytes_estimated = false;
        bytes += part.bytes;
        if (bytes > kMaxTransactionBytes && !sent.parts.empty()) {
            break;
        }
        bool empty = index != 0 && part.machines.empty();
        std::string key = keys::registry_part(index);
        transaction.comparisons.push_back({key, part.version});
        transaction.writes.push_back(
            {key, empty ? std::nullopt : std::optional<Json>(std::move(value)), 0});
        part.first_unanswered_change = part.first_unsent_change;
        part.first_unsent_change = 0;
        part.deleting = empty;
        sent.parts.push_back(index);
    }
    sent.unconfirmed_machines = unconfirmed_machines_in(sent.parts);
    call_open_ = true;
    auto handler = [this, sent = std::move(sent)](Ms now, const StoreResponse& response) {
        on_write_response(now, sent, response);
    };
    context_.controller.store.transaction(RequestPriority::placement, std::move(transaction),
                                          context_.while_leading(std::move(handler)));
}

std::vector<std::string> MachineRegistry::unconfirmed_machines_in(
    const std::vector<std::uint32_t>& parts) const {
    std::vector<std::string> machines;
    for (const std::string& name : unconfirmed_machines_) {
        if (std::find(parts.begin(), parts.end(), part_of_machine_.at(name)) != parts.end()) {
            machines.push_back(name);
        }
    }
    return machines;
}

void MachineRegistry::on_write_response(Ms now, const SentWrite& sent,
                                        const StoreResponse& response) {
    call_open_ = false;
    for (std::uint32_t index : sent.parts) {
        Part& part = parts_[index];
        if (response.status == StoreStatus::ok) {
            part.version = part.deleting ? 0 : response.revision;
        } else {
            part.first_unsent_change = part.first_unanswered_change;
        }
        part.first_unanswered_change = 0;
    }
    if (response.status == StoreStatus::ok) {
        confirm_registration(sent.unconfirmed_machines);
        run_durable_callbacks(now);
        return;
    }
    next_write_at_ = now + kRetryDelay;
    if (response.status == StoreStatus::too_large) {
        next_write_at_ = now + kTooLargeRetryDelay;
        spdlog::error(
            "the store rejected a write of {} parts of the machine registry as too large; next "
            "attempt in {} ms",
            sent.parts.size(), kTooLargeRetryDelay);
    }
    if (response.status != StoreStatus::conflict || context_.depose_if_superseded(now, response)) {
        return;
    }
    // The store has executed an earlier copy of this leader's own write. The next write replaces
    // it.
    refresh_versions(response.failed);
}

// No task may run on a machine that is not durably registered yet. A new leader would treat a
// placement on it as one on a machine that is gone, and would start the task again. So only the
// machines that the confirmed write named are marked: the registry may hold others by now, whose
// write has not been sent.
void MachineRegistry::confirm_registration(const std::vector<std::string>& machines) {
    for (const std::string& name : machines) {
        Id machine = context_.cluster.find_machine(name);
        if (unconfirmed_machines_.erase(name) > 0 && machine != kNone) {
            context_.cluster.machines[machine].registration_durable = true;
            spdlog::debug("machine {} is durably registered", name);
        }
    }
}

// Reads the versions of the keys from the store one at a time, starting with the last key.
void MachineRegistry::refresh_versions(std::vector<std::string> stale_keys) {
    if (stale_keys.empty()) {
        return;
    }
    call_open_ = true;
    std::string key = stale_keys.back();
    stale_keys.pop_back();
    auto handler = [this, key, remaining_keys = std::move(stale_keys)](
                       Ms, const StoreResponse& response) {
        on_version_response(key, remaining_keys, response);
    };
    context_.controller.store.get(key, context_.while_leading(std::move(handler)),
                                  context_.controller.out);
}

void MachineRegistry::on_version_response(const std::string& key,
                                          const std::vector<std::string>& remaining_keys,
                                          const StoreResponse& response) {
    call_open_ = false;
    auto index = keys::parse_registry_part(key);
    if (index && response.status == StoreStatus::ok && response.rows.size() == 1) {
        parts_[*index].version = response.rows[0].version;
    } else if (index && response.status == StoreStatus::not_found) {
        parts_[*index].version = 0;
    }
    refresh_versions(remaining_keys);
}

MachineRegistry::ChangeNumber MachineRegistry::last_durable_change() const {
    ChangeNumber oldest_open = last_change_ + 1;
    for (const auto& [index, part] : parts_) {
        for (ChangeNumber change : {part.first_unsent_change, part.first_unanswered_change}) {
            if (change != 0) {
                oldest_open = std::min(oldest_open, change);
            }
        }
    }
    return oldest_open - 1;
}

void MachineRegistry::run_durable_callbacks(Ms now) {
    ChangeNumber durable = last_durable_change();
    std::vector<DurableCallback> ready;
    for (auto callback = durable_callbacks_.begin(); callback != durable_callbacks_.end();) {
        if (callback->change <= durable) {
            ready.push_back(std::move(*callback));
            callback = durable_callbacks_.erase(callback);
        } else {
            ++callback;
        }
    }
    // The callbacks run after they have been removed from the list, because a callback may add
    // others.
    for (DurableCallback& callback : ready) {
        callback.run(now);
    }
}

}  // namespace walkford
