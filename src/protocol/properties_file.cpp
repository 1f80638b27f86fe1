#include "protocol/properties_file.hpp"

#include <Poco/Exception.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <variant>

#include "protocol/text_file.hpp"
#include "protocol/utf8.hpp"

namespace walkford::protocol {

namespace {

using Poco::Util::PropertyFileConfiguration;

// A property that is a number, a count or a flag (0 or 1).
struct Number {
    std::variant<double*, std::uint32_t*, bool*> target;
    double min;
    double max;
};

// A property that is one of several words.
template <typename Value>
struct Choice {
    // A value and the word for it in a properties file.
    struct Spelling {
        const char* word;
        Value value;
    };
    Value* target;
    std::vector<Spelling> spellings;
};

// A property that is a comma-separated list of distinct names.
struct NameList {
    std::vector<std::string>* target;
};

using Property = std::variant<Number, Choice<ScaleOrder>, Choice<PlaceOrder>, NameList>;
using Properties = std::map<std::string, Property>;

constexpr double kHourS = 3600;
constexpr double kDayS = 86400;

void add_scaling(OperatorSettings& settings, Properties& table) {
    table.insert({
        {"scale.mark.low", Number{&settings.mark_low, 0, 1}},
        {"scale.mark.high", Number{&settings.mark_high, 0, 1}},
        {"scale.out.interval_s", Number{&settings.scale_out_interval_s, 0.1, kHourS}},
        {"scale.in.interval_s", Number{&settings.scale_in_interval_s, 0.1, kHourS}},
        {"scale.cap_per_kind", Number{&settings.max_per_machine_type, 0, 10000}},
        {"scale.permanent.first", Number{&settings.permanent_first, 0, 50}},
        {"scale.order",
         Choice<ScaleOrder>{&settings.order,
                            {{"cost", ScaleOrder::cost}, {"cores", ScaleOrder::cores}}}},
        {"scale.unplaceable", Number{&settings.scale_out_unplaceable, 0, 1}},
        {"scale.unplaceable.after_s", Number{&settings.unplaceable_after_s, 0, kHourS}},
        {"scale.spot", Number{&settings.spot_preference, 0, 1}},
        {"scale.idle_cost", Number{&settings.max_idle_cost, 0, 1e6}},
        {"scale.no_capacity_backoff_s", Number{&settings.no_capacity_backoff_s, 0.5, kHourS}},
    });
}

void add_machines(OperatorSettings& settings, Properties& table) {
    table.insert({
        {"machines.boot.give_up", Number{&settings.boot_timeout_factor, 1, 100}},
        {"machines.boot.late", Number{&settings.boot_late_factor, 1, 100}},
        {"machines.lost_return_s", Number{&settings.silent_release_s, 0, kHourS}},
        {"machines.unseen_return_s", Number{&settings.unreported_release_s, 1, kHourS}},
        {"machines.deaf_return_s", Number{&settings.unacknowledged_release_s, 1, kHourS}},
        {"workers.settle_s", Number{&settings.response_hold_s, 0, 2}},
        {"workers.idle_hold_s", Number{&settings.idle_response_hold_s, 0, 3}},
        {"leader.lease_s", Number{&settings.lease_ttl_s, 0.5, 600}},
        {"leader.probe_after_s", Number{&settings.takeover_probe_s, 0.5, 600}},
    });
}

void add_placement(OperatorSettings& settings, Properties& table) {
    table.insert({
        {"place.round_budget_ms", Number{&settings.round_budget_ms, 0.1, 1000}},
        {"place.regret_s", Number{&settings.opportunity_cost_s, 0, kHourS}},
        {"place.order",
         Choice<PlaceOrder>{&settings.place_order,
                            {{"aim", PlaceOrder::start_deadline}, {"age", PlaceOrder::age}}}},
        {"place.keep_slots", Number{&settings.keep_slots, 0, 1000}},
        {"place.preempt", Number{&settings.preempt, 0, 1}},
        {"place.preempt.after_s", Number{&settings.preempt_after_s, 0, kHourS}},
        {"place.rise_s", Number{&settings.priority_aging_s, 0, kDayS}},
        {"place.gather", Number{&settings.max_reserving_gangs, 0, 1000}},
        {"place.gather.after_s", Number{&settings.reserve_after_s, 0, kHourS}},
    });
}

void add_zone_failover(ZoneFailoverSettings& settings, Properties& table) {
    table.insert({
        {"zone_failover.enabled", Number{&settings.enabled, 0, 1}},
        {"zone_failover.order", NameList{&settings.evacuation_order}},
        {"zone_failover.suspect_share", Number{&settings.suspect_share, 0.01, 1}},
        {"zone_failover.recover_share", Number{&settings.recover_share, 0, 1}},
        {"zone_failover.lost_share", Number{&settings.lost_share, 0.01, 1}},
        {"zone_failover.least_machines", Number{&settings.min_machines, 1, 10000}},
        {"zone_failover.confirm_s", Number{&settings.confirm_s, 0.5, kHourS}},
        {"zone_failover.return_s", Number{&settings.recovery_s, 0, kHourS}},
        {"zone_failover.probe_s", Number{&settings.empty_zone_retry_s, 1, kHourS}},
        {"zone_failover.flap.half_life_s", Number{&settings.flap_half_life_s, 1, kDayS}},
        {"zone_failover.flap.suppress", Number{&settings.flap_suppress_penalty, 0.1, 100}},
        {"zone_failover.flap.reuse", Number{&settings.flap_reuse_penalty, 0.01, 100}},
        {"zone_failover.flap.most", Number{&settings.flap_max_penalty, 1, 100}},
        {"zone_failover.ramp.span_s", Number{&settings.ramp_s, 1, kHourS}},
        {"zone_failover.ramp.first_share", Number{&settings.ramp_first_share, 0.001, 1}},
        {"zone_failover.ramp.fetches_per_machine",
         Number{&settings.max_fetches_per_machine, 1, 1000}},
        {"zone_failover.ramp.fetches_per_zone", Number{&settings.max_fetches_per_zone, 1, 100000}},
        {"zone_failover.ramp.replicas", Number{&settings.replicas, 1, 100000}},
        {"zone_failover.ramp.probe_machines", Number{&settings.probe_machines, 1, 1000}},
        {"zone_failover.hold_s", Number{&settings.reserve_duration_s, 0, kHourS}},
        {"zone_failover.wait_most_s", Number{&settings.max_wait_s, 0, kHourS}},
    });
}

// Returns all properties by name, each with the field of `settings` that it sets.
Properties properties_of(OperatorSettings& settings) {
    Properties table;
    add_scaling(settings, table);
    add_machines(settings, table);
    add_placement(settings, table);
    add_zone_failover(settings.zone_failover, table);
    return table;
}

// The file and the name of a property, for error messages.
struct Source {
    std::string path;
    std::string name;
    std::string describe() const { return "properties " + path + ": " + name; }
};

void assign(const Number& number, const Source& source, const PropertyFileConfiguration& file) {
    double value = 0;
    try {
        value = file.getDouble(source.name);
    } catch (const Poco::Exception&) {
        throw SettingsError(source.describe() + ": must be a number");
    }
    if (!(value >= number.min && value <= number.max)) {
        std::ostringstream range;
        range << source.describe() << ": must be from " << number.min << " to " << number.max;
        throw SettingsError(range.str());
    }
    std::visit(
        [value](auto* target) { *target = static_cast<std::decay_t<decltype(*target)>>(value); },
        number.target);
}

template <typename Value>
void assign(const Choice<Value>& choice, const Source& source,
            const PropertyFileConfiguration& file) {
    std::string word = file.getString(source.name);
    for (const auto& spelling : choice.spellings) {
        if (word == spelling.word) {
            *choice.target = spelling.value;
            return;
        }
    }
    throw SettingsError(source.describe() + ": must be " + choice.spellings.front().word + " or " +
                        choice.spellings.back().word);
}

void assign(const NameList& list, const Source& source, const PropertyFileConfiguration& file) {
    std::string text = file.getString(source.name);
    Poco::StringTokenizer items(text, ",", Poco::StringTokenizer::TOK_TRIM);
    std::vector<std::string> names(items.begin(), items.end());
    bool is_empty = names.size() == 1 && names.front().empty();
    if (is_empty) {
        names.clear();
    }
    for (auto name = names.begin(); name != names.end(); ++name) {
        if (name->empty()) {
            throw SettingsError(source.describe() + ": contains an empty name");
        }
        if (std::find(names.begin(), name, *name) != name) {
            throw SettingsError(source.describe() + ": contains '" + *name + "' more than once");
        }
    }
    *list.target = std::move(names);
}

// Appends the full names of all properties below `base` in the file, or of all properties if `base`
// is empty.
void collect_property_names(const PropertyFileConfiguration& file, const std::string& base,
                            std::vector<std::string>& names) {
    PropertyFileConfiguration::Keys keys;
    file.keys(base, keys);
    for (const std::string& key : keys) {
        std::string full = base.empty() ? key : base + "." + key;
        if (file.hasProperty(full)) {
            names.push_back(full);
        }
        collect_property_names(file, full, names);
    }
}

Poco::AutoPtr<PropertyFileConfiguration> open_file(const std::string& path) {
    auto text = read_text_file(path);
    if (!text) {
        throw SettingsError("properties: cannot read file " + path);
    }
    if (!is_valid_utf8(*text)) {
        throw SettingsError("properties " + path + ": not UTF-8 text");
    }
    try {
        std::istringstream properties(*text);
        return new PropertyFileConfiguration(properties);
    } catch (const Poco::Exception& error) {
        throw SettingsError("properties " + path + ": " + error.displayText());
    }
}

using FileOfProperty =
    std::map<std::string, std::string>;  // property name -> path of the file that set it

// Throws if the first value is not below the second.
void require_below(double low, double high, const std::string& low_name,
                   const std::string& high_name, const FileOfProperty& set_by) {
    if (low < high) {
        return;
    }
    auto set = set_by.count(low_name) > 0 ? set_by.find(low_name) : set_by.find(high_name);
    std::string where = set == set_by.end() ? "properties" : "properties " + set->second;
    throw SettingsError(where + ": " + low_name + ": must be below " + high_name);
}

// Checks constraints between properties. Values that are valid on their own may contradict each
// other.
void check_consistency(const OperatorSettings& settings, const FileOfProperty& set_by) {
    require_below(settings.mark_low, settings.mark_high, "scale.mark.low", "scale.mark.high",
                  set_by);
    require_below(settings.mark_high, 1, "scale.mark.high", "1", set_by);
    const ZoneFailoverSettings& failover = settings.zone_failover;
    require_below(failover.recover_share, failover.suspect_share, "zone_failover.recover_share",
                  "zone_failover.suspect_share", set_by);
    if (failover.suspect_share > failover.lost_share) {
        require_below(failover.suspect_share, failover.lost_share, "zone_failover.suspect_share",
                      "zone_failover.lost_share", set_by);
    }
    require_below(failover.flap_reuse_penalty, failover.flap_suppress_penalty,
                  "zone_failover.flap.reuse", "zone_failover.flap.suppress", set_by);
}

// Reads one file into the fields that `table` points to.
void apply_file(const std::string& path, const Properties& table, FileOfProperty& set_by,
                std::vector<std::string>& notes) {
    auto file = open_file(path);
    std::vector<std::string> names;
    collect_property_names(*file, "", names);
    for (const std::string& name : names) {
        Source source{path, name};
        auto found = table.find(name);
        if (found == table.end()) {
            throw SettingsError(source.describe() + ": unknown property");
        }
        std::visit([&](const auto& property) { assign(property, source, *file); }, found->second);
        auto [earlier, inserted] = set_by.try_emplace(name, path);
        if (!inserted && earlier->second != path) {
            notes.push_back(name + ": " + path + " overrides the value from " + earlier->second);
            earlier->second = path;
        }
    }
}

}  // namespace

OperatorSettings load_operator_settings(const std::vector<std::string>& paths,
                                        std::vector<std::string>& notes) {
    OperatorSettings operator_settings;
    Properties table = properties_of(operator_settings);
    FileOfProperty set_by;
    for (const std::string& path : paths) {
        apply_file(path, table, set_by, notes);
    }
    check_consistency(operator_settings, set_by);
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
    for (const std::string& name : operator_settings.zone_failover.evacuation_order) {
        bool is_known = std::find(platform_settings.objective_classes.begin(),
                                  platform_settings.objective_classes.end(),
                                  name) != platform_settings.objective_classes.end();
        if (!is_known) {
            notes.push_back("zone_failover.order: class '" + name +
                            "' is not named by any objective");
        }
    }
}

}  // namespace walkford::protocol
