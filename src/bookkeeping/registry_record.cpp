#include "bookkeeping/registry_record.hpp"

#include <algorithm>
#include <charconv>
#include <compare>
#include <map>
#include <set>

#include "bookkeeping/number_series.hpp"

namespace walkford {

namespace {
// Fields of a stored part of the registry.
constexpr const char* kNextRequestNumber = "n";
constexpr const char* kFirstScaleOutDone = "f";
constexpr const char* kMachineTypes = "k";      // names, which the rows refer to by their place
constexpr const char* kZones = "z";             // names, which the rows refer to by their place
constexpr const char* kMachines = "m";          // prefix, width, machine type, zone, flags, numbers
constexpr const char* kPermanent = "p";         // prefix, width, numbers
constexpr const char* kReleasing = "r";         // prefix, width, numbers
constexpr const char* kScaleOutRequests = "h";  // name, machine type, zone, flags, count

// Bits of the flags of a row of machines and of a scale-out request.
constexpr int kFlagSpot = 1;
constexpr int kFlagPermanent = 2;  // of a row of machines: written by earlier versions only
constexpr int kFlagReleasing = 4;  // of a row of machines: written by earlier versions only

// Names of machines that differ in their number only: `host-000231` has the prefix `host-` and the
// width 6.
struct NameSeries {
    std::string prefix;
    int width = 0;  // digits of the number; 0: the prefix is the whole name
    auto operator<=>(const NameSeries&) const = default;
};

// A machine's name, divided.
struct NumberedName {
    NameSeries series;
    std::uint64_t number = 0;
};

// Machines that share a row: they differ in their number only.
struct MachineGroup {
    NameSeries series;
    std::size_t machine_type = 0;  // place in the list of names
    std::size_t zone = 0;          // place in the list of names
    int flags = 0;
    auto operator<=>(const MachineGroup&) const = default;
};

using Numbers = std::vector<std::uint64_t>;

NumberedName split_name(const std::string& name) {
    constexpr std::size_t kMaxDigits = 15;
    std::size_t cut = name.size();
    while (cut > 0 && name[cut - 1] >= '0' && name[cut - 1] <= '9' &&
           name.size() - cut < kMaxDigits) {
        --cut;
    }
    std::uint64_t number = 0;
    if (cut < name.size()) {
        std::from_chars(name.data() + cut, name.data() + name.size(), number);
    }
    return {{name.substr(0, cut), static_cast<int>(name.size() - cut)}, number};
}

std::string join_name(const NameSeries& series, std::uint64_t number) {
    if (series.width == 0) {
        return series.prefix;
    }
    std::string digits = std::to_string(number);
    if (static_cast<int>(digits.size()) < series.width) {
        digits.insert(0, series.width - digits.size(), '0');
    }
    return series.prefix + digits;
}

// Names that rows refer to by their place, in the order in which they were first used.
class NameList {
  public:
    std::size_t place_of(const std::string& name) {
        return places_.try_emplace(name, places_.size()).first->second;
    }

    Json encode() const {
        Json list = Json::array();
        for (std::size_t i = 0; i < places_.size(); ++i) {
            list.push_back("");
        }
        for (const auto& [name, place] : places_) {
            list[place] = name;
        }
        return list;
    }

  private:
    std::map<std::string, std::size_t> places_;
};

std::string encode_numbers(Numbers& numbers) {
    std::sort(numbers.begin(), numbers.end());
    numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
    return encode_number_series(numbers);
}

// Permanent machines and those being released are marked in rows of their own: as flags they would
// split the rows of machines into several times as many.
Json encode_marks(std::map<NameSeries, Numbers>& marks) {
    Json rows = Json::array();
    for (auto& [series, numbers] : marks) {
        rows.push_back(Json::array({series.prefix, series.width, encode_numbers(numbers)}));
    }
    return rows;
}

Json encode_groups(std::map<MachineGroup, Numbers>& groups) {
    Json rows = Json::array();
    for (auto& [group, numbers] : groups) {
        rows.push_back(Json::array({group.series.prefix, group.series.width, group.machine_type,
                                    group.zone, group.flags, encode_numbers(numbers)}));
    }
    return rows;
}

void encode_machines(const std::vector<RegisteredMachine>& machines, const Names& names,
                     NameList& machine_types, NameList& zones, Json& value) {
    std::map<MachineGroup, Numbers> groups;
    std::map<NameSeries, Numbers> permanent;
    std::map<NameSeries, Numbers> releasing;
    for (const RegisteredMachine& machine : machines) {
        auto [series, number] = split_name(machine.name);
        if (machine.permanent) {
            permanent[series].push_back(number);
        }
        if (machine.releasing) {
            releasing[series].push_back(number);
        }
        MachineGroup group{std::move(series),
                           machine_types.place_of(names.machine_types.name(machine.machine_type)),
                           zones.place_of(names.zones.name(machine.zone)),
                           machine.spot ? kFlagSpot : 0};
        groups[std::move(group)].push_back(number);
    }
    value[kMachines] = encode_groups(groups);
    if (!permanent.empty()) {
        value[kPermanent] = encode_marks(permanent);
    }
    if (!releasing.empty()) {
        value[kReleasing] = encode_marks(releasing);
    }
}

Json encode_scale_out_requests(const std::vector<ScaleOutRequest>& requests, const Names& names,
                               NameList& machine_types, NameList& zones) {
    Json rows = Json::array();
    for (const ScaleOutRequest& request : requests) {
        int flags = (request.spot ? kFlagSpot : 0) | (request.permanent ? kFlagPermanent : 0);
        rows.push_back(Json::array(
            {request.name, machine_types.place_of(names.machine_types.name(request.machine_type)),
             zones.place_of(names.zones.name(request.zone)), flags, request.count}));
    }
    return rows;
}

// Reads one stored value. Its functions throw Json::exception for a value of another form, or
// return false or nothing for numbers that can't be read.
class RegistryReader {
  public:
    RegistryReader(const Json& value, Names& names)
        : value_(value), names_(names), has_name_lists_(value.contains(kMachineTypes)) {}

    std::optional<RegistryRecord> read() {
        RegistryRecord registry;
        registry.next_request_number = value_.at(kNextRequestNumber).get<std::uint64_t>();
        registry.first_scale_out_done = value_.at(kFirstScaleOutDone).get<int>() != 0;
        bool complete = read_machines(registry.machines) &&
                        read_marks(kPermanent, &RegisteredMachine::permanent, registry.machines) &&
                        read_marks(kReleasing, &RegisteredMachine::releasing, registry.machines);
        if (!complete) {
            return std::nullopt;
        }
        read_scale_out_requests(registry.scale_out_requests);
        return registry;
    }

  private:
    // Before version 0.2 a row held the names themselves.
    std::string name(const char* list, const Json& place) const {
        return has_name_lists_ ? value_.at(list).at(place.get<std::size_t>()).get<std::string>()
                               : place.get<std::string>();
    }
    Id machine_type(const Json& place) {
        return names_.machine_types.intern(name(kMachineTypes, place));
    }
    Id zone(const Json& place) { return names_.zones.intern(name(kZones, place)); }

    // Before version 0.2 a row held the numbers in full; 0.2 had decimal steps.
    std::optional<Numbers> read_numbers(const Json& column) const {
        if (column.is_string()) {
            return decode_number_series(column.get_ref<const std::string&>());
        }
        Numbers numbers;
        std::uint64_t last = 0;
        for (const Json& number : column) {
            last = number.get<std::uint64_t>() + (has_name_lists_ ? last : 0);
            numbers.push_back(last);
        }
        return numbers;
    }

    bool read_machines(std::vector<RegisteredMachine>& machines) {
        for (const Json& row : value_.at(kMachines)) {
            NameSeries series{row.at(0).get<std::string>(), row.at(1).get<int>()};
            Id machine_type_id = machine_type(row.at(2));
            Id zone_id = zone(row.at(3));
            int flags = row.at(4).get<int>();
            auto numbers = read_numbers(row.at(5));
            if (!numbers) {
                return false;
            }
            for (std::uint64_t number : *numbers) {
                machines.push_back({join_name(series, number), machine_type_id, zone_id,
                                    (flags & kFlagSpot) != 0, (flags & kFlagPermanent) != 0,
                                    (flags & kFlagReleasing) != 0});
            }
        }
        return true;
    }

    bool read_marks(const char* field, bool RegisteredMachine::*mark,
                    std::vector<RegisteredMachine>& machines) const {
        std::set<std::string> marked;
        for (const Json& row : value_.value(field, Json::array())) {
            auto numbers = decode_number_series(row.at(2).get<std::string>());
            if (!numbers) {
                return false;
            }
            for (std::uint64_t number : *numbers) {
                NameSeries series{row.at(0).get<std::string>(), row.at(1).get<int>()};
                marked.insert(join_name(series, number));
            }
        }
        for (RegisteredMachine& machine : machines) {
            if (marked.count(machine.name) > 0) {
                machine.*mark = true;
            }
        }
        return true;
    }

    void read_scale_out_requests(std::vector<ScaleOutRequest>& requests) {
        for (const Json& row : value_.at(kScaleOutRequests)) {
            int flags = row.at(3).get<int>();
            requests.push_back({row.at(0).get<std::string>(), machine_type(row.at(1)),
                                zone(row.at(2)), (flags & kFlagSpot) != 0,
                                row.at(4).get<std::uint32_t>(), (flags & kFlagPermanent) != 0});
        }
    }

    const Json& value_;
    Names& names_;
    bool has_name_lists_;
};
}  // namespace

Json encode_registry(const RegistryRecord& registry, const Names& names) {
    NameList machine_types;
    NameList zones;
    Json value = Json::object();
    value[kNextRequestNumber] = registry.next_request_number;
    value[kFirstScaleOutDone] = registry.first_scale_out_done ? 1 : 0;
    encode_machines(registry.machines, names, machine_types, zones, value);
    value[kScaleOutRequests] =
        encode_scale_out_requests(registry.scale_out_requests, names, machine_types, zones);
    // Only now do the lists have all names.
    value[kMachineTypes] = machine_types.encode();
    value[kZones] = zones.encode();
    return value;
}

std::optional<RegistryRecord> decode_registry(const Json& value, Names& names) {
    try {
        return RegistryReader(value, names).read();
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

}  // namespace walkford
