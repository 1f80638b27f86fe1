#include "coordination/cloud/machine_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader/task_lifecycle.hpp"

namespace walkford {

namespace {
constexpr Ms kRetry = 250;
// A write that is refused as malformed or too large is not sent again at once.
constexpr Ms kRetryRefused = 5000;
// A part is filled to a third of a value: the marks of permanent and of returning machines stand in
// rows of their own, each as large as the machines' rows at the most.
constexpr std::size_t kFill = 3;
constexpr std::size_t kMostPartBytes = 16384;
constexpr std::size_t kMaxTransactionBytes = 48000;  // of the 64 KiB that a transaction may have
// What one machine takes at the most: ten characters, and a row where its group has none.
constexpr std::size_t kMachineBytes = 10;
constexpr std::size_t kRowBytes = 80;
// What the answer to a rental brings into the first value, while that one holds all machines: a
// row, and two characters a name, as much again for the rows of marks.
constexpr std::size_t kRentalBytes = 64;
constexpr std::size_t kFirstScaleOutBytes = 4;
}  // namespace

bool MachineRegistry::load() {
    ControllerContext& controller = context_.controller;
    for (const auto& [part, stored] : controller.replica.registry_parts) {
        auto registry = decode_registry(stored.value, controller.names);
        if (!registry) {
            spdlog::error("part {} of the machine registry can't be read", part);
            parts_.clear();
            parts_[0];
            part_of_.clear();
            return false;
        }
        Part& mine = parts_[part];
        mine.version = stored.version;
        mine.bytes = stored.value.dump().size();
        if (part == 0) {
            scale_out_requests_ = std::move(registry->scale_out_requests);
            next_request_number_ = registry->next_request_number;
            first_scale_out_done_ = registry->first_scale_out_done;
        }
        for (RegisteredMachine& machine : registry->machines) {
            // One named twice is being moved: the later part counts.
            if (auto known = part_of_.find(machine.name); known != part_of_.end()) {
                parts_[known->second].machines.erase(machine.name);
                mark_changed(known->second);
            }
            part_of_[machine.name] = part;
            std::string name = machine.name;
            mine.machines[name] = std::move(machine);
        }
    }
    known_ = !controller.replica.registry_parts.empty();
    return known_;
}

const ScaleOutRequest* MachineRegistry::scale_out_request(const std::string& name) const {
    auto it = std::find_if(
        scale_out_requests_.begin(), scale_out_requests_.end(),
        [&](const ScaleOutRequest& scale_out_request) { return scale_out_request.name == name; });
    return it == scale_out_requests_.end() ? nullptr : &*it;
}

std::vector<RegisteredMachine> MachineRegistry::machines() const {
    std::vector<RegisteredMachine> all;
    all.reserve(part_of_.size());
    for (const auto& [index, part] : parts_) {
        for (const auto& [name, machine] : part.machines) {
            all.push_back(machine);
        }
    }
    return all;
}

void MachineRegistry::mark_changed(std::uint32_t part) {
    ++last_change_;
    Part& changed = parts_[part];
    if (changed.changed == 0) {
        changed.changed = last_change_;
    }
}

bool MachineRegistry::may_divide() const {
    return divided() || context_.controller.may_write(kFeatureServices);
}

std::size_t MachineRegistry::part_limit() const {
    return std::min(context_.controller.store.limits().value_bytes() / kFill, kMostPartBytes);
}

bool MachineRegistry::has_row_for(const Part& part, const RegisteredMachine& machine) {
    return std::any_of(part.machines.begin(), part.machines.end(), [&](const auto& entry) {
        const RegisteredMachine& other = entry.second;
        return other.machine_type == machine.machine_type && other.zone == machine.zone &&
               other.spot == machine.spot;
    });
}

bool MachineRegistry::has_room_for(const Part& part, const RegisteredMachine& machine) const {
    std::size_t needed = kMachineBytes + (has_row_for(part, machine) ? 0 : kRowBytes);
    return part.machines.empty() || part.bytes + needed <= part_limit();
}

// The part that the machine goes to; one that does not exist yet where none has room.
std::uint32_t MachineRegistry::part_for(const RegisteredMachine& machine) {
    if (!divided()) {
        return 0;
    }
    std::uint32_t unused = 1;
    for (auto& [index, part] : parts_) {
        if (index == 0) {
            continue;
        }
        if (has_room_for(part, machine)) {
            return index;
        }
        // What was added since it was last encoded was counted at its most.
        if (part.estimated) {
            part.bytes = encode(index).dump().size();
            part.estimated = false;
            if (has_room_for(part, machine)) {
                return index;
            }
        }
        unused = std::max(unused, index + 1);
    }
    return unused;
}

void MachineRegistry::add_machine(const RegisteredMachine& machine) {
    if (part_of_.count(machine.name)) {
        return;
    }
    std::uint32_t index = part_for(machine);
    part_of_[machine.name] = index;
    Part& part = parts_[index];
    part.bytes += kMachineBytes + (has_row_for(part, machine) ? 0 : kRowBytes);
    part.estimated = true;
    part.machines[machine.name] = machine;
    mark_changed(index);
}

void MachineRegistry::remove_machine(const std::string& name) {
    auto known = part_of_.find(name);
    if (known == part_of_.end()) {
        return;
    }
    parts_[known->second].machines.erase(name);
    mark_changed(known->second);
    part_of_.erase(known);
}

void MachineRegistry::mark_releasing(const std::string& name) {
    auto known = part_of_.find(name);
    if (known == part_of_.end()) {
        return;
    }
    parts_[known->second].machines[name].releasing = true;
    mark_changed(known->second);
}

// Under lower limits to come, a value that is too large is divided before they are in force; a
// division that an earlier leader began is completed.
bool MachineRegistry::must_divide() const {
    const Part& first = parts_.at(0);
    if (first.machines.empty() || !may_divide()) {
        return false;
    }
    std::size_t limit = context_.controller.store.limits().value_bytes();
    return divided() || (first.bytes > limit && encode(0).dump().size() > limit);
}

// Moves every machine out of the first value.
void MachineRegistry::divide() {
    std::map<std::string, RegisteredMachine> all = std::move(parts_[0].machines);
    parts_[0].machines.clear();
    parts_[1];
    for (const auto& [name, machine] : all) {
        part_of_.erase(name);
        add_machine(machine);
    }
    mark_changed(0);
    spdlog::info("the machine registry goes into {} parts: {} machines", parts_.size(),
                 part_of_.size());
}

std::size_t MachineRegistry::first_value_bytes() const {
    std::size_t bytes = encode(0).dump().size();
    if (!divided()) {
        for (const ScaleOutRequest& open : scale_out_requests_) {
            bytes += kRentalBytes + kFirstScaleOutBytes * open.count;
        }
    }
    return bytes;
}

bool MachineRegistry::add_scale_out_request(const ScaleOutRequest& scale_out_request) {
    scale_out_requests_.push_back(scale_out_request);
    const EffectiveStoreLimits& limits = context_.controller.store.limits();
    std::size_t limit = may_divide() ? limits.value_bytes() : limits.current_value_bytes();
    std::size_t bytes = first_value_bytes();
    if (bytes > limit && may_divide() && !divided()) {
        divide();
        bytes = first_value_bytes();
    }
    if (bytes > limit) {
        scale_out_requests_.pop_back();
        spdlog::error("the machine registry is full: {} machines are not rented",
                      scale_out_request.count);
        return false;
    }
    ++next_request_number_;
    mark_changed(0);
    return true;
}

void MachineRegistry::remove_scale_out_request(const std::string& name) {
    std::erase_if(scale_out_requests_, [&](const ScaleOutRequest& scale_out_request) {
        return scale_out_request.name == name;
    });
    mark_changed(0);
}

void MachineRegistry::set_first_scale_out_done() {
    if (first_scale_out_done_) {
        return;
    }
    first_scale_out_done_ = true;
    mark_changed(0);
}

Json MachineRegistry::encode(std::uint32_t index) const {
    RegistryRecord registry;
    for (const auto& [name, machine] : parts_.at(index).machines) {
        registry.machines.push_back(machine);
    }
    if (index == 0) {
        registry.next_request_number = next_request_number_;
        registry.first_scale_out_done = first_scale_out_done_;
        registry.scale_out_requests = scale_out_requests_;
    }
    return encode_registry(registry, context_.controller.names);
}

void MachineRegistry::after_write(std::function<void(Ms)> then) {
    waiting_.push_back({last_change_, std::move(then)});
}

// Nothing runs on a machine that the durable registry doesn't list yet: a new leader would take a
// placement there for one on a machine that is long gone, and start the task again.
void MachineRegistry::confirm_registration_after_write() {
    after_write([this](Ms) {
        for (const RegisteredMachine& registered : machines()) {
            Id machine = context_.cluster.find_machine(registered.name);
            if (machine != kNone) {
                context_.cluster.machines[machine].registration_durable = true;
            }
        }
    });
}

MachineRegistry::ChangeNumber MachineRegistry::durable() const {
    ChangeNumber oldest = last_change_ + 1;
    for (const auto& [index, part] : parts_) {
        for (ChangeNumber open : {part.changed, part.in_flight}) {
            if (open != 0) {
                oldest = std::min(oldest, open);
            }
        }
    }
    return oldest - 1;
}

// Parts before the first value: it is the one that ceases to name machines and rental requests.
void MachineRegistry::write(Ms now) {
    if (writing_ || now < write_at_) {
        return;
    }
    if (must_divide()) {
        divide();
    }
    std::vector<std::uint32_t> due;
    for (const auto& [index, part] : parts_) {
        if (part.changed != 0 && index != 0) {
            due.push_back(index);
        }
    }
    if (parts_[0].changed != 0) {
        due.push_back(0);
    }
    if (due.empty()) {
        tell_waiting(now);
        return;
    }
    due.resize(std::min<std::size_t>(due.size(),
                                     context_.controller.store.limits().transaction_operations()));
    send(due);
}

void MachineRegistry::send(const std::vector<std::uint32_t>& due) {
    Transaction transaction;
    transaction.comparisons = {{keys::kLeader, context_.fencing_token}};
    std::vector<std::uint32_t> sent;
    std::size_t bytes = 0;
    for (std::uint32_t index : due) {
        Part& part = parts_[index];
        Json value = encode(index);
        part.bytes = value.dump().size();
        part.estimated = false;
        bytes += part.bytes;
        if (bytes > kMaxTransactionBytes && !sent.empty()) {
            break;
        }
        bool empty = index != 0 && part.machines.empty();
        std::string key = keys::registry_part(index);
        transaction.comparisons.push_back({key, part.version});
        transaction.writes.push_back(
            {key, empty ? std::nullopt : std::optional<Json>(std::move(value)), 0});
        part.in_flight = part.changed;
        part.changed = 0;
        part.dropping = empty;
        sent.push_back(index);
    }
    writing_ = true;
    context_.controller.store.transaction(RequestPriority::placement, std::move(transaction),
                                          [this, alive = std::weak_ptr<bool>(context_.alive), sent](
                                              Ms at, const StoreResponse& reply) {
                                              if (!alive.expired()) {
                                                  written(at, sent, reply);
                                              }
                                          });
}

void MachineRegistry::written(Ms now, const std::vector<std::uint32_t>& sent,
                              const StoreResponse& reply) {
    writing_ = false;
    for (std::uint32_t index : sent) {
        Part& part = parts_[index];
        if (reply.status == StoreStatus::ok) {
            part.version = part.dropping ? 0 : reply.revision;
        } else {
            part.changed = part.in_flight;
        }
        part.in_flight = 0;
    }
    if (reply.status == StoreStatus::ok) {
        tell_waiting(now);
        return;
    }
    write_at_ = now + kRetry;
    if (reply.status == StoreStatus::too_large) {
        write_at_ = now + kRetryRefused;
        spdlog::error("the state service refuses the machine registry as too large");
    }
    if (reply.status != StoreStatus::conflict) {
        return;
    }
    if (context_.deposed_by(now, reply)) {
        return;
    }
    // An earlier copy of our own write got there; ours is written over it.
    read_versions(reply.failed);
}

void MachineRegistry::read_versions(std::vector<std::string> failed) {
    if (failed.empty()) {
        return;
    }
    writing_ = true;
    std::string key = failed.back();
    failed.pop_back();
    context_.controller.store.get(
        key,
        [this, alive = std::weak_ptr<bool>(context_.alive), key, failed](Ms,
                                                                         const StoreResponse& got) {
            if (alive.expired()) {
                return;
            }
            writing_ = false;
            auto index = keys::parse_registry_part(key);
            if (index && got.status == StoreStatus::ok && got.rows.size() == 1) {
                parts_[*index].version = got.rows[0].version;
            } else if (index && got.status == StoreStatus::not_found) {
                parts_[*index].version = 0;
            }
            read_versions(failed);
        },
        context_.controller.out);
}

void MachineRegistry::tell_waiting(Ms now) {
    ChangeNumber settled = durable();
    std::vector<Waiting> ready;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->change <= settled) {
            ready.push_back(std::move(*it));
            it = waiting_.erase(it);
        } else {
            ++it;
        }
    }
    for (Waiting& waiting : ready) {
        waiting.then(now);
    }
}

}  // namespace walkford
