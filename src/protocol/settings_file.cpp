#include "protocol/settings_file.hpp"

#include <Poco/Exception.h>
#include <Poco/Util/PropertyFileConfiguration.h>

#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <sstream>

#include "bookkeeping/records.hpp"

namespace walkford::protocol {

namespace {

class Reader {
  public:
    Reader(const Json& value, std::string path) : value_(value), path_(std::move(path)) {
        if (!value_.is_object()) {
            throw SettingsError(path_ + ": must be an object");
        }
    }
    Reader child(const char* name) const { return {at(name), where(name)}; }
    std::string text(const char* name) const {
        const Json& v = at(name);
        if (!v.is_string() || v.get_ref<const std::string&>().empty()) {
            throw SettingsError(where(name) + ": must be a text that isn't empty");
        }
        return v.get<std::string>();
    }
    std::string address(const char* name) const {
        std::string a = text(name);
        auto colon = a.rfind(':');
        bool digits = colon != std::string::npos && colon > 0 && colon + 1 < a.size() &&
                      a.size() - colon <= 6 &&
                      a.find_first_not_of("0123456789", colon + 1) == std::string::npos;
        if (!digits || std::stoi(a.substr(colon + 1)) > 65535) {
            throw SettingsError(where(name) + ": must be address:port");
        }
        return a;
    }
    double number(const char* name, double least, double most) const {
        const Json& v = at(name);
        if (!v.is_number()) {
            throw SettingsError(where(name) + ": must be a number");
        }
        double d = v.get<double>();
        if (!std::isfinite(d) || d < least || d > most) {
            std::ostringstream s;
            s << where(name) << ": must be from " << least << " to " << most;
            throw SettingsError(s.str());
        }
        return d;
    }
    double number_or(const char* name, double fallback, double least, double most) const {
        return value_.contains(name) && !value_[name].is_null() ? number(name, least, most)
                                                                : fallback;
    }
    const Json& list(const char* name) const {
        const Json& v = at(name);
        if (!v.is_array()) {
            throw SettingsError(where(name) + ": must be a list");
        }
        return v;
    }
    std::string where(const std::string& name) const {
        return path_.empty() ? name : path_ + "." + name;
    }
    bool has(const char* name) const { return value_.contains(name) && !value_[name].is_null(); }

  private:
    const Json& at(const char* name) const {
        auto it = value_.find(name);
        if (it == value_.end() || it->is_null()) {
            throw SettingsError(where(name) + ": missing");
        }
        return *it;
    }
    const Json& value_;
    std::string path_;
};

// Fields that are absent are taken from `otherwise`, or missed where there is nothing to take.
StateLimits read_state_limits(const Reader& state, const StateLimits* otherwise) {
    auto limit = [&](const char* name, double StateLimits::*field, double least, double most) {
        return otherwise ? state.number_or(name, otherwise->*field, least, most)
                         : state.number(name, least, most);
    };
    StateLimits limits;
    limits.requests_per_s = limit("rps", &StateLimits::requests_per_s, 1, 1e9);
    limits.writes_per_s = limit("write_rps", &StateLimits::writes_per_s, 0.5, 1e9);
    limits.value_kb = limit("value_kb", &StateLimits::value_kb, 0.5, 1e6);
    constexpr double kLeastOps = 3;  // the largest of the writes that can't be split
    constexpr double kMostOps = 1e6;
    double ops = otherwise ? state.number_or("txn_ops", otherwise->txn_ops, kLeastOps, kMostOps)
                           : state.number("txn_ops", kLeastOps, kMostOps);
    limits.txn_ops = static_cast<std::uint32_t>(ops);
    return limits;
}

}  // namespace

Platform read_platform(const std::string& json_text, std::vector<std::string>& notes) {
    Json doc = Json::parse(json_text, nullptr, false);
    if (doc.is_discarded()) {
        throw SettingsError("settings: not JSON");
    }
    Reader top(doc, "");
    Platform p;
    p.node_name = top.text("node_name");
    if (top.has("location")) {
        p.zone = top.text("location");
    }
    p.serve_on = top.address("serve_on");
    p.cluster_listen = top.address("cluster_listen");
    const Json& seeds = top.list("seeds");
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        Reader seed(seeds[i], "seeds[" + std::to_string(i) + "]");
        p.peers.push_back({seed.text("node_name"), seed.address("endpoint")});
    }
    Reader external = top.child("external");
    p.cloud = external.address("cloud");
    p.state = external.address("state");
    Reader params = top.child("params");
    const Json& zones = params.list("zones");
    if (zones.empty()) {
        throw SettingsError("params.zones: must name a zone");
    }
    for (std::size_t i = 0; i < zones.size(); ++i) {
        if (!zones[i].is_string()) {
            throw SettingsError("params.zones[" + std::to_string(i) + "]: must be a text");
        }
        p.zones.push_back(zones[i].get<std::string>());
    }
    const Json& teams = params.list("teams");
    for (std::size_t i = 0; i < teams.size(); ++i) {
        Reader team(teams[i], "params.teams[" + std::to_string(i) + "]");
        Team t;
        t.name = team.text("name");
        t.guarantee = {team.number_or("cpus", 0, 0, 1e9), team.number_or("gpus", 0, 0, 1e9), 0};
        t.limit = {team.number_or("cpus_max", 0, 0, 1e9), team.number_or("gpus_max", 0, 0, 1e9), 0};
        for (const Team& other : p.teams) {
            if (other.name == t.name) {
                throw SettingsError(team.where("name") + ": named twice");
            }
        }
        p.teams.push_back(std::move(t));
    }
    if (params.has("objectives")) {
        const Json& objectives = params.list("objectives");
        for (std::size_t i = 0; i < objectives.size(); ++i) {
            Reader o(objectives[i], "params.objectives[" + std::to_string(i) + "]");
            std::string kind = o.text("kind");
            if (kind != "wait" && kind != "finished" && kind != "deadline" && kind != "guarantee") {
                notes.push_back(o.where("kind") + ": '" + kind + "' is not known and ignored");
            } else if (kind == "wait") {
                p.wait_aims.push_back({o.text("class"), o.number("within_s", 0, 1e9)});
            }
        }
    }
    Reader workers = params.child("workers");
    p.report_s = workers.number("report_s", 0.05, 3600);
    p.lease_s = workers.number("lease_s", 0.1, 86400);
    p.gang_wait_s = workers.number("gang_wait_s", 0, 86400);
    p.gang_peer_s = workers.number("gang_peer_s", 0, 86400);
    p.cancel_s = workers.number("cancel_s", 0.1, 86400);
    if (p.lease_s <= p.report_s) {
        throw SettingsError("params.workers.lease_s: must be longer than report_s");
    }
    Reader state = params.child("state");
    p.state_limits = read_state_limits(state, nullptr);
    if (state.has("next")) {
        p.next_state_limits = read_state_limits(state.child("next"), &p.state_limits);
    }
    Reader cloud = params.child("cloud");
    p.cloud_rps = cloud.number("rps", 0.1, 1e9);
    p.list_lag_s = cloud.number("list_lag_s", 0, 86400);
    if (params.has("machine_limits")) {
        Reader limits = params.child("machine_limits");
        p.fd_limit = static_cast<std::uint32_t>(limits.number_or("fd_limit", 512, 32, 1e7));
        // Served all the same; but whoever wonders later should find a line.
        auto few = [&](const char* name, double has, double least) {
            if (has >= least) {
                return;
            }
            std::ostringstream note;
            note << limits.where(name) << ": " << has << " is little, " << least
                 << " or more is needed to serve well";
            notes.push_back(note.str());
        };
        few("fd_limit", p.fd_limit, 160.0 + 8.0 * static_cast<double>(p.peers.size()));
        few("ram_mb", limits.number_or("ram_mb", 1e6, 0, 1e9), 16);
    }
    return p;
}

namespace {
std::string slurp(const std::string& path, const char* what) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        throw SettingsError(std::string(what) + ": can't read " + path);
    }
    std::ostringstream text;
    text << in.rdbuf();
    if (in.bad()) {
        throw SettingsError(std::string(what) + ": can't read " + path);
    }
    return text.str();
}
}  // namespace

Platform load_platform(const std::string& path, std::vector<std::string>& notes) {
    return read_platform(slurp(path, "settings"), notes);
}

Policy load_policy(const std::string& path) {
    Policy q;
    if (path.empty()) {
        return q;
    }
    slurp(path, "properties");
    using Poco::Util::PropertyFileConfiguration;
    Poco::AutoPtr<PropertyFileConfiguration> file;
    try {
        file = new PropertyFileConfiguration(path);
    } catch (const Poco::Exception& e) {
        throw SettingsError("properties: " + e.displayText());
    }
    struct Number {
        double* value;
        double least;
        double most;
    };
    double cap = q.cap_per_kind;
    double keep = q.keep_slots;
    double gather = q.gather;
    double permanent = q.permanent_first;
    double unplaceable = q.rent_unplaceable ? 1 : 0;
    double preempt = q.preempt ? 1 : 0;
    std::map<std::string, Number> numbers{
        {"scale.mark.low", {&q.mark_low, 0, 1}},
        {"scale.mark.high", {&q.mark_high, 0, 1}},
        {"scale.out.interval_s", {&q.out_interval_s, 0.1, 3600}},
        {"scale.in.interval_s", {&q.in_interval_s, 0.1, 3600}},
        {"scale.cap_per_kind", {&cap, 0, 10000}},
        {"scale.permanent.first", {&permanent, 0, 50}},
        {"scale.unplaceable", {&unplaceable, 0, 1}},
        {"scale.unplaceable.after_s", {&q.unplaceable_after_s, 0, 3600}},
        {"scale.spot", {&q.spot_prefer, 0, 1}},
        {"scale.idle_cost", {&q.idle_cost, 0, 1e6}},
        {"scale.no_capacity_backoff_s", {&q.no_capacity_backoff_s, 0.5, 3600}},
        {"machines.boot.give_up", {&q.boot_give_up, 1, 100}},
        {"machines.boot.late", {&q.boot_late, 1, 100}},
        {"machines.lost_return_s", {&q.lost_return_s, 0, 3600}},
        {"machines.unseen_return_s", {&q.unseen_return_s, 1, 3600}},
        {"machines.deaf_return_s", {&q.deaf_return_s, 1, 3600}},
        {"workers.settle_s", {&q.settle_s, 0, 2}},
        {"workers.idle_hold_s", {&q.idle_hold_s, 0, 3}},
        {"place.round_budget_ms", {&q.round_budget_ms, 0.1, 1000}},
        {"place.regret_s", {&q.opportunity_cost_s, 0, 3600}},
        {"place.keep_slots", {&keep, 0, 1000}},
        {"place.preempt", {&preempt, 0, 1}},
        {"place.rise_s", {&q.rise_s, 0, 86400}},
        {"place.gather", {&gather, 0, 1000}},
        {"place.gather.after_s", {&q.gather_after_s, 0, 3600}},
        {"place.preempt.after_s", {&q.preempt_after_s, 0, 3600}},
        {"leader.lease_s", {&q.lease_ttl_s, 0.5, 600}},
        {"leader.probe_after_s", {&q.takeover_probe_s, 0.5, 600}},
    };
    PropertyFileConfiguration::Keys names;
    std::function<void(const std::string&)> walk = [&](const std::string& base) {
        PropertyFileConfiguration::Keys keys;
        file->keys(base, keys);
        for (const std::string& key : keys) {
            std::string full = base;
            if (!full.empty()) {
                full += ".";
            }
            full += key;
            if (file->hasProperty(full)) {
                names.push_back(full);
            }
            walk(full);
        }
    };
    walk("");
    for (const std::string& name : names) {
        if (name == "scale.order") {
            q.order = file->getString(name);
            if (q.order != "cost" && q.order != "cores") {
                throw SettingsError("scale.order: must be cost or cores");
            }
            continue;
        }
        if (name == "place.order") {
            q.place_order = file->getString(name);
            if (q.place_order != "aim" && q.place_order != "age") {
                throw SettingsError("place.order: must be aim or age");
            }
            continue;
        }
        auto it = numbers.find(name);
        if (it == numbers.end()) {
            throw SettingsError(name + ": no such property");
        }
        double v;
        try {
            v = file->getDouble(name);
        } catch (const Poco::Exception&) {
            throw SettingsError(name + ": must be a number");
        }
        if (!(v >= it->second.least && v <= it->second.most)) {
            std::ostringstream s;
            s << name << ": must be from " << it->second.least << " to " << it->second.most;
            throw SettingsError(s.str());
        }
        *it->second.value = v;
    }
    q.keep_slots = static_cast<std::uint32_t>(keep);
    q.gather = static_cast<std::uint32_t>(gather);
    q.cap_per_kind = static_cast<std::uint32_t>(cap);
    q.permanent_first = static_cast<std::uint32_t>(permanent);
    q.rent_unplaceable = unplaceable != 0;
    q.preempt = preempt != 0;
    if (!(q.mark_low < q.mark_high)) {
        throw SettingsError("scale.mark.low: must be below scale.mark.high");
    }
    if (!(q.mark_high < 1)) {
        throw SettingsError("scale.mark.high: must be below 1");
    }
    return q;
}

}  // namespace walkford::protocol
