#include "coordination/cloud/machine_registry.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace walkford {

namespace {
// A part is filled to a third of a value: the marks of permanent and of releasing machines are
// stored in rows of their own, each as large as the machines' rows at most.
constexpr std::size_t kPartFillDivisor = 3;
constexpr std::size_t kMaxPartBytes = 16384;
// What one machine takes at most: ten characters, and a row if its group has none.
constexpr std::size_t kMachineBytes = 10;
constexpr std::size_t kRowBytes = 80;
// What the answer to a scale-out request adds to the first value, while that one holds all
// machines: a row, and two characters a name, and as much again for the rows of marks.
constexpr std::size_t kScaleOutRequestBytes = 64;
constexpr std::size_t kRequestedMachineBytes = 4;
}  // namespace

bool MachineRegistry::load() {
    ControllerContext& controller = context_.controller;
    for (const auto& [index, stored] : controller.replica.registry_parts) {
        auto record = decode_registry(stored.value, controller.names);
        if (!record) {
            spdlog::error("part {} of the machine registry can't be read", index);
            parts_.clear();
            parts_[0];
            part_of_machine_.clear();
            return false;
        }
        load_part(index, stored.version, stored.value.dump().size(), std::move(*record));
    }
    known_ = !controller.replica.registry_parts.empty();
    return known_;
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
        // A machine that two parts name is being moved: the later part counts.
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

void MachineRegistry::mark_changed(std::uint32_t part) {
    ++last_change_;
    Part& changed = parts_[part];
    if (changed.first_unsent_change == 0) {
        changed.first_unsent_change = last_change_;
    }
}

bool MachineRegistry::division_allowed() const {
    return divided() || context_.controller.may_write(kFeatureServices);
}

std::size_t MachineRegistry::part_limit() const {
    return std::min(context_.controller.store.limits().value_bytes() / kPartFillDivisor,
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

// The part that the machine goes to: a new one if none has space.
std::uint32_t MachineRegistry::part_for(const RegisteredMachine& machine) {
    if (!divided()) {
        return 0;
    }
    std::uint32_t unused = 1;
    for (auto& [index, part] : parts_) {
        if (index == 0) {
            continue;
        }
        if (has_space_for(part, machine)) {
            return index;
        }
        // What was added since the part was last encoded was counted at its maximum.
        if (part.bytes_estimated) {
            part.bytes = encode(index).dump().size();
            part.bytes_estimated = false;
            if (has_space_for(part, machine)) {
                return index;
            }
        }
        unused = std::max(unused, index + 1);
    }
    return unused;
}

void MachineRegistry::add_machine(const RegisteredMachine& machine) {
    if (part_of_machine_.count(machine.name)) {
        return;
    }
    std::uint32_t index = part_for(machine);
    part_of_machine_[machine.name] = index;
    Part& part = parts_[index];
    part.bytes += bytes_to_add(part, machine);
    part.bytes_estimated = true;
    part.machines[machine.name] = machine;
    mark_changed(index);
}

void MachineRegistry::remove_machine(const std::string& name) {
    auto known = part_of_machine_.find(name);
    if (known == part_of_machine_.end()) {
        return;
    }
    parts_[known->second].machines.erase(name);
    mark_changed(known->second);
    part_of_machine_.erase(known);
}

void MachineRegistry::mark_releasing(const std::string& name) {
    auto known = part_of_machine_.find(name);
    if (known == part_of_machine_.end()) {
        return;
    }
    parts_[known->second].machines[name].releasing = true;
    mark_changed(known->second);
}

// A value that is too large for lower limits to come is divided before they are in force; a
// division that an earlier leader began is completed.
bool MachineRegistry::division_due() const {
    const Part& first = parts_.at(0);
    if (first.machines.empty() || !division_allowed()) {
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
        part_of_machine_.erase(name);
        add_machine(machine);
    }
    mark_changed(0);
    spdlog::info("the machine registry is divided into {} parts: {} machines", parts_.size(),
                 part_of_machine_.size());
}

std::size_t MachineRegistry::first_value_bytes() const {
    std::size_t bytes = encode(0).dump().size();
    if (!divided()) {
        for (const ScaleOutRequest& request : scale_out_requests_) {
            bytes += kScaleOutRequestBytes + kRequestedMachineBytes * request.count;
        }
    }
    return bytes;
}

bool MachineRegistry::add_scale_out_request(const ScaleOutRequest& request) {
    scale_out_requests_.push_back(request);
    const EffectiveStoreLimits& limits = context_.controller.store.limits();
    std::size_t limit = division_allowed() ? limits.value_bytes() : limits.current_value_bytes();
    std::size_t bytes = first_value_bytes();
    if (bytes > limit && division_allowed() && !divided()) {
        divide();
        bytes = first_value_bytes();
    }
    if (bytes > limit) {
        scale_out_requests_.pop_back();
        spdlog::error("the machine registry is full: {} machines are not requested", request.count);
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
