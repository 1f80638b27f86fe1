#include "coordination/cloud/machine_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
// Machines are added to a part only up to a third of the largest value, because permanent and
// releasing machines are listed again in separate rows. Each of these two sets of rows is at most
// as large as the rows of the machines.
constexpr std::size_t kPartFillDivisor = 3;
constexpr std::size_t kMaxPartBytes = 16384;
// The most that one machine adds to a part: ten characters, plus a row if its group has none yet.
constexpr std::size_t kMachineBytes = 10;
constexpr std::size_t kRowBytes = 80;
// What the answer to a scale-out request adds to part 0 as long as that part holds all machines: a
// row and two characters per name, and as much again for the rows of permanent and of releasing
// machines.
constexpr std::size_t kScaleOutRequestBytes = 64;
constexpr std::size_t kRequestedMachineBytes = 4;
}  // namespace

bool MachineRegistry::load() {
    ControllerContext& controller = context_.controller;
    for (const auto& [index, stored] : controller.replica.registry_parts) {
        auto record = decode_registry(stored.value, controller.names, keys::registry_part(index));
        if (!record) {
            spdlog::error("part {} of the stored machine registry can't be decoded", index);
            parts_.clear();
            parts_[0];
            part_of_machine_.clear();
            return false;
        }
        load_part(index, stored.version, stored.value.dump().size(), std::move(*record));
    }
    initialized_ = !controller.replica.registry_parts.empty();
    return initialized_;
}

void MachineRegistry::load_part(std::uint32_t index, std::uint64_t version, std::size_t bytes,
                                RegistryRecord&& record) {
    Part& part = parts_[index];
    part.version = version;
    part.bytes = bytes;
    if (index == 0) {
        scale_out_requests_ = std::move(record.scale_out_requests);
        next_request_number_ = record.next_request_number;
        first_scale_out_done_ = record.first_scale_out_done;
    }
    for (RegisteredMachine& machine : record.machines) {
        // If two parts name a machine, a split was moving it. The entry in the part with the higher
        // index is kept.
        if (auto earlier = part_of_machine_.find(machine.name); earlier != part_of_machine_.end()) {
            parts_[earlier->second].machines.erase(machine.name);
            mark_changed(earlier->second);
        }
        part_of_machine_[machine.name] = index;
        std::string name = machine.name;
        part.machines[name] = std::move(machine);
    }
}

const ScaleOutRequest* MachineRegistry::scale_out_request(const std::string& name) const {
    auto found = std::find_if(scale_out_requests_.begin(), scale_out_requests_.end(),
                              [&](const ScaleOutRequest& request) { return request.name == name; });
    return found == scale_out_requests_.end() ? nullptr : &*found;
}

std::vector<RegisteredMachine> MachineRegistry::machines() const {
    std::vector<RegisteredMachine> all;
    all.reserve(part_of_machine_.size());
    for (const auto& [index, part] : parts_) {
        for (const auto& [name, machine] : part.machines) {
            all.push_back(machine);
        }
    }
    return all;
}

void MachineRegistry::mark_changed(std::uint32_t index) {
    ++last_change_;
    Part& changed = parts_[index];
    if (changed.first_unsent_change == 0) {
        changed.first_unsent_change = last_change_;
    }
}

bool MachineRegistry::split_allowed() const {
    return is_split() || context_.controller.may_write(kFeatureServices);
}

std::size_t MachineRegistry::part_limit() const {
    return std::min(context_.controller.store.limits().max_value_bytes() / kPartFillDivisor,
                    kMaxPartBytes);
}

bool MachineRegistry::has_row_for(const Part& part, const RegisteredMachine& machine) {
    return std::any_of(part.machines.begin(), part.machines.end(), [&](const auto& entry) {
        const RegisteredMachine& other = entry.second;
        return other.machine_type == machine.machine_type && other.zone == machine.zone &&
               other.spot == machine.spot;
    });
}

std::size_t MachineRegistry::bytes_to_add(const Part& part, const RegisteredMachine& machine) {
    return kMachineBytes + (has_row_for(part, machine) ? 0 : kRowBytes);
}

bool MachineRegistry::has_space_for(const Part& part, const RegisteredMachine& machine) const {
    return part.machines.empty() || part.bytes + bytes_to_add(part, machine) <= part_limit();
}

// Returns the index of the part that the machine is added to, which is a new one if no existing
// part has space.
std::uint32_t MachineRegistry::part_for(const RegisteredMachine& machine) {
    if (!is_split()) {
        return 0;
    }
    std::uint32_t unused_index = 1;
    for (auto& [index, part] : parts_) {
        if (index == 0) {
            continue;
        }
        if (has_space_for(part, machine)) {
            return index;
        }
        // Additions since the part was last encoded were counted at their maximum size, so the
        // actual size may be smaller.
        if (part.bytes_estimated) {
            part.bytes = encode(index).dump().size();
            part.bytes_estimated = false;
            if (has_space_for(part, machine)) {
                return index;
            }
        }
        unused_index = std::max(unused_index, index + 1);
    }
    return unused_index;
}

void MachineRegistry::add_machine(const RegisteredMachine& machine) {
    if (part_of_machine_.count(machine.name)) {
        return;
    }
    unconfirmed_machines_.insert(machine.name);
    add_to_part(machine);
}

void MachineRegistry::add_to_part(const RegisteredMachine& machine) {
    std::uint32_t index = part_for(machine);
    part_of_machine_[machine.name] = index;
    Part& part = parts_[index];
    part.bytes += bytes_to_add(part, machine);
    part.bytes_estimated = true;
    part.machines[machine.name] = machine;
    mark_changed(index);
}

void MachineRegistry::remove_machine(const std::string& name) {
    auto found = part_of_machine_.find(name);
    if (found == part_of_machine_.end()) {
        return;
    }
    parts_[found->second].machines.erase(name);
    mark_changed(found->second);
    part_of_machine_.erase(found);
    unconfirmed_machines_.erase(name);
}

void MachineRegistry::mark_releasing(const std::string& name) {
    auto found = part_of_machine_.find(name);
    if (found == part_of_machine_.end()) {
        return;
    }
    parts_[found->second].machines[name].releasing = true;
    mark_changed(found->second);
}

// True if part 0 is larger than the store's limit, or than a lower limit that is configured to
// follow it, so that the registry is split before the lower limit is in force. Also true if an
// earlier leader did not complete its split.
bool MachineRegistry::split_due() const {
    const Part& first = parts_.at(0);
    if (first.machines.empty() || !split_allowed()) {
        return false;
    }
    std::size_t limit = context_.controller.store.limits().max_value_bytes();
    return is_split() || (first.bytes > limit && encode(0).dump().size() > limit);
}

// Moves every machine from part 0 to the other parts.
void MachineRegistry::split() {
    std::map<std::string, RegisteredMachine> moved = std::move(parts_[0].machines);
    parts_[0].machines.clear();
    parts_[1];
    for (const auto& [name, machine] : moved) {
        add_to_part(machine);
    }
    mark_changed(0);
    spdlog::info("machine registry split into {} parts for {} machines", parts_.size(),
                 part_of_machine_.size());
}

std::size_t MachineRegistry::first_part_bytes() const {
    std::size_t bytes = encode(0).dump().size();
    if (!is_split()) {
        for (const ScaleOutRequest& request : scale_out_requests_) {
            bytes += kScaleOutRequestBytes + kRequestedMachineBytes * request.count;
        }
    }
    return bytes;
}

bool MachineRegistry::add_scale_out_request(const ScaleOutRequest& request) {
    scale_out_requests_.push_back(request);
    const EffectiveStoreLimits& limits = context_.controller.store.limits();
    std::size_t limit =
        split_allowed() ? limits.max_value_bytes() : limits.max_current_value_bytes();
    std::size_t bytes = first_part_bytes();
    if (bytes > limit && split_allowed() && !is_split()) {
        split();
        bytes = first_part_bytes();
    }
    if (bytes > limit) {
        scale_out_requests_.pop_back();
        spdlog::error(
            "scale-out request {}: not sent, because part 0 of the machine registry would take {} "
            "bytes and the limit is {} bytes; {} machines are not requested",
            request.name, bytes, limit, request.count);
        return false;
    }
    ++next_request_number_;
    mark_changed(0);
    return true;
}

void MachineRegistry::remove_scale_out_request(const std::string& name) {
    std::erase_if(scale_out_requests_,
                  [&](const ScaleOutRequest& request) { return request.name == name; });
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

}  // namespace walkford
