#include "bookkeeping/machine_types_record.hpp"

#include <string>

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

MachineType decode_machine_type(const Json& row, Names& names) {
    MachineType machine_type;
    machine_type.id = names.machine_types.intern(row.at(kName).get<std::string>());
    machine_type.size = {row.at(kCpus).get<double>(), row.at(kGpus).get<double>(),
                         row.at(kMemory).get<double>()};
    machine_type.cache_gb = row.at(kCacheGb).get<double>();
    machine_type.fetch_gb_per_s = row.at(kFetchGbPerS).get<double>();
    machine_type.price = row.at(kPrice).get<double>();
    machine_type.spot_price = row.at(kSpotPrice).get<double>();
    machine_type.boot_s = row.at(kBootS).get<double>();
    for (const Json& zone : row.at(kZones)) {
        machine_type.zones.push_back(names.zones.intern(zone.get<std::string>()));
    }
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

std::vector<MachineType> decode_machine_types(const Json& value, Names& names) {
    std::vector<MachineType> machine_types;
    try {
        for (const Json& row : value) {
            machine_types.push_back(decode_machine_type(row, names));
        }
    } catch (const Json::exception&) {
        machine_types.clear();
    }
    return machine_types;
}

}  // namespace walkford
