#include "bookkeeping/registry_record.hpp"

#include <algorithm>
#include <charconv>
#include <compare>
#include <map>
#include <set>
#include <stdexcept>

#include "bookkeeping/number_series.hpp"
#include "bookkeeping/record_field.hpp"
#include "bookkeeping/unreadable_log.hpp"

namespace walkford {

namespace {
// Fields of a stored part of the registry.
constexpr const char* kNextRequestNumber = "n";
constexpr const char* kFirstScaleOutDone = "f";
constexpr const char* kMachineTypes = "k";      // list of names, to which rows refer by index
constexpr const char* kZones = "z";             // list of names, to which rows refer by index
constexpr const char* kMachines = "m";          // prefix, width, machine type, zone, flags, numbers
constexpr const char* kPermanent = "p";         // prefix, width, numbers
constexpr const char* kReleasing = "r";         // prefix, width, numbers
constexpr const char* kScaleOutRequests = "h";  // name, machine type, zone, flags, count

// Bits of the flags of a row of machines and of a scale-out request.
constexpr int kFlagSpot = 1;
constexpr int kFlagPermanent = 2;  // in rows of machines, written by earlier versions only
constexpr int kFlagReleasing = 4;  // in rows of machines, written by earlier versions only

// Identifies machine names that differ in their number only: `host-000231` has the prefix `host-`
// and the width 6.
struct NameSeries {
    std::string prefix;
    int width = 0;  // digits of the number; 0: the prefix is the whole name
    auto operator<=>(const NameSeries&) const = default;
};

// A machine's name, split into its series and its number.
struct NumberedName {
    NameSeries series;
    std::uint64_t number = 0;
};

// Identifies the machines that are stored in one row, which differ in their number only.
struct MachineRowKey {
    NameSeries series;
    std::size_t machine_type = 0;  // index in the list of names
    std::size_t zone = 0;          // index in the list of names
    int flags = 0;
    auto operator<=>(const MachineRowKey&) const = default;
};

using Numbers = std::vector<std::uint64_t>;

// The most digits of a machine's number; further ones belong to the prefix.
constexpr int kMaxNumberDigits = 15;

NumberedName split_name(const std::string& name) {
    std::size_t prefix_length = name.size();
    while (prefix_length > 0 && name[prefix_length - 1] >= '0' && name[prefix_length - 1] <= '9' &&
           name.size() - prefix_length < std::size_t{kMaxNumberDigits}) {
        --prefix_length;
    }
    std::uint64_t number = 0;
    if (prefix_length < name.size()) {
        std::from_chars(name.data() + prefix_length, name.data() + name.size(), number);
    }
    return {{name.substr(0, prefix_length), static_cast<int>(name.size() - prefix_length)}, number};
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

// A list of names in the order of their first use, to which rows refer by index.
class NameList {
  public:
    std::size_t index_of(const std::string& name) {
        return indices_.try_emplace(name, indices_.size()).first->second;
    }

    Json encode() const {
        Json list = Json::array();
        for (std::size_t i = 0; i < indices_.size(); ++i) {
            list.push_back("");
        }
        for (const auto& [name, index] : indices_) {
            list[index] = name;
        }
        return list;
    }

  private:
    std::map<std::string, std::size_t> indices_;
};

std::string encode_numbers(Numbers& numbers) {
    std::sort(numbers.begin(), numbers.end());
    numbers.erase(std::unique(numbers.begin(), numbers.end()), numbers.end());
    return encode_number_series(numbers);
}

// Permanent machines and machines being released are listed in separate rows. As flags of the rows
// of machines, these properties would multiply the number of rows several times.
Json encode_marks(std::map<NameSeries, Numbers>& marks) {
    Json rows = Json::array();
    for (auto& [series, numbers] : marks) {
        rows.push_back(Json::array({series.prefix, series.width, encode_numbers(numbers)}));
    }
    return rows;
}

Json encode_machine_rows(std::map<MachineRowKey, Numbers>& numbers_by_row) {
    Json rows = Json::array();
    for (auto& [row_key, numbers] : numbers_by_row) {
        rows.push_back(
            Json::array({row_key.series.prefix, row_key.series.width, row_key.machine_type,
                         row_key.zone, row_key.flags, encode_numbers(numbers)}));
    }
    return rows;
}

void encode_machines(const std::vector<RegisteredMachine>& machines, const Names& names,
                     NameList& machine_types, NameList& zones, Json& value) {
    std::map<MachineRowKey, Numbers> numbers_by_row;
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
        MachineRowKey row_key{
            std::move(series),
            machine_types.index_of(names.machine_types.name(machine.machine_type)),
            zones.index_of(names.zones.name(machine.zone)), machine.spot ? kFlagSpot : 0};
        numbers_by_row[std::move(row_key)].push_back(number);
    }
    value[kMachines] = encode_machine_rows(numbers_by_row);
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
            {request.name, machine_types.index_of(names.machine_types.name(request.machine_type)),
             zones.index_of(names.zones.name(request.zone)), flags, request.count}));
    }
    return rows;
}

// Decodes one stored value. Its functions throw an exception that names the field.
class RegistryReader {
  public:
    RegistryReader(const Json& value, Names& names)
        : value_(value), names_(names), has_name_lists_(value.contains(kMachineTypes)) {}

    RegistryRecord read() {
        RegistryRecord registry;
        registry.next_request_number = record_field<std::uint64_t>(value_, kNextRequestNumber);
        registry.first_scale_out_done = record_field<int>(value_, kFirstScaleOutDone) != 0;
        read_machines(registry.machines);
        read_marks(kPermanent, &RegisteredMachine::permanent, registry.machines);
        read_marks(kReleasing, &RegisteredMachine::releasing, registry.machines);
        read_scale_out_requests(registry.scale_out_requests);
        return registry;
    }

  private:
    // Before version 0.2, rows contained the names themselves instead of indices.
    std::string name(const char* list, const Json& index) const {
        return has_name_lists_ ? value_.at(list).at(index.get<std::size_t>()).get<std::string>()
                               : index.get<std::string>();
    }
    Id machine_type(const Json& index) {
        return names_.machine_types.intern(name(kMachineTypes, index));
    }
    Id zone(const Json& index) { return names_.zones.intern(name(kZones, index)); }

    // The width bounds the memory that a name takes.
    static NameSeries read_series(const Json& row) {
        NameSeries series{row.at(0).get<std::string>(), row.at(1).get<int>()};
        if (series.width < 0 || series.width > kMaxNumberDigits) {
            throw std::out_of_range("width of a machine's number");
        }
        return series;
    }

    static Numbers decode_numbers(const std::string& text) {
        auto numbers = decode_number_series(text);
        if (!numbers) {
            throw std::invalid_argument("numbers of machines");
        }
        return *numbers;
    }

    // Before version 0.2, rows contained the numbers themselves; version 0.2 wrote the differences
    // between successive numbers as decimal numbers.
    Numbers read_numbers(const Json& column) const {
        if (column.is_string()) {
            return decode_numbers(column.get_ref<const std::string&>());
        }
        Numbers numbers;
        std::uint64_t last = 0;
        for (const Json& number : column) {
            last = number.get<std::uint64_t>() + (has_name_lists_ ? last : 0);
            numbers.push_back(last);
        }
        return numbers;
    }

    // Calls `read` for each row of a field.
    template <typename Read>
    static void read_rows(const Json& rows, const char* field, Read read) {
        std::size_t position = 0;
        for (const Json& row : rows) {
            try {
                read(row);
            } catch (const std::exception& error) {
                throw RecordError::invalid(std::string(field) + ", row " +
                                           std::to_string(position) + ": " + error.what());
            }
            ++position;
        }
    }

    void read_machines(std::vector<RegisteredMachine>& machines) {
        read_rows(record_item(value_, kMachines), kMachines, [&](const Json& row) {
            NameSeries series = read_series(row);
            Id machine_type_id = machine_type(row.at(2));
            Id zone_id = zone(row.at(3));
            int flags = row.at(4).get<int>();
            for (std::uint64_t number : read_numbers(row.at(5))) {
                machines.push_back({join_name(series, number), machine_type_id, zone_id,
                                    (flags & kFlagSpot) != 0, (flags & kFlagPermanent) != 0,
                                    (flags & kFlagReleasing) != 0});
            }
        });
    }

    void read_marks(const char* field, bool RegisteredMachine::*mark,
                    std::vector<RegisteredMachine>& machines) const {
        std::set<std::string> marked;
        read_rows(value_.value(field, Json::array()), field, [&](const Json& row) {
            NameSeries series = read_series(row);
            for (std::uint64_t number : decode_numbers(row.at(2).get<std::string>())) {
                marked.insert(join_name(series, number));
            }
        });
        for (RegisteredMachine& machine : machines) {
            if (marked.count(machine.name) > 0) {
                machine.*mark = true;
            }
        }
    }

    void read_scale_out_requests(std::vector<ScaleOutRequest>& requests) {
        const Json& rows = record_item(value_, kScaleOutRequests);
        read_rows(rows, kScaleOutRequests, [&](const Json& row) {
            int flags = row.at(3).get<int>();
            requests.push_back({row.at(0).get<std::string>(), machine_type(row.at(1)),
                                zone(row.at(2)), (flags & kFlagSpot) != 0,
                                row.at(4).get<std::uint32_t>(), (flags & kFlagPermanent) != 0});
        });
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
    // The lists of names are complete only after all rows have been encoded.
    value[kMachineTypes] = machine_types.encode();
    value[kZones] = zones.encode();
    return value;
}

std::optional<RegistryRecord> decode_registry(const Json& value, Names& names,
                                              const std::string& key) {
    try {
        return RegistryReader(value, names).read();
    } catch (const std::exception& error) {
        log_unreadable("registry in the store", key, error.what());
        return std::nullopt;
    }
}

}  // namespace walkford
