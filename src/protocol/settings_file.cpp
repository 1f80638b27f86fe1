#include "protocol/settings_file.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>
#include <string_view>

#include "bookkeeping/records.hpp"
#include "protocol/json_fields.hpp"
#include "protocol/text_file.hpp"

namespace walkford::protocol {

namespace {

// Converts a setting to a count; a larger one is converted to the largest count.
std::uint32_t to_count(double number) {
    constexpr std::uint32_t kMax = std::numeric_limits<std::uint32_t>::max();
    return number < kMax ? static_cast<std::uint32_t>(number) : kMax;
}

// Reads the fields of one object of the settings, and knows its path for error messages. Every
// getter throws a SettingsError that names the field if the field is missing or its value is not
// allowed.
class SettingsReader {
  public:
    SettingsReader(const Json& value, std::string path) : value_(value), path_(std::move(path)) {
        if (!value_.is_object()) {
            throw SettingsError(path_ + ": must be an object");
        }
    }
    SettingsReader child(const char* name) const { return {at(name), field_path(name)}; }

    std::string text(const char* name) const {
        const Json& value = at(name);
        if (!value.is_string() || value.get_ref<const std::string&>().empty()) {
            throw SettingsError(field_path(name) + ": must be a non-empty string");
        }
        return value.get<std::string>();
    }

    std::string text_or_empty(const char* name) const { return has(name) ? text(name) : ""; }

    // Reads an address of the form "host:port".
    std::string address(const char* name) const {
        constexpr std::size_t kMaxPortDigits = 5;
        constexpr int kMaxPort = 65535;
        std::string address = text(name);
        auto colon = address.rfind(':');
        bool has_port = colon != std::string::npos && colon > 0 && colon + 1 < address.size() &&
                        address.size() - colon <= kMaxPortDigits + 1 &&
                        address.find_first_not_of("0123456789", colon + 1) == std::string::npos;
        if (!has_port || std::stoi(address.substr(colon + 1)) > kMaxPort) {
            throw SettingsError(field_path(name) + ": must be address:port");
        }
        return address;
    }

    // Reads a finite number. The platform sets no upper limits; a number above kMaxAmount is read
    // as kMaxAmount.
    double number(const char* name, double min) const {
        const Json& value = at(name);
        if (!value.is_number()) {
            throw SettingsError(field_path(name) + ": must be a number");
        }
        double number = value.get<double>();
        if (!std::isfinite(number) || number < min) {
            std::ostringstream message;
            message << field_path(name) << ": must be at least " << min;
            throw SettingsError(message.str());
        }
        return std::min(number, kMaxAmount);
    }

    double number_or(const char* name, double fallback, double min) const {
        return has(name) ? number(name, min) : fallback;
    }

    const Json& list(const char* name) const {
        const Json& value = at(name);
        if (!value.is_array()) {
            throw SettingsError(field_path(name) + ": must be an array");
        }
        return value;
    }

    // Calls `read` with a SettingsReader for each object of the array.
    template <typename Read>
    void for_each(const char* name, Read read) const {
        const Json& items = list(name);
        for (std::size_t i = 0; i < items.size(); ++i) {
            read(SettingsReader(items[i], item_path(name, i)));
        }
    }

    bool has(const char* name) const { return value_.contains(name) && !value_[name].is_null(); }

    // The full paths of a field and of an array item, for error messages.
    std::string field_path(const std::string& name) const {
        return path_.empty() ? name : path_ + "." + name;
    }
    std::string item_path(const char* name, std::size_t index) const {
        return field_path(name) + "[" + std::to_string(index) + "]";
    }

  private:
    const Json& at(const char* name) const {
        auto found = value_.find(name);
        if (found == value_.end() || found->is_null()) {
            throw SettingsError(field_path(name) + ": required field is missing");
        }
        return *found;
    }

    const Json& value_;
    std::string path_;
};

// Takes absent fields from `fallback`. If `fallback` is null, every field is required.
StoreLimits read_store_limits(const SettingsReader& state, const StoreLimits* fallback) {
    auto limit = [&](const char* name, double StoreLimits::*field, double min) {
        return fallback ? state.number_or(name, fallback->*field, min) : state.number(name, min);
    };
    StoreLimits limits;
    limits.requests_per_s = limit("rps", &StoreLimits::requests_per_s, 1);
    limits.writes_per_s = limit("write_rps", &StoreLimits::writes_per_s, 0.5);
    limits.value_kb = limit("value_kb", &StoreLimits::value_kb, 0.5);
    constexpr double kMinOperations = 3;  // size of the largest transaction that cannot be split
    double operations =
        fallback ? state.number_or("txn_ops", fallback->transaction_operations, kMinOperations)
                 : state.number("txn_ops", kMinOperations);
    limits.transaction_operations = to_count(operations);
    return limits;
}

// Reads the name, zone and addresses of this controller, and its peers.
void read_controllers(const SettingsReader& top, PlatformSettings& settings) {
    settings.controller_name = top.text("node_name");
    if (top.has("location")) {
        settings.zone = top.text("location");
    }
    settings.serve_on = top.address("serve_on");
    settings.cluster_listen = top.address("cluster_listen");
    top.for_each("seeds", [&settings](const SettingsReader& seed) {
        settings.peers.push_back(
            {seed.text("node_name"), seed.address("endpoint"), seed.text_or_empty("location")});
    });
}

void read_zones(const SettingsReader& params, PlatformSettings& settings) {
    const Json& zones = params.list("zones");
    if (zones.empty()) {
        throw SettingsError(params.field_path("zones") + ": must contain at least one zone");
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        if (!zones[i].is_string()) {
            throw SettingsError(params.item_path("zones", i) + ": must be a string");
        }
        settings.zones.push_back(zones[i].get<std::string>());
    }
}

Team read_team(const SettingsReader& reader) {
    Team team;
    team.name = reader.text("name");
    team.guaranteed_share = {reader.number_or("cpus", 0, 0), reader.number_or("gpus", 0, 0), 0};
    team.quota = {reader.number_or("cpus_max", 0, 0), reader.number_or("gpus_max", 0, 0), 0};
    return team;
}

void read_teams(const SettingsReader& params, PlatformSettings& settings) {
    params.for_each("teams", [&settings](const SettingsReader& reader) {
        Team team = read_team(reader);
        for (const Team& other : settings.teams) {
            if (other.name == team.name) {
                throw SettingsError(reader.field_path("name") + ": duplicate team name");
            }
        }
        settings.teams.push_back(std::move(team));
    });
}

void read_objective(const SettingsReader& objective, PlatformSettings& settings,
                    std::vector<std::string>& notes) {
    constexpr const char* kStartLatency = "wait";
    constexpr std::array<std::string_view, 3> kOtherMeasures{"finished", "deadline", "guarantee"};
    std::string measure = objective.text("kind");
    if (objective.has("class")) {
        settings.objective_classes.push_back(objective.text("class"));
    }
    if (measure == kStartLatency) {
        settings.start_latency_objectives.push_back(
            {objective.text("class"), objective.number("within_s", 0)});
    } else if (std::find(kOtherMeasures.begin(), kOtherMeasures.end(), measure) ==
               kOtherMeasures.end()) {
        notes.push_back(objective.field_path("kind") + ": unknown kind '" + measure +
                        "' is ignored");
    }
}

void read_objectives(const SettingsReader& params, PlatformSettings& settings,
                     std::vector<std::string>& notes) {
    if (!params.has("objectives")) {
        return;
    }
    params.for_each("objectives", [&](const SettingsReader& objective) {
        read_objective(objective, settings, notes);
    });
}

void read_worker_periods(const SettingsReader& workers, PlatformSettings& settings) {
    settings.report_s = workers.number("report_s", 0.05);
    settings.lease_s = workers.number("lease_s", 0.1);
    settings.gang_wait_s = workers.number("gang_wait_s", 0);
    settings.gang_peer_s = workers.number("gang_peer_s", 0);
    settings.cancel_s = workers.number("cancel_s", 0.1);
    if (settings.lease_s <= settings.report_s) {
        throw SettingsError(workers.field_path("lease_s") + ": must be longer than report_s");
    }
}

void read_store(const SettingsReader& state, PlatformSettings& settings) {
    settings.store_limits = read_store_limits(state, nullptr);
    if (state.has("next")) {
        settings.next_store_limits = read_store_limits(state.child("next"), &settings.store_limits);
    }
}

void read_cloud(const SettingsReader& cloud, PlatformSettings& settings) {
    settings.cloud_requests_per_s = cloud.number("rps", 0.1);
    settings.list_lag_s = cloud.number("list_lag_s", 0);
}

// Reads the limits of the machine that this controller runs on. The controller also runs on a
// machine below the recommended limits; the notes help to find the cause of slow service in the
// log.
void read_machine_limits(const SettingsReader& limits, PlatformSettings& settings,
                         std::vector<std::string>& notes) {
    constexpr double kUnlimitedRamMb = 1e6;
    constexpr double kMinRamMb = 16;
    constexpr double kMinFds = 160;
    constexpr double kMinFdsPerPeer = 8;
    settings.fd_limit = to_count(limits.number_or("fd_limit", 512, 32));
    auto note_if_below = [&](const char* name, double value, double recommended) {
        if (value >= recommended) {
            return;
        }
        std::ostringstream note;
        note << limits.field_path(name) << ": " << value << " is below the recommended minimum of "
             << recommended;
        notes.push_back(note.str());
    };
    note_if_below("fd_limit", settings.fd_limit,
                  kMinFds + kMinFdsPerPeer * static_cast<double>(settings.peers.size()));
    note_if_below("ram_mb", limits.number_or("ram_mb", kUnlimitedRamMb, 0), kMinRamMb);
}

}  // namespace

PlatformSettings read_platform_settings(const std::string& json_text,
                                        std::vector<std::string>& notes) {
    Json document = Json::parse(json_text, nullptr, false);
    if (document.is_discarded()) {
        throw SettingsError("settings: not valid JSON");
    }
    SettingsReader top(document, "");
    PlatformSettings settings;
    read_controllers(top, settings);
    SettingsReader external = top.child("external");
    settings.cloud = external.address("cloud");
    settings.state = external.address("state");
    SettingsReader params = top.child("params");
    read_zones(params, settings);
    read_teams(params, settings);
    read_objectives(params, settings, notes);
    read_worker_periods(params.child("workers"), settings);
    read_store(params.child("state"), settings);
    read_cloud(params.child("cloud"), settings);
    if (params.has("machine_limits")) {
        read_machine_limits(params.child("machine_limits"), settings, notes);
    }
    return settings;
}

PlatformSettings load_platform_settings(const std::string& path, std::vector<std::string>& notes) {
    auto text = read_text_file(path);
    if (!text) {
        throw SettingsError("settings: cannot read file " + path);
    }
    return read_platform_settings(*text, notes);
}

}  // namespace walkford::protocol
