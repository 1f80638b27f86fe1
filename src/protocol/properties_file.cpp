#include "protocol/properties_file.hpp"

#include <Poco/Exception.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <variant>

namespace walkford::protocol {

namespace {

using Poco::Util::PropertyFileConfiguration;

// A property that is a number, a count or a switch (0 or 1).
struct Number {
    std::variant<double*, std::uint32_t*, bool*> target;
    double least;
    double most;
};
struct Choice {
    std::string* target;
    std::vector<std::string> values;
};
struct List {
    std::vector<std::string>* target;
};
using Property = std::variant<Number, Choice, List>;
using Properties = std::map<std::string, Property>;

constexpr double kHour = 3600;
constexpr double kDay = 86400;

void add_scaling(OperatorSettings& q, Properties& table) {
    table["scale.mark.low"] = Number{&q.mark_low, 0, 1};
    table["scale.mark.high"] = Number{&q.mark_high, 0, 1};
    table["scale.out.interval_s"] = Number{&q.out_interval_s, 0.1, kHour};
    table["scale.in.interval_s"] = Number{&q.in_interval_s, 0.1, kHour};
    table["scale.cap_per_kind"] = Number{&q.max_per_machine_type, 0, 10000};
    table["scale.permanent.first"] = Number{&q.permanent_first, 0, 50};
    table["scale.order"] = Choice{&q.order, {"cost", "cores"}};
    table["scale.unplaceable"] = Number{&q.scale_out_unplaceable, 0, 1};
    table["scale.unplaceable.after_s"] = Number{&q.unplaceable_after_s, 0, kHour};
    table["scale.spot"] = Number{&q.prefer_spot, 0, 1};
    table["scale.idle_cost"] = Number{&q.max_idle_cost, 0, 1e6};
    table["scale.no_capacity_backoff_s"] = Number{&q.no_capacity_backoff_s, 0.5, kHour};
}

void add_machines(OperatorSettings& q, Properties& table) {
    table["machines.boot.give_up"] = Number{&q.boot_timeout_factor, 1, 100};
    table["machines.boot.late"] = Number{&q.boot_late_factor, 1, 100};
    table["machines.lost_return_s"] = Number{&q.silent_release_s, 0, kHour};
    table["machines.unseen_return_s"] = Number{&q.unreported_release_s, 1, kHour};
    table["machines.deaf_return_s"] = Number{&q.unacknowledged_release_s, 1, kHour};
    table["workers.settle_s"] = Number{&q.response_hold_s, 0, 2};
    table["workers.idle_hold_s"] = Number{&q.idle_response_hold_s, 0, 3};
    table["leader.lease_s"] = Number{&q.lease_ttl_s, 0.5, 600};
    table["leader.probe_after_s"] = Number{&q.takeover_probe_s, 0.5, 600};
}

void add_placing(OperatorSettings& q, Properties& table) {
    table["place.round_budget_ms"] = Number{&q.round_budget_ms, 0.1, 1000};
    table["place.regret_s"] = Number{&q.opportunity_cost_s, 0, kHour};
    table["place.order"] = Choice{&q.place_order, {"aim", "age"}};
    table["place.keep_slots"] = Number{&q.keep_slots, 0, 1000};
    table["place.preempt"] = Number{&q.preempt, 0, 1};
    table["place.preempt.after_s"] = Number{&q.preempt_after_s, 0, kHour};
    table["place.rise_s"] = Number{&q.priority_aging_s, 0, kDay};
    table["place.gather"] = Number{&q.max_reserving_gangs, 0, 1000};
    table["place.gather.after_s"] = Number{&q.reserve_after_s, 0, kHour};
}

void add_zone_failover(ZoneFailoverSettings& z, Properties& table) {
    table["zone_failover.enabled"] = Number{&z.enabled, 0, 1};
    table["zone_failover.order"] = List{&z.order};
    table["zone_failover.suspect_share"] = Number{&z.suspect_share, 0.01, 1};
    table["zone_failover.recover_share"] = Number{&z.recover_share, 0, 1};
    table["zone_failover.lost_share"] = Number{&z.lost_share, 0.01, 1};
    table["zone_failover.least_machines"] = Number{&z.least_machines, 1, 10000};
    table["zone_failover.confirm_s"] = Number{&z.confirm_s, 0.5, kHour};
    table["zone_failover.return_s"] = Number{&z.return_s, 0, kHour};
    table["zone_failover.probe_s"] = Number{&z.probe_s, 1, kHour};
    table["zone_failover.flap.half_life_s"] = Number{&z.flap_half_life_s, 1, kDay};
    table["zone_failover.flap.suppress"] = Number{&z.flap_suppress, 0.1, 100};
    table["zone_failover.flap.reuse"] = Number{&z.flap_reuse, 0.01, 100};
    table["zone_failover.flap.most"] = Number{&z.flap_most, 1, 100};
    table["zone_failover.ramp.span_s"] = Number{&z.ramp_s, 1, kHour};
    table["zone_failover.ramp.first_share"] = Number{&z.ramp_first_share, 0.001, 1};
    table["zone_failover.ramp.fetches_per_machine"] = Number{&z.fetches_per_machine, 1, 1000};
    table["zone_failover.ramp.fetches_per_zone"] = Number{&z.fetches_per_zone, 1, 100000};
    table["zone_failover.ramp.replicas"] = Number{&z.replicas, 1, 100000};
    table["zone_failover.ramp.probe_machines"] = Number{&z.probe_machines, 1, 1000};
    table["zone_failover.hold_s"] = Number{&z.hold_s, 0, kHour};
    table["zone_failover.wait_most_s"] = Number{&z.wait_most_s, 0, kHour};
}

Properties properties_of(OperatorSettings& q) {
    Properties table;
    add_scaling(q, table);
    add_machines(q, table);
    add_placing(q, table);
    add_zone_failover(q.zone_failover, table);
    return table;
}

// Where a value came from, for what is said of it.
struct Source {
    std::string path;
    std::string name;
    std::string where() const { return "properties " + path + ": " + name; }
};

void assign(const Number& number, const Source& source, const PropertyFileConfiguration& file) {
    double value = 0;
    try {
        value = file.getDouble(source.name);
    } catch (const Poco::Exception&) {
        throw SettingsError(source.where() + ": must be a number");
    }
    if (!(value >= number.least && value <= number.most)) {
        std::ostringstream range;
        range << source.where() << ": must be from " << number.least << " to " << number.most;
        throw SettingsError(range.str());
    }
    std::visit(
        [value](auto* target) { *target = static_cast<std::decay_t<decltype(*target)>>(value); },
        number.target);
}

void assign(const Choice& choice, const Source& source, const PropertyFileConfiguration& file) {
    std::string value = file.getString(source.name);
    if (std::find(choice.values.begin(), choice.values.end(), value) == choice.values.end()) {
        throw SettingsError(source.where() + ": must be " + choice.values.front() + " or " +
                            choice.values.back());
    }
    *choice.target = value;
}

void assign(const List& list, const Source& source, const PropertyFileConfiguration& file) {
    std::string text = file.getString(source.name);
    Poco::StringTokenizer items(text, ",", Poco::StringTokenizer::TOK_TRIM);
    std::vector<std::string> names(items.begin(), items.end());
    bool none = names.size() == 1 && names.front().empty();
    if (none) {
        names.clear();
    }
    for (auto it = names.begin(); it != names.end(); ++it) {
        if (it->empty()) {
            throw SettingsError(source.where() + ": a name is empty");
        }
        if (std::find(names.begin(), it, *it) != it) {
            throw SettingsError(source.where() + ": '" + *it + "' is named twice");
        }
    }
    *list.target = std::move(names);
}

void collect(const PropertyFileConfiguration& file, const std::string& base,
             std::vector<std::string>& names) {
    PropertyFileConfiguration::Keys keys;
    file.keys(base, keys);
    for (const std::string& key : keys) {
        std::string full = base.empty() ? key : base + "." + key;
        if (file.hasProperty(full)) {
            names.push_back(full);
        }
        collect(file, full, names);
    }
}

Poco::AutoPtr<PropertyFileConfiguration> open_file(const std::string& path) {
    if (!std::ifstream(path, std::ios::binary)) {
        throw SettingsError("properties: can't read " + path);
    }
    try {
        return new PropertyFileConfiguration(path);
    } catch (const Poco::Exception& e) {
        throw SettingsError("properties " + path + ": " + e.displayText());
    }
}

// Two values that must not contradict each other.
void require_below(double low, double high, const std::string& low_name,
                   const std::string& high_name, const std::map<std::string, std::string>& set_by) {
    if (low < high) {
        return;
    }
    auto set = set_by.count(low_name) > 0 ? set_by.find(low_name) : set_by.find(high_name);
    std::string where = set == set_by.end() ? "properties" : "properties " + set->second;
    throw SettingsError(where + ": " + low_name + ": must be below " + high_name);
}

void check_together(const OperatorSettings& q, const std::map<std::string, std::string>& set_by) {
    require_below(q.mark_low, q.mark_high, "scale.mark.low", "scale.mark.high", set_by);
    require_below(q.mark_high, 1, "scale.mark.high", "1", set_by);
    const ZoneFailoverSettings& z = q.zone_failover;
    require_below(z.recover_share, z.suspect_share, "zone_failover.recover_share",
                  "zone_failover.suspect_share", set_by);
    if (z.suspect_share > z.lost_share) {
        require_below(z.suspect_share, z.lost_share, "zone_failover.suspect_share",
                      "zone_failover.lost_share", set_by);
    }
    require_below(z.flap_reuse, z.flap_suppress, "zone_failover.flap.reuse",
                  "zone_failover.flap.suppress", set_by);
}

}  // namespace

OperatorSettings load_operator_settings(const std::vector<std::string>& paths,
                                        std::vector<std::string>& notes) {
    OperatorSettings operator_settings;
    Properties table = properties_of(operator_settings);
    std::map<std::string, std::string> set_by;  // property -> the file that set it
    for (const std::string& path : paths) {
        auto file = open_file(path);
        std::vector<std::string> names;
        collect(*file, "", names);
        for (const std::string& name : names) {
            Source source{path, name};
            auto property = table.find(name);
            if (property == table.end()) {
                throw SettingsError(source.where() + ": no such property");
            }
            std::visit([&](const auto& machine_type) { assign(machine_type, source, *file); },
                       property->second);
            auto [earlier, fresh] = set_by.try_emplace(name, path);
            if (!fresh && earlier->second != path) {
                notes.push_back(name + ": " + path + " counts, not " + earlier->second);
                earlier->second = path;
            }
        }
    }
    check_together(operator_settings, set_by);
    return operator_settings;
}

std::vector<std::string> property_names() {
    OperatorSettings operator_settings;
    std::vector<std::string> names;
    for (const auto& [name, property] : properties_of(operator_settings)) {
        names.push_back(name);
    }
    return names;
}

void note_unknown_classes(const OperatorSettings& operator_settings,
                          const PlatformSettings& platform_settings,
                          std::vector<std::string>& notes) {
    for (const std::string& name : operator_settings.zone_failover.order) {
        bool known = std::find(platform_settings.classes.begin(), platform_settings.classes.end(),
                               name) != platform_settings.classes.end();
        if (!known) {
            notes.push_back("zone_failover.order: no objective names the class '" + name + "'");
        }
    }
}

}  // namespace walkford::protocol
