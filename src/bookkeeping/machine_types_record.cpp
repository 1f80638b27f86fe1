#include "bookkeeping/machine_types_record.hpp"

#include <array>
#include <string>

#include "bookkeeping/record_field.hpp"
#include "bookkeeping/unreadable_log.hpp"

namespace walkford {

namespace {
// A machine type is stored as an array; these are the indices of its elements.
constexpr std::size_t kName = 0;
constexpr std::size_t kCpus = 1;
constexpr std::size_t kGpus = 2;
constexpr std::size_t kMemory = 3;
constexpr std::size_t kCacheGb = 4;
constexpr std::size_t kFetchGbPerS = 5;
constexpr std::size_t kPrice = 6;
constexpr std::size_t kSpotPrice = 7;
constexpr std::size_t kBootS = 8;
constexpr std::size_t kZones = 9;

Json encode_machine_type(const MachineType& machine_type, const Names& names) {
    Json zones = Json::array();
    for (Id zone : machine_type.zones) {
        zones.push_back(names.zones.name(zone));
    }
    // In the order of the indices above.
    return Json::array({names.machine_types.name(machine_type.id), machine_type.size.cpus,
                        machine_type.size.gpus, machine_type.size.ram, machine_type.cache_gb,
                        machine_type.fetch_gb_per_s, machine_type.price, machine_type.spot_price,
                        machine_type.boot_s, std::move(zones)});
}

constexpr const char* kListOfTypes = "machine types in the store";

// The names of the elements, for log lines.
constexpr std::array kElementNames{"name",           "cpus",  "gpus",       "memory", "cache_gb",
                                   "fetch_gb_per_s", "price", "spot_price", "boot_s", "zones"};

const Json& element(const Json& row, std::size_t index) {
    if (!row.is_array() || index >= row.size()) {
        throw RecordError::missing(kElementNames.at(index));
    }
    return row[index];
}

template <typename Value>
Value read_element(const Json& row, std::size_t index) {
    return convert_item<Value>(element(row, index), kElementNames.at(index));
}

MachineType decode_machine_type(const Json& row, Names& names) {
    MachineType machine_type;
    std::string name = read_element<std::string>(row, kName);
    machine_type.size = {read_element<double>(row, kCpus), read_element<double>(row, kGpus),
                         read_element<double>(row, kMemory)};
    machine_type.cache_gb = read_element<double>(row, kCacheGb);
    machine_type.fetch_gb_per_s = read_element<double>(row, kFetchGbPerS);
    machine_type.price = read_element<double>(row, kPrice);
    machine_type.spot_price = read_element<double>(row, kSpotPrice);
    machine_type.boot_s = read_element<double>(row, kBootS);
    for (const Json& zone : element(row, kZones)) {
        machine_type.zones.push_back(
            names.zones.intern(convert_item<std::string>(zone, kElementNames.at(kZones))));
    }
    machine_type.id = names.machine_types.intern(name);
    return machine_type;
}
}  // namespace

Json encode_machine_types(const std::vector<MachineType>& machine_types, const Names& names) {
    Json value = Json::array();
    for (const MachineType& machine_type : machine_types) {
        value.push_back(encode_machine_type(machine_type, names));
    }
    return value;
}

StoredMachineTypes decode_machine_types(const Json& value, Names& names) {
    StoredMachineTypes stored;
    std::size_t position = 0;
    for (const Json& row : value) {
        try {
            stored.machine_types.push_back(decode_machine_type(row, names));
        } catch (const RecordError& error) {
            bool named = row.is_array() && !row.empty() && row[kName].is_string();
            log_unreadable(kListOfTypes,
                           named ? row[kName].get<std::string>() : "#" + std::to_string(position),
                           error.what());
            stored.complete = false;
        }
        ++position;
    }
    return stored;
}

}  // namespace walkford
