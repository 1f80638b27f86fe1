// The stored list of the cloud's machine types, which lets a new leader work before the cloud has
// answered its first request.
#pragma once

#include <vector>

#include "bookkeeping/json.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// Returns the value stored for the machine types.
Json encode_machine_types(const std::vector<MachineType>& machine_types, const Names& names);
// The machine types in a stored record.
struct StoredMachineTypes {
    std::vector<MachineType> machine_types;
    bool complete = true;  // false if one could not be read, which is logged
};
// Returns the machine types that can be read. Adds the names of machine types and zones to `names`.
StoredMachineTypes decode_machine_types(const Json& value, Names& names);

}  // namespace walkford
