// The stored list of the cloud's machine types, which lets a new leader work before the cloud has
// answered its first request.
#pragma once

#include <vector>

#include "bookkeeping/json.hpp"
#include "bookkeeping/types.hpp"

namespace walkford {

// Returns the value stored for the machine types.
Json encode_machine_types(const std::vector<MachineType>& machine_types, const Names& names);
// Returns an empty list if the value is not such a record. Adds the names of machine types and
// zones to `names`.
std::vector<MachineType> decode_machine_types(const Json& value, Names& names);

}  // namespace walkford
