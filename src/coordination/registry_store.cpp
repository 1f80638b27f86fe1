#include "coordination/registry_store.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "coordination/leader.hpp"

namespace walkford {

namespace {
constexpr Ms kRetry = 250;
// A write that is refused as malformed or too large is not sent again at once.
constexpr Ms kRetryRefused = 5000;
// A part is filled to a third of a value: the marks of permanent and of returning machines stand in
// rows of their own, each as large as the machines' rows at the most.
constexpr std::size_t kFill = 3;
constexpr std::size_t kMostPartBytes = 16384;
constexpr std::size_t kMostTxnBytes = 48000;  // of the 64 KiB that a transaction may have
// What one machine takes at the most: ten characters, and a row where its group has none.
constexpr std::size_t kMachineBytes = 10;
constexpr std::size_t kRowBytes = 80;
// What the answer to a rental brings into the first value, while that one holds all machines: a
// row, and two characters a name, as much again for the rows of marks.
constexpr std::size_t kRentalBytes = 64;
constexpr std::size_t kRentedBytes = 4;
}  // namespace

bool RegistryStore::load() {
    Core& core = term_.core;
    for (const auto& [part, stored] : core.view.registry_parts) {
        auto registry = decode_registry(stored.value, core.names);
        if (!registry) {
            spdlog::error("part {} of the machine registry can't be read", part);
            parts_.clear();
            parts_[0];
            part_of_.clear();
            return false;
        }
        Part& mine = parts_[part];
        mine.stamp = stored.stamp;
        mine.bytes = stored.value.dump().size();
        if (part == 0) {
            rentals_ = std::move(registry->rentals);
            next_rental_ = registry->next_hire;
            first_rented_ = registry->first_rented;
        }
        for (HeldMachine& machine : registry->machines) {
            // One named twice is being moved: the later part counts.
            if (auto known = part_of_.find(machine.name); known != part_of_.end()) {
                parts_[known->second].machines.erase(machine.name);
                touch(known->second);
            }
            part_of_[machine.name] = part;
            std::string name = machine.name;
            mine.machines[name] = std::move(machine);
        }
    }
    return !core.view.registry_parts.empty();
}

const RentalRequest* RegistryStore::rental(const std::string& name) const {
    auto it = std::find_if(rentals_.begin(), rentals_.end(),
                           [&](const RentalRequest& rental) { return rental.name == name; });
    return it == rentals_.end() ? nullptr : &*it;
}

std::vector<HeldMachine> RegistryStore::machines() const {
    std::vector<HeldMachine> all;
    all.reserve(part_of_.size());
    for (const auto& [index, part] : parts_) {
        for (const auto& [name, machine] : part.machines) {
            all.push_back(machine);
        }
    }
    return all;
}

void RegistryStore::touch(std::uint32_t part) {
    ++version_;
    Part& changed = parts_[part];
    if (changed.changed == 0) {
        changed.changed = version_;
    }
}

bool RegistryStore::may_divide() const {
    return divided() || term_.core.may_write(kFeatureServices);
}

std::size_t RegistryStore::part_limit() const {
    return std::min(term_.core.state.limits().value_bytes() / kFill, kMostPartBytes);
}

bool RegistryStore::has_row_for(const Part& part, const HeldMachine& machine) {
    return std::any_of(part.machines.begin(), part.machines.end(), [&](const auto& entry) {
        const HeldMachine& other = entry.second;
        return other.kind == machine.kind && other.zone == machine.zone &&
               other.spot == machine.spot;
    });
}

bool RegistryStore::has_room_for(const Part& part, const HeldMachine& machine) const {
    std::size_t needed = kMachineBytes + (has_row_for(part, machine) ? 0 : kRowBytes);
    return part.machines.empty() || part.bytes + needed <= part_limit();
}

// The part that the machine goes to; one that does not exist yet where none has room.
std::uint32_t RegistryStore::part_for(const HeldMachine& machine) {
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

void RegistryStore::add_machine(const HeldMachine& machine) {
    if (part_of_.count(machine.name)) {
        return;
    }
    std::uint32_t index = part_for(machine);
    part_of_[machine.name] = index;
    Part& part = parts_[index];
    part.bytes += kMachineBytes + (has_row_for(part, machine) ? 0 : kRowBytes);
    part.estimated = true;
    part.machines[machine.name] = machine;
    touch(index);
}

void RegistryStore::remove_machine(const std::string& name) {
    auto known = part_of_.find(name);
    if (known == part_of_.end()) {
        return;
    }
    parts_[known->second].machines.erase(name);
    touch(known->second);
    part_of_.erase(known);
}

void RegistryStore::mark_returning(const std::string& name) {
    auto known = part_of_.find(name);
    if (known == part_of_.end()) {
        return;
    }
    parts_[known->second].machines[name].returning = true;
    touch(known->second);
}

// Under lower limits to come, a value that is too large is divided before they are in force; a
// division that an earlier leader began is completed.
bool RegistryStore::must_divide() const {
    const Part& first = parts_.at(0);
    if (first.machines.empty() || !may_divide()) {
        return false;
    }
    std::size_t limit = term_.core.state.limits().value_bytes();
    return divided() || (first.bytes > limit && encode(0).dump().size() > limit);
}

// Moves every machine out of the first value.
void RegistryStore::divide() {
    std::map<std::string, HeldMachine> all = std::move(parts_[0].machines);
    parts_[0].machines.clear();
    parts_[1];
    for (const auto& [name, machine] : all) {
        part_of_.erase(name);
        add_machine(machine);
    }
    touch(0);
    spdlog::info("the machine registry goes into {} parts: {} machines", parts_.size(),
                 part_of_.size());
}

std::size_t RegistryStore::first_value_bytes() const {
    std::size_t bytes = encode(0).dump().size();
    if (!divided()) {
        for (const RentalRequest& open : rentals_) {
            bytes += kRentalBytes + kRentedBytes * open.count;
        }
    }
    return bytes;
}

bool RegistryStore::add_rental(const RentalRequest& rental) {
    rentals_.push_back(rental);
    const StateLimitsInForce& limits = term_.core.state.limits();
    std::size_t limit = may_divide() ? limits.value_bytes() : limits.current_value_bytes();
    std::size_t bytes = first_value_bytes();
    if (bytes > limit && may_divide() && !divided()) {
        divide();
        bytes = first_value_bytes();
    }
    if (bytes > limit) {
        rentals_.pop_back();
        spdlog::error("the machine registry is full: {} machines are not rented", rental.count);
        return false;
    }
    ++next_rental_;
    touch(0);
    return true;
}

void RegistryStore::remove_rental(const std::string& name) {
    std::erase_if(rentals_, [&](const RentalRequest& rental) { return rental.name == name; });
    touch(0);
}

void RegistryStore::set_first_rented() {
    if (first_rented_) {
        return;
    }
    first_rented_ = true;
    touch(0);
}

Json RegistryStore::encode(std::uint32_t index) const {
    Registry registry;
    for (const auto& [name, machine] : parts_.at(index).machines) {
        registry.machines.push_back(machine);
    }
    if (index == 0) {
        registry.next_hire = next_rental_;
        registry.first_rented = first_rented_;
        registry.rentals = rentals_;
    }
    return encode_registry(registry, term_.core.names);
}

void RegistryStore::after_write(std::function<void(Ms)> then) {
    waiting_.push_back({version_, std::move(then)});
}

RegistryStore::Version RegistryStore::durable() const {
    Version oldest = version_ + 1;
    for (const auto& [index, part] : parts_) {
        for (Version open : {part.changed, part.in_flight}) {
            if (open != 0) {
                oldest = std::min(oldest, open);
            }
        }
    }
    return oldest - 1;
}

// Parts before the first value: it is the one that ceases to name machines and rental requests.
void RegistryStore::write(Ms now) {
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
    due.resize(std::min<std::size_t>(due.size(), term_.core.state.limits().txn_ops()));
    send(due);
}

void RegistryStore::send(const std::vector<std::uint32_t>& due) {
    Txn txn;
    txn.conditions = {{keys::kLeader, term_.token}};
    std::vector<std::uint32_t> sent;
    std::size_t bytes = 0;
    for (std::uint32_t index : due) {
        Part& part = parts_[index];
        Json value = encode(index);
        part.bytes = value.dump().size();
        part.estimated = false;
        bytes += part.bytes;
        if (bytes > kMostTxnBytes && !sent.empty()) {
            break;
        }
        bool empty = index != 0 && part.machines.empty();
        std::string key = keys::registry_part(index);
        txn.conditions.push_back({key, part.stamp});
        txn.writes.push_back(
            {key, empty ? std::nullopt : std::optional<Json>(std::move(value)), 0});
        part.in_flight = part.changed;
        part.changed = 0;
        part.dropping = empty;
        sent.push_back(index);
    }
    writing_ = true;
    term_.core.state.txn(
        Urgency::placement, std::move(txn),
        [this, alive = std::weak_ptr<bool>(term_.alive), sent](Ms at, const StateReply& reply) {
            if (!alive.expired()) {
                written(at, sent, reply);
            }
        });
}

void RegistryStore::written(Ms now, const std::vector<std::uint32_t>& sent,
                            const StateReply& reply) {
    writing_ = false;
    for (std::uint32_t index : sent) {
        Part& part = parts_[index];
        if (reply.status == 200) {
            part.stamp = part.dropping ? 0 : reply.revision;
        } else {
            part.changed = part.in_flight;
        }
        part.in_flight = 0;
    }
    if (reply.status == 200) {
        tell_waiting(now);
        return;
    }
    write_at_ = now + kRetry;
    if (reply.status == 400) {
        write_at_ = now + kRetryRefused;
        spdlog::error("the state service refuses the machine registry as too large");
    }
    if (reply.status != 409) {
        return;
    }
    if (term_.deposed_by(now, reply)) {
        return;
    }
    // An earlier copy of our own write got there; ours is written over it.
    read_stamps(reply.failed);
}

void RegistryStore::read_stamps(std::vector<std::string> failed) {
    if (failed.empty()) {
        return;
    }
    writing_ = true;
    std::string key = failed.back();
    failed.pop_back();
    term_.core.state.get(
        key,
        [this, alive = std::weak_ptr<bool>(term_.alive), key, failed](Ms, const StateReply& got) {
            if (alive.expired()) {
                return;
            }
            writing_ = false;
            auto index = keys::parse_registry_part(key);
            if (index && got.status == 200 && got.rows.size() == 1) {
                parts_[*index].stamp = got.rows[0].stamp;
            } else if (index && got.status == 404) {
                parts_[*index].stamp = 0;
            }
            read_stamps(failed);
        },
        term_.core.out);
}

void RegistryStore::tell_waiting(Ms now) {
    Version settled = durable();
    std::vector<Waiting> ready;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        if (it->version <= settled) {
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
